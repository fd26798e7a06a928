// Jobs that wait: what is refused, when, and what is given up.
#include <algorithm>
#include <map>

#include "tests/servers/scheduling/scheduler_story.h"

namespace boragecroft {
namespace {

class AFullGroup : public SchedulerStory {
 protected:
  void SetUp() override {
    Begin({MakeEntry("w1", 32'000)});
    auto long_job = MakeOffer(1, 2);
    long_job.run_estimate = milliseconds{900};
    Offer(long_job);
    Take<StartCommand>();
  }
};

TEST_F(AFullGroup, RefusesAJobBeforeAQuarterOfItsObjectiveHasPassed) {
  Offer(MakeOffer(2, 1));
  const auto quarter = milliseconds{(96 + 60) / 4};
  Pass(quarter - milliseconds{1});
  const auto results = Take<ResultCommand>();
  ASSERT_EQ(results.size(), 1);
  EXPECT_EQ(results[0].result.outcome, JobOutcome::kRefused);
  EXPECT_GE(results[0].result.retry_after, milliseconds{1000});
}

TEST_F(AFullGroup, StartsTheMostUrgentJobFirst) {
  auto patient = MakeOffer(2, 1);
  patient.run_estimate = milliseconds{200};
  Offer(patient);
  Offer(MakeOffer(3, 1));
  OnCancel(state, 0, JobName{1}, now, out);
  for (const auto& it : Take<StopCommand>()) {
    AnswerStop(it, OrderAnswer::kAccepted);
  }
  now += milliseconds{5};
  AnswerHold(Take<HoldCommand>().at(0), {},
             {{1, {JobName{1}, 0}, 1, RunEnd::kStopped},
              {2, {JobName{1}, 1}, 1, RunEnd::kStopped}});
  const auto starts = Take<StartCommand>();
  ASSERT_EQ(starts.size(), 2);
  EXPECT_EQ(starts[0].task.job, JobName{3});
}

class AJobThatAsksForRoomAtOnce : public SchedulerStory {
 protected:
  auto Ask(uint32_t tasks, bool may_run_elsewhere) -> void {
    auto offer = MakeOffer(2, tasks);
    offer.at_once = true;
    offer.may_run_elsewhere = may_run_elsewhere;
    Offer(offer);
  }

  // A worker with room for three tasks, one of which is taken.
  void SetUp() override {
    Begin({MakeEntry("w1", 42'000)});
    Offer(MakeOffer(1, 1));
    out.clear();
  }
};

TEST_F(AJobThatAsksForRoomAtOnce, StartsWhenAllOfItFits) {
  Ask(2, false);
  EXPECT_EQ(Take<StartCommand>().size(), 2U);
}

TEST_F(AJobThatAsksForRoomAtOnce, IsRefusedWithoutAnyStartWhenPartOfItDoesNot) {
  Ask(3, false);
  EXPECT_TRUE(Take<StartCommand>().empty());
  const auto result = Take<ResultCommand>().at(0);
  EXPECT_EQ(result.result.outcome, JobOutcome::kRefused);
  EXPECT_TRUE(result.passed_on);
  EXPECT_EQ(state.workers.at("w1").used.cpu_millis, 14'000);
  EXPECT_FALSE(state.jobs.contains(JobName{2}));
}

TEST_F(AJobThatAsksForRoomAtOnce, DoesNotOvertakeThoseThatWait) {
  Offer(MakeOffer(3, 3));
  out.clear();
  state.workers.at("w1").entry.capacity.cpu_millis = 100'000;
  Ask(1, false);
  EXPECT_EQ(Take<ResultCommand>().at(0).result.outcome, JobOutcome::kRefused);
}

TEST_F(AJobThatAsksForRoomAtOnce, IsNotSaidNotToHaveRunWhenItMayHave) {
  Ask(3, true);
  EXPECT_TRUE(Take<ResultCommand>().empty());
}

class AStartedJob : public SchedulerStory {};

TEST_F(AStartedJob, IsNeverSaidNotToHaveRun) {
  Begin({MakeEntry("w1", 32'000)});
  Offer(MakeOffer(1, 1));
  OnCancel(state, 0, JobName{1}, now, out);
  EXPECT_EQ(Take<ResultCommand>().at(0).result.outcome, JobOutcome::kStopped);
}

TEST_F(AStartedJob, IsStoppedWhenTheCallerStopsWaiting) {
  Begin({MakeEntry("w1", 32'000)});
  auto offer = MakeOffer(1, 1);
  offer.run_estimate = milliseconds{900};
  Offer(offer);
  AnswerStart(Take<StartCommand>().at(0), OrderAnswer::kAccepted);
  Pass(milliseconds{1495});
  EXPECT_EQ(Take<StopCommand>().size(), 1);
  EXPECT_EQ(Take<ResultCommand>().at(0).result.outcome, JobOutcome::kStopped);
}

class ALostTaker : public SchedulerStory {
 protected:
  void SetUp() override {
    Begin({MakeEntry("w1", 32'000)});
    auto offer = MakeOffer(1, 1);
    offer.run_estimate = milliseconds{900};
    Offer(offer, 5);
    AnswerStart(Take<StartCommand>().at(0), OrderAnswer::kAccepted);
    OnTakerLost(state, 5, now);
  }
};

TEST_F(ALostTaker, HasItsJobsStoppedSoon) {
  Pass(milliseconds{250});
  EXPECT_EQ(Take<StopCommand>().size(), 1);
}

TEST_F(ALostTaker, ThatConnectsAnewKeepsItsJobsRunning) {
  now += milliseconds{100};
  auto again = MakeOffer(1, 1);
  again.may_run_elsewhere = true;
  Offer(again, 6);
  Pass(milliseconds{250});
  EXPECT_TRUE(Take<StopCommand>().empty());
  EXPECT_EQ(state.jobs.at(JobName{1}).taker, 6);
}

class PlacementOfTasks : public SchedulerStory {};

TEST_F(PlacementOfTasks, LeavesFastWorkersToTasksWithLittleSlack) {
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

// Load: long jobs on days of high load. A 900 ms task on a worker of speed 0.5
// can't end before its caller stops waiting; it only held the room.
TEST_F(PlacementOfTasks, DoesNotStartWhatCannotEndBeforeTheCallerLeaves) {
  Begin({MakeEntry("slow", 32'000)});
  state.run_times.workers["slow"] = {.value = 0.7, .observations = 50};
  auto long_job = MakeOffer(2, 1);
  long_job.run_estimate = milliseconds{900};
  Offer(long_job);
  EXPECT_TRUE(Take<StartCommand>().empty());
}

// Load: bursts of long jobs. Started at once on a worker of middle speed, most
// of them ended after their caller had left, and held its room until then.
TEST_F(PlacementOfTasks, LetsALongTaskWaitAtFirstForAWorkerThatIsSafe) {
  Begin({MakeEntry("fast", 14'000), MakeEntry("middle", 32'000)});
  state.run_times.workers["fast"] = {.value = -0.5, .observations = 50};
  state.run_times.workers["middle"] = {.value = 0.1, .observations = 50};
  auto long_job = MakeOffer(1, 2);
  long_job.run_estimate = milliseconds{900};
  Offer(long_job);
  EXPECT_EQ(Take<StartCommand>().size(), 1);
  Pass(milliseconds{200});
  const auto later = Take<StartCommand>();
  ASSERT_EQ(later.size(), 1);
  EXPECT_EQ(later[0].target.worker, "middle");
}

// Load: workers that turn slow. The ended task of the job shows that its other
// one can't end in time where it runs.
TEST_F(PlacementOfTasks, MovesARunThatCannotEndBeforeTheCallerLeaves) {
  Begin({MakeEntry("fast", 28'000), MakeEntry("slow", 14'000)});
  state.run_times.workers["fast"] = {.value = -0.5, .observations = 50};
  auto long_job = MakeOffer(1, 2);
  long_job.run_estimate = milliseconds{400};
  Offer(long_job);
  auto starts = Take<StartCommand>();
  ASSERT_EQ(starts.size(), 2);
  std::map<std::string, HoldCommand> holds;
  for (const auto& it : Take<HoldCommand>()) {
    holds[it.target.worker] = it;
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
  AnswerHold(holds.at("fast"), {}, {{1, fast.task, 1, RunEnd::kDone}});
  const auto slow = on("slow");
  AnswerHold(holds.at("slow"), {{.task = slow.task, .attempt = 1}}, {});
  const auto stops = Take<StopCommand>();
  ASSERT_EQ(stops.size(), 1);
  EXPECT_EQ(stops[0].target.worker, "slow");
}

}  // namespace
}  // namespace boragecroft
