// Checks when waiting jobs are started, refused or given up.
#include <algorithm>
#include <map>

#include "tests/servers/scheduling/scheduler_fixture.h"

namespace boragecroft {
namespace {

class FullGroup : public SchedulerFixture {
 protected:
  void SetUp() override {
    Begin({MakeEntry("w1", 32'000)});
    auto long_job = MakeOffer(1, 2);
    long_job.run_estimate = milliseconds{900};
    Offer(long_job);
    Take<StartCommand>();
  }
};

TEST_F(FullGroup, RefusesJobBeforeQuarterOfObjective) {
  Offer(MakeOffer(2, 1));
  const auto quarter = milliseconds{(96 + 60) / 4};
  AdvanceTime(quarter - milliseconds{1});
  const auto results = Take<ResultCommand>();
  ASSERT_EQ(results.size(), 1);
  EXPECT_EQ(results[0].result.outcome, JobOutcome::kRefused);
  EXPECT_GE(results[0].result.retry_after, milliseconds{1000});
}

TEST_F(FullGroup, StartsMostUrgentJobFirst) {
  auto slack_job = MakeOffer(2, 1);
  slack_job.run_estimate = milliseconds{200};
  Offer(slack_job);
  Offer(MakeOffer(3, 1));
  OnCancel(state, 0, JobName{1}, now, out);
  for (const auto& it : Take<StopCommand>()) {
    AnswerStop(it, OrderAnswer::kAccepted);
  }
  now += milliseconds{5};
  AnswerRenewal(Take<RenewCommand>().at(0), {},
                {{1, {JobName{1}, 0}, 1, RunEnd::kStopped},
                 {2, {JobName{1}, 1}, 1, RunEnd::kStopped}});
  const auto starts = Take<StartCommand>();
  ASSERT_EQ(starts.size(), 2);
  EXPECT_EQ(starts[0].task.job, JobName{3});
}

class ImmediateOnlyJob : public SchedulerFixture {
 protected:
  auto Ask(uint32_t tasks, bool may_run_elsewhere) -> void {
    auto offer = MakeOffer(2, tasks);
    offer.immediate_only = true;
    offer.may_run_elsewhere = may_run_elsewhere;
    Offer(offer);
  }

  // A worker that fits three tasks, one of which is running.
  void SetUp() override {
    Begin({MakeEntry("w1", 42'000)});
    Offer(MakeOffer(1, 1));
    out.clear();
  }
};

TEST_F(ImmediateOnlyJob, StartsWhenAllTasksFit) {
  Ask(2, false);
  EXPECT_EQ(Take<StartCommand>().size(), 2U);
}

TEST_F(ImmediateOnlyJob, IsRedirectedWithoutStartsWhenSomeTasksDoNotFit) {
  Ask(3, false);
  EXPECT_TRUE(Take<StartCommand>().empty());
  const auto result = Take<ResultCommand>().at(0);
  EXPECT_EQ(result.result.outcome, JobOutcome::kRefused);
  EXPECT_TRUE(result.redirected);
  EXPECT_EQ(state.workers.at("w1").used.cpu_millis, 14'000);
  EXPECT_FALSE(state.jobs.contains(JobName{2}));
}

TEST_F(ImmediateOnlyJob, DoesNotOvertakeWaitingJobs) {
  Offer(MakeOffer(3, 3));
  out.clear();
  state.workers.at("w1").entry.capacity.cpu_millis = 100'000;
  Ask(1, false);
  EXPECT_EQ(Take<ResultCommand>().at(0).result.outcome, JobOutcome::kRefused);
}

TEST_F(ImmediateOnlyJob, IsNotRefusedWhenItMayRunElsewhere) {
  Ask(3, true);
  EXPECT_TRUE(Take<ResultCommand>().empty());
}

class StartedJob : public SchedulerFixture {};

TEST_F(StartedJob, IsNeverReportedAsNotRun) {
  Begin({MakeEntry("w1", 32'000)});
  Offer(MakeOffer(1, 1));
  OnCancel(state, 0, JobName{1}, now, out);
  EXPECT_EQ(Take<ResultCommand>().at(0).result.outcome, JobOutcome::kStopped);
}

TEST_F(StartedJob, IsStoppedWhenCallerStopsWaiting) {
  Begin({MakeEntry("w1", 32'000)});
  auto offer = MakeOffer(1, 1);
  offer.run_estimate = milliseconds{900};
  Offer(offer);
  AnswerStart(Take<StartCommand>().at(0), OrderAnswer::kAccepted);
  AdvanceTime(milliseconds{1495});
  EXPECT_EQ(Take<StopCommand>().size(), 1);
  EXPECT_EQ(Take<ResultCommand>().at(0).result.outcome, JobOutcome::kStopped);
}

// Guards against runs that are stopped although their caller still waits: a run
// was ended after three objectives, which is 468 ms for a job of 60 ms.
TEST_F(StartedJob, RunsOnWhileCallerWaits) {
  Begin({MakeEntry("w1", 32'000)});
  Offer(MakeOffer(1, 1));
  AnswerStart(Take<StartCommand>().at(0), OrderAnswer::kAccepted);
  EXPECT_EQ(NextDue(state), now + milliseconds{1490});
  AdvanceTime(milliseconds{1489});
  EXPECT_TRUE(Take<ResultCommand>().empty());
  AdvanceTime(milliseconds{1});
  const auto result = Take<ResultCommand>().at(0);
  EXPECT_EQ(result.result.outcome, JobOutcome::kStopped);
  EXPECT_EQ(result.reason, GiveUpReason::kDeadline);
}

// Two of the three tasks of a job fit. The first one ends after `first`.
class JobWithWaitingTask : public SchedulerFixture {
 protected:
  auto EndFirstTaskAfter(milliseconds first) -> void {
    Begin({MakeEntry("w1", 32'000)});
    auto offer = MakeOffer(1, 3);
    offer.run_estimate = milliseconds{500};
    Offer(offer);
    const auto starts = Take<StartCommand>();
    ASSERT_EQ(starts.size(), 2U);
    for (const auto& it : starts) {
      AnswerStart(it, OrderAnswer::kAccepted);
    }
    now += first;
    AnswerRenewal(Take<RenewCommand>().at(0), {{starts[1].task, 1}},
                  {{1, starts[0].task, 1, RunEnd::kDone}});
  }
};

// Guards against callers held to their deadline, and room held with them: the
// first task took 980 ms, so that the third one can't end in the 510 ms left.
TEST_F(JobWithWaitingTask, IsGivenUpOnceAnEndedTaskShowsThatItIsLate) {
  EndFirstTaskAfter(milliseconds{980});
  ASSERT_TRUE(NextDue(state).has_value());
  EXPECT_LE(*NextDue(state), now);
  AdvanceTime(milliseconds{0});
  const auto result = Take<ResultCommand>().at(0);
  EXPECT_EQ(result.result.outcome, JobOutcome::kStopped);
  EXPECT_EQ(result.reason, GiveUpReason::kNoChance);
  EXPECT_LT(result.chance, kMinChanceToContinue);
  EXPECT_EQ(state.counters.jobs_given_up, 1U);
  EXPECT_FALSE(Take<StopCommand>().empty());
}

// Guards against work thrown away: the first task took as long as declared, so
// that the third one ends in time.
TEST_F(JobWithWaitingTask, IsContinuedWhileItsChanceIsReal) {
  EndFirstTaskAfter(milliseconds{520});
  AdvanceTime(milliseconds{0});
  EXPECT_TRUE(Take<ResultCommand>().empty());
  EXPECT_EQ(Take<StartCommand>().size(), 1U);
}

class LostOrigin : public SchedulerFixture {
 protected:
  void SetUp() override {
    Begin({MakeEntry("w1", 32'000)});
    auto offer = MakeOffer(1, 1);
    offer.run_estimate = milliseconds{900};
    Offer(offer, 5);
    AnswerStart(Take<StartCommand>().at(0), OrderAnswer::kAccepted);
    OnOriginLost(state, 5, now);
  }
};

TEST_F(LostOrigin, StopsJobsAfterGracePeriod) {
  AdvanceTime(milliseconds{250});
  EXPECT_EQ(Take<StopCommand>().size(), 1);
}

TEST_F(LostOrigin, KeepsJobsWhenItReconnects) {
  now += milliseconds{100};
  auto again = MakeOffer(1, 1);
  again.may_run_elsewhere = true;
  Offer(again, 6);
  AdvanceTime(milliseconds{250});
  EXPECT_TRUE(Take<StopCommand>().empty());
  EXPECT_EQ(state.jobs.at(JobName{1}).origin, 6);
}

class TaskPlacement : public SchedulerFixture {};

TEST_F(TaskPlacement, KeepsFastWorkersForTasksWithLittleSlack) {
  Begin({MakeEntry("fast", 48'000), MakeEntry("slow", 32'000)});
  state.run_times.workers["fast"] = {.value = -0.5, .observations = 50};
  state.run_times.workers["slow"] = {.value = 0.1, .observations = 50};
  Offer(MakeOffer(1, 1));
  EXPECT_EQ(Take<StartCommand>().at(0).target.worker, "slow");
  auto long_job = MakeOffer(2, 1);
  long_job.run_estimate = milliseconds{900};
  Offer(long_job);
  EXPECT_EQ(Take<StartCommand>().at(0).target.worker, "fast");
}

// Guards against starts that can't succeed: at high load, a 900 ms task on a
// worker of speed 0.5 can't end before its caller stops waiting and only
// occupies the worker.
TEST_F(TaskPlacement, DoesNotStartTaskThatCannotEndBeforeCallerLeaves) {
  Begin({MakeEntry("slow", 60'000)});
  state.run_times.workers["slow"] = {.value = 0.7, .observations = 50};
  Offer(MakeOffer(1, 3));
  ASSERT_EQ(Take<StartCommand>().size(), 3);
  auto long_job = MakeOffer(2, 1);
  long_job.run_estimate = milliseconds{900};
  Offer(long_job);
  EXPECT_TRUE(Take<StartCommand>().empty());
}

// Covers quiet load: the run time of a long task is uncertain, so it takes the
// fastest worker while that is mostly free.
TEST_F(TaskPlacement, PrefersFastestWorkerForLongTaskAtQuietLoad) {
  Begin({MakeEntry("fast", 60'000), MakeEntry("middle", 32'000)});
  state.run_times.workers["fast"] = {.value = -0.5, .observations = 50};
  state.run_times.workers["middle"] = {.value = 0, .observations = 50};
  auto long_job = MakeOffer(1, 4);
  long_job.run_estimate = milliseconds{400};
  Offer(long_job);
  const auto starts = Take<StartCommand>();
  ASSERT_EQ(starts.size(), 4);
  EXPECT_EQ(starts[0].target.worker, "fast");
  EXPECT_EQ(starts[1].target.worker, "fast");
  EXPECT_EQ(starts[2].target.worker, "fast");
  EXPECT_EQ(starts[3].target.worker, "middle");
}

// Covers quiet load: an attempt that probably fails uses only capacity that
// nothing else needs, and it is made once. After a late failure, the task would
// end in time only if it took half of its expected time.
TEST_F(TaskPlacement, TriesUnlikelyJobOnceAtQuietLoad) {
  Begin({MakeEntry("a", 32'000), MakeEntry("b", 32'000)});
  auto unlikely = MakeOffer(1, 1);
  unlikely.run_estimate = milliseconds{1500};
  Offer(unlikely);
  const auto starts = Take<StartCommand>();
  ASSERT_EQ(starts.size(), 1);
  AnswerStart(starts[0], OrderAnswer::kAccepted);
  now += milliseconds{700};
  for (const auto& it : Take<RenewCommand>()) {
    AnswerRenewal(it, {}, {{1, starts[0].task, 1, RunEnd::kFailed}});
  }
  EXPECT_TRUE(Take<StartCommand>().empty());
}

// Guards against waits that cannot help: no worker can end the job before its
// caller leaves, so the caller is told at once that nothing has run.
TEST_F(TaskPlacement, RefusesHopelessJobAtOnce) {
  Begin({MakeEntry("only", 32'000)});
  auto hopeless = MakeOffer(1, 1);
  hopeless.run_estimate = milliseconds{5000};
  Offer(hopeless);
  const auto results = Take<ResultCommand>();
  ASSERT_EQ(results.size(), 1);
  EXPECT_EQ(results[0].result.outcome, JobOutcome::kRefused);
  EXPECT_TRUE(state.jobs.empty());
}

// Guards against callers that are held for nothing: the job's declared run time
// is 40 % off, so that it ends in time once in four times only.
TEST_F(TaskPlacement, RefusesJobThatProbablyEndsTooLate) {
  Begin({MakeEntry("only", 32'000)});
  auto unlikely = MakeOffer(1, 1);
  unlikely.run_estimate = milliseconds{2000};
  Offer(unlikely);
  const auto result = Take<ResultCommand>().at(0);
  EXPECT_EQ(result.result.outcome, JobOutcome::kRefused);
  EXPECT_EQ(result.reason, GiveUpReason::kNoChance);
  EXPECT_NEAR(result.chance, 0.23, 0.01);
  EXPECT_EQ(state.counters.jobs_hopeless, 1U);
}

// Guards against refusals by the mean worker: the fastest one that may be used
// decides, and a job is kept while no worker is usable.
TEST_F(TaskPlacement, KeepsLongJobThatFastestWorkerEndsInTime) {
  Begin({MakeEntry("fast", 32'000), MakeEntry("slow", 32'000)});
  state.run_times.workers["fast"] = {.value = -0.5, .observations = 50};
  auto long_job = MakeOffer(1, 1);
  long_job.run_estimate = milliseconds{2000};
  Offer(long_job);
  EXPECT_EQ(Take<StartCommand>().at(0).target.worker, "fast");
  for (auto& [id, worker] : state.workers) {
    worker.reachable = false;
  }
  long_job.name = JobName{2};
  Offer(long_job);
  EXPECT_TRUE(Take<ResultCommand>().empty());
}

// A job that an earlier holder had begun, offered to its successor.
class HandedOverJob : public SchedulerFixture {
 protected:
  auto HandOver(milliseconds run_estimate, milliseconds remaining) -> void {
    Begin({MakeEntry("w1", 14'000)});
    auto other = MakeOffer(1, 1);
    other.run_estimate = seconds(20);
    other.remaining = seconds(60);
    Offer(other);
    AnswerStart(Take<StartCommand>().at(0), OrderAnswer::kAccepted);
    auto offer = MakeOffer(2, 1);
    offer.run_estimate = run_estimate;
    offer.age = milliseconds{1000};
    offer.remaining = remaining;
    offer.submission = 1;
    offer.may_run_elsewhere = true;
    Offer(offer);
    out.clear();
  }
};

// Guards against callers that got no answer but 504 although they waited on:
// the latest start that meets the objective had passed during the hand-over.
TEST_F(HandedOverJob, WaitsForRoomAsLongAsItsCallerDoes) {
  HandOver(milliseconds{60}, milliseconds{8000});
  AdvanceTime(milliseconds{2000});
  EXPECT_TRUE(Take<ResultCommand>().empty());
  AdvanceTime(milliseconds{6000});
  EXPECT_EQ(Take<ResultCommand>().at(0).result.outcome, JobOutcome::kStopped);
}

TEST_F(HandedOverJob, IsGivenUpOnceItCannotEndInTime) {
  HandOver(milliseconds{900}, milliseconds{8000});
  AdvanceTime(milliseconds{7900});
  const auto results = Take<ResultCommand>();
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].result.outcome, JobOutcome::kStopped);
  EXPECT_EQ(results[0].reason, GiveUpReason::kNoChance);
}

TEST_F(TaskPlacement, KeepsHopelessJobThatMayRunElsewhere) {
  Begin({MakeEntry("only", 32'000)});
  auto hopeless = MakeOffer(1, 1);
  hopeless.run_estimate = milliseconds{5000};
  hopeless.may_run_elsewhere = true;
  Offer(hopeless);
  EXPECT_TRUE(Take<ResultCommand>().empty());
}

// Guards against starts on unsuitable workers in bursts of long jobs: when they
// were started immediately on workers of medium speed, most of them ended after
// their caller had left and occupied the worker until then.
TEST_F(TaskPlacement, LetsLongTaskWaitForSafeWorker) {
  Begin({MakeEntry("fast", 14'000), MakeEntry("middle", 32'000)});
  state.run_times.workers["fast"] = {.value = -0.5, .observations = 50};
  state.run_times.workers["middle"] = {.value = 0.1, .observations = 50};
  auto long_job = MakeOffer(1, 2);
  long_job.run_estimate = milliseconds{900};
  Offer(long_job);
  EXPECT_EQ(Take<StartCommand>().size(), 1);
  AdvanceTime(milliseconds{200});
  const auto later = Take<StartCommand>();
  ASSERT_EQ(later.size(), 1);
  EXPECT_EQ(later[0].target.worker, "middle");
}

// Covers a worker that becomes slow: the ended task of the job shows that the
// other one can't end in time where it runs.
TEST_F(TaskPlacement, MovesRunThatCannotEndBeforeCallerLeaves) {
  Begin({MakeEntry("fast", 14'000), MakeEntry("slow", 14'000)});
  state.run_times.workers["fast"] = {.value = -0.5, .observations = 50};
  auto long_job = MakeOffer(1, 2);
  long_job.run_estimate = milliseconds{400};
  Offer(long_job);
  auto starts = Take<StartCommand>();
  ASSERT_EQ(starts.size(), 2);
  std::map<std::string, RenewCommand> renewals;
  for (const auto& it : Take<RenewCommand>()) {
    renewals[it.target.worker] = it;
  }
  for (const auto& it : starts) {
    AnswerStart(it, OrderAnswer::kAccepted);
  }
  state.run_times.workers["slow"] = {.value = 1.5, .observations = 50};
  now += milliseconds{500};
  const auto on = [&](const std::string& id) {
    return *std::find_if(
        starts.begin(), starts.end(),
        [&](const StartCommand& it) { return it.target.worker == id; });
  };
  const auto fast = on("fast");
  AnswerRenewal(renewals.at("fast"), {}, {{1, fast.task, 1, RunEnd::kDone}});
  const auto slow = on("slow");
  AnswerRenewal(renewals.at("slow"), {{.task = slow.task, .attempt = 1}}, {});
  const auto stops = Take<StopCommand>();
  ASSERT_EQ(stops.size(), 1);
  EXPECT_EQ(stops[0].target.worker, "slow");
}

}  // namespace
}  // namespace boragecroft
