// Checks how a new holder takes a group over, and how it handles the runs that
// an earlier holder started.
#include "tests/servers/scheduling/scheduler_fixture.h"

namespace boragecroft {
namespace {

class Takeover : public SchedulerFixture {
 protected:
  auto TakeOver(bool stable) -> std::vector<RenewCommand> {
    BeginTerm(state, kToken, {MakeEntry("w1", 32'000), MakeEntry("w2", 32'000)},
              stable, now, out);
    return Take<RenewCommand>();
  }
};

TEST_F(Takeover, FencesEachWorkerBeforeStartingTasks) {
  const auto renewals = TakeOver(true);
  ASSERT_EQ(renewals.size(), 2);
  EXPECT_EQ(renewals[0].target.token, kToken);
  Offer(MakeOffer(1, 2));
  EXPECT_TRUE(Take<StartCommand>().empty());
  AnswerRenewal(renewals[0], {}, {});
  const auto starts = Take<StartCommand>();
  ASSERT_EQ(starts.size(), 2);
  EXPECT_EQ(starts[0].target.worker, renewals[0].target.worker);
}

TEST_F(Takeover, StopsRunsOfEarlierHolder) {
  const auto renewals = TakeOver(true);
  AnswerRenewal(renewals[0], {{.task = {JobName{9}, 0}, .attempt = 1}}, {});
  const auto stops = Take<StopCommand>();
  ASSERT_EQ(stops.size(), 1);
  EXPECT_EQ(stops[0].task.job, JobName{9});
}

// Guards against a group that gets no job after a takeover while another group
// has room: its holder reported no free slots until its first offer.
TEST_F(Takeover, ReportsRoomBeforeFirstOffer) {
  const auto renewals = TakeOver(true);
  now += seconds{1};
  OnTime(state, now, out);
  EXPECT_EQ(LoadOf(state).free_slots, 0U);
  AnswerRenewal(renewals[0], {}, {});
  EXPECT_EQ(LoadOf(state).free_slots, 1U);
  AnswerRenewal(renewals[1], {{.task = {JobName{9}, 0}, .attempt = 1}}, {});
  EXPECT_EQ(LoadOf(state).free_slots, 1U);
  Offer(MakeOffer(1, 2));
  OnTime(state, now, out);
  EXPECT_FALSE(state.awaits_first_offer);
}

class ResubmittedJob : public Takeover {
 protected:
  auto MakeResubmission() -> JobOffer {
    auto offer = MakeOffer(9, 1);
    offer.submission = 1;
    offer.may_run_elsewhere = true;
    offer.run_estimate = milliseconds{900};
    return offer;
  }
};

TEST_F(ResubmittedJob, WaitsUntilWorkersAreFencedAndInheritedRunsEnd) {
  const auto renewals = TakeOver(true);
  OnWorkersKnown(state, now, now, out);
  Offer(MakeResubmission());
  AnswerRenewal(renewals[0], {{.task = {JobName{9}, 0}, .attempt = 1}}, {});
  AnswerRenewal(renewals[1], {}, {});
  EXPECT_TRUE(Take<StartCommand>().empty());
  AnswerStop(Take<StopCommand>().at(0), OrderAnswer::kAccepted);
  now += milliseconds{10};
  AnswerRenewal(Take<RenewCommand>().at(0), {},
                {{.sequence = 1,
                  .task = {JobName{9}, 0},
                  .attempt = 1,
                  .end = RunEnd::kStopped}});
  const auto starts = Take<StartCommand>();
  ASSERT_EQ(starts.size(), 1);
  EXPECT_GT(starts[0].attempt, 1);
}

// Guards against two runs of one task. After the network partition of a zone,
// the entries of its workers reappeared one by one. The worker that still ran
// the task was not known yet when the others were fenced, and the task was
// started again. Seen in a bench run.
TEST_F(ResubmittedJob, WaitsLongerWhenWorkersMayBeMissing) {
  const auto renewals = TakeOver(false);
  OnWorkersKnown(state, now, now, out);
  Offer(MakeResubmission());
  AnswerRenewal(renewals[0], {}, {});
  AnswerRenewal(renewals[1], {}, {});
  AdvanceTime(milliseconds{1200});
  EXPECT_TRUE(Take<StartCommand>().empty());
}

// Guards against two runs of one task after a takeover by an instance that
// could not read the store: workers that only the former holder knew still ran
// the task when every known worker was fenced.
TEST_F(ResubmittedJob, WaitsLongerWhenWorkersWereNotReadInThisTerm) {
  const auto renewals = TakeOver(true);
  Offer(MakeResubmission());
  AnswerRenewal(renewals[0], {}, {});
  AnswerRenewal(renewals[1], {}, {});
  AdvanceTime(milliseconds{1200});
  EXPECT_TRUE(Take<StartCommand>().empty());
}

TEST_F(ResubmittedJob, StartsWhenWorkersAreReadAfterTheyWereFenced) {
  const auto renewals = TakeOver(true);
  Offer(MakeResubmission());
  AnswerRenewal(renewals[0], {}, {});
  AnswerRenewal(renewals[1], {}, {});
  OnWorkersKnown(state, now - milliseconds{1}, now, out);
  EXPECT_TRUE(Take<StartCommand>().empty());
  now += milliseconds{20};
  OnWorkersKnown(state, now - milliseconds{10}, now, out);
  EXPECT_EQ(Take<StartCommand>().size(), 1);
}

// Guards against a wait that is counted from the takeover. The takeover was
// long ago, but the former holder of the job had been alive until just before
// the hand-over. Seen in a bench run.
TEST_F(ResubmittedJob, CountsWaitFromItsHandOver) {
  const auto renewals = TakeOver(true);
  AnswerRenewal(renewals[0], {}, {});
  AdvanceTime(seconds(5));
  Offer(MakeResubmission());
  AdvanceTime(milliseconds{1000});
  EXPECT_TRUE(Take<StartCommand>().empty());
}

class GroupHolder : public SchedulerFixture {};

TEST_F(GroupHolder, IsFencedByWorkerThatSawHigherToken) {
  Begin({MakeEntry("w1", 32'000)});
  Offer(MakeOffer(1, 1));
  AnswerStart(Take<StartCommand>().at(0), OrderAnswer::kFenced);
  EXPECT_EQ(Take<FencedCommand>().size(), 1);
}

TEST_F(GroupHolder, FencesWorkerAgainAfterRestart) {
  Begin({MakeEntry("w1", 32'000)});
  Offer(MakeOffer(1, 1));
  const auto old = Take<StartCommand>().at(0);
  auto entry = MakeEntry("w1", 32'000);
  entry.started_at = milliseconds{2000};
  Take<RenewCommand>();
  OnWorkerEntry(state, entry, now, out);
  // The renewal for the earlier incarnation is still in flight; no other one is
  // sent before it is answered.
  EXPECT_TRUE(Take<StartCommand>().empty());
  OnRenewAnswer(state, RenewCommand{.target = old.target, .ack = 0},
                OrderAnswer::kNoAnswer, nullptr, now, now, out);
  const auto renewal = Take<RenewCommand>().at(0);
  EXPECT_GT(renewal.target.token, old.target.token);
  AnswerRenewal(renewal, {}, {}, milliseconds{2000});
  EXPECT_EQ(Take<StartCommand>().at(0).target.token, renewal.target.token);
}

}  // namespace
}  // namespace boragecroft
