// Checks that no task starts in an evacuated group by any path.
#include "tests/servers/scheduling/scheduler_fixture.h"

namespace boragecroft {
namespace {

// A group with room for two tasks on one worker. Its evacuation leaves jobs
// that have begun 500 ms for their other tasks.
class EvacuatedGroup : public SchedulerFixture {
 protected:
  void SetUp() override {
    state.started_job_grace = milliseconds{500};
    Begin({MakeEntry("w1", 32'000)});
  }

  // Tasks of 300 ms: the callers wait until long after the grace.
  auto MakeLongOffer(uint64_t name, uint32_t count) const -> JobOffer {
    auto offer = MakeOffer(name, count);
    offer.run_estimate = milliseconds{300};
    return offer;
  }

  auto Evacuate() -> void { OnEvacuated(state, now, out); }

  // Reports the end of the only run of a start.
  auto EndRun(const StartCommand& start, RunEnd end) -> void {
    AnswerRenewal(Take<RenewCommand>().at(0), {},
                  {{.sequence = 1,
                    .task = start.task,
                    .attempt = start.attempt,
                    .end = end}});
  }

  // Begins a job of three tasks, of which one waits, and evacuates the group.
  auto EvacuateWithBegunJob() -> std::vector<StartCommand> {
    Offer(MakeLongOffer(1, 3));
    auto starts = Take<StartCommand>();
    EXPECT_EQ(starts.size(), 2U);
    for (const auto& it : starts) {
      AnswerStart(it, OrderAnswer::kAccepted);
    }
    Evacuate();
    return starts;
  }

  auto ExpectOneResult(JobOutcome outcome, bool evacuated) -> void {
    const auto results = Take<ResultCommand>();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].result.outcome, outcome);
    EXPECT_EQ(results[0].result.evacuated, evacuated);
    EXPECT_EQ(results[0].redirected, evacuated);
    EXPECT_TRUE(results[0].withheld);
  }
};

// Guards against refusals of jobs that another zone has room for.
TEST_F(EvacuatedGroup, GivesJobsWithoutStartBack) {
  Offer(MakeLongOffer(1, 2));
  Take<StartCommand>();
  Offer(MakeLongOffer(2, 1));
  Evacuate();
  ExpectOneResult(JobOutcome::kRefused, true);
  EXPECT_FALSE(state.jobs.contains(JobName{2}));
  EXPECT_EQ(state.jobs_given_back, 1U);
  // The group is full, but that is not why it does not take the job.
  auto offer = MakeLongOffer(3, 1);
  offer.immediate_only = true;
  Offer(offer);
  ExpectOneResult(JobOutcome::kRefused, true);
  EXPECT_TRUE(Take<StartCommand>().empty());
}

// Guards against the answer "not run" for a job that an earlier holder started.
TEST_F(EvacuatedGroup, StopsJobsThatMayRunElsewhere) {
  auto offer = MakeLongOffer(1, 1);
  offer.may_run_elsewhere = true;
  offer.submission = 1;
  Offer(offer);
  ASSERT_TRUE(Take<StartCommand>().empty());
  Evacuate();
  ExpectOneResult(JobOutcome::kStopped, false);
  Offer(offer);
  ExpectOneResult(JobOutcome::kStopped, false);
  AdvanceTime(seconds(2));
  EXPECT_TRUE(Take<StartCommand>().empty());
}

TEST_F(EvacuatedGroup, ReportsNoRoom) {
  Offer(MakeLongOffer(1, 1));
  EXPECT_GT(LoadOf(state).free_slots, 0U);
  Evacuate();
  EXPECT_EQ(LoadOf(state).free_slots, 0U);
  EXPECT_EQ(LoadOf(state).fast_slots, 0U);
}

TEST_F(EvacuatedGroup, LetsBegunJobEndWithinGrace) {
  const auto starts = EvacuateWithBegunJob();
  EXPECT_TRUE(Take<ResultCommand>().empty());
  now += milliseconds{400};
  AnswerRenewal(Take<RenewCommand>().at(0),
                {{.task = starts[1].task, .attempt = starts[1].attempt}},
                {{.sequence = 1,
                  .task = starts[0].task,
                  .attempt = starts[0].attempt,
                  .end = RunEnd::kDone}});
  EXPECT_EQ(Take<StartCommand>().size(), 1U);
}

// Guards against a start after the bound, and against a caller that waits for a
// job which can't end any more.
TEST_F(EvacuatedGroup, StopsBegunJobThatNeedsStartAfterGrace) {
  EvacuateWithBegunJob();
  ASSERT_TRUE(NextDue(state));
  EXPECT_LE(*NextDue(state), now + milliseconds{500});
  AdvanceTime(milliseconds{500});
  ExpectOneResult(JobOutcome::kStopped, false);
  EXPECT_EQ(Take<StopCommand>().size(), 2U);
  EXPECT_TRUE(Take<StartCommand>().empty());
}

// Guards against retries after the bound.
TEST_F(EvacuatedGroup, DoesNotRetryFailedRunAfterGrace) {
  Offer(MakeLongOffer(1, 1));
  const auto start = Take<StartCommand>().at(0);
  AnswerStart(start, OrderAnswer::kAccepted);
  Evacuate();
  AdvanceTime(milliseconds{600});
  EXPECT_TRUE(Take<ResultCommand>().empty());
  EndRun(start, RunEnd::kFailed);
  EXPECT_TRUE(Take<StartCommand>().empty());
  ExpectOneResult(JobOutcome::kStopped, false);
}

// Guards against a start after the bound in place of one whose answer was lost.
TEST_F(EvacuatedGroup, DoesNotRepeatStartWithoutAnswerAfterGrace) {
  Offer(MakeLongOffer(1, 1));
  const auto start = Take<StartCommand>().at(0);
  Evacuate();
  AdvanceTime(milliseconds{600});
  AnswerStart(start, OrderAnswer::kNoAnswer);
  AnswerStop(Take<StopCommand>().at(0), OrderAnswer::kAccepted);
  EndRun(start, RunEnd::kStopped);
  EXPECT_TRUE(Take<StartCommand>().empty());
  ExpectOneResult(JobOutcome::kStopped, false);
}

TEST_F(EvacuatedGroup, GivesJobBackWhoseOnlyStartWasRefused) {
  Offer(MakeLongOffer(1, 1));
  const auto start = Take<StartCommand>().at(0);
  Evacuate();
  AnswerStart(start, OrderAnswer::kNoCapacity);
  EXPECT_TRUE(Take<StartCommand>().empty());
  ExpectOneResult(JobOutcome::kRefused, true);
}

// Guards against starts on a worker that restarts while its group is evacuated.
TEST_F(EvacuatedGroup, StartsNothingOnRestartedWorker) {
  Offer(MakeLongOffer(1, 1));
  Take<StartCommand>();
  Evacuate();
  AdvanceTime(milliseconds{600});
  Take<RenewCommand>();
  auto entry = MakeEntry("w1", 32'000);
  entry.started_at = milliseconds{2000};
  OnWorkerEntry(state, entry, now, out);
  Offer(MakeLongOffer(2, 1));
  EXPECT_TRUE(Take<StartCommand>().empty());
}

// Guards against starts in a later term of the same holder, which claims a
// higher token when another process uses its own.
TEST_F(EvacuatedGroup, StaysEvacuatedInNextTerm) {
  Evacuate();
  BeginTerm(state, kToken + kTokensPerTerm, {MakeEntry("w1", 32'000)}, true,
            now, out);
  AnswerRenewal(Take<RenewCommand>().at(0), {}, {});
  Offer(MakeLongOffer(1, 1));
  EXPECT_TRUE(Take<StartCommand>().empty());
  ExpectOneResult(JobOutcome::kRefused, true);
}

// Guards against the loss of a run: an overdue run was stopped in order to move
// its task, which may not start anywhere else in the group.
TEST_F(EvacuatedGroup, LetsOverdueRunGoOn) {
  OnWorkerEntry(state, MakeEntry("w2", 32'000), now, out);
  for (const auto& it : Take<RenewCommand>()) {
    AnswerRenewal(it, {}, {});
  }
  Offer(MakeLongOffer(1, 1));
  const auto start = Take<StartCommand>().at(0);
  AnswerStart(start, OrderAnswer::kAccepted);
  Evacuate();
  now += milliseconds{700};
  const auto renewal = Take<RenewCommand>().at(0);
  AnswerRenewal(renewal, {{.task = start.task, .attempt = start.attempt}}, {});
  EXPECT_EQ(state.counters.runs_overdue, 1U);
  EXPECT_TRUE(Take<StopCommand>().empty());
  EXPECT_GT(Take<RenewCommand>().at(0).lease, milliseconds{0});
  EXPECT_EQ(CountRuns(state), 1U);
}

// Guards against a zone that stays empty, and against one whose workers are
// filled at once although they may have become cold.
TEST_F(EvacuatedGroup, StartsTasksAgainOnceEvacuationEnds) {
  Evacuate();
  OnEvacuationEnded(state, now, out);
  Offer(MakeLongOffer(1, 3));
  const auto starts = Take<StartCommand>();
  ASSERT_EQ(starts.size(), 1U);
  AnswerStart(starts[0], OrderAnswer::kAccepted);
  now += milliseconds{300};
  EndRun(starts[0], RunEnd::kDone);
  EXPECT_EQ(Take<StartCommand>().size(), 2U);
}

}  // namespace
}  // namespace boragecroft
