#include "servers/intake/intake.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>
#include <variant>

namespace boragecroft {
namespace {

class IntakeFixture : public testing::Test {
 protected:
  void SetUp() override {
    state.zone = "north";
    SetGroupView("north", 10, 20);
    SetGroupView("south", 10, 20);
  }

  auto SetGroupView(const std::string& group, uint64_t token, uint32_t free)
      -> void {
    OnGroupView(state, group,
                GroupView{.token = token,
                          .reachable = true,
                          .ready = true,
                          .load = {.free_slots = free}},
                now, out);
  }

  auto LoseHolder(const std::string& group) -> void {
    auto view = state.groups[group];
    view.reachable = false;
    OnGroupView(state, group, view, now, out);
  }

  auto Submit(uint64_t name, uint32_t count) -> void {
    OnJob(state,
          JobOffer{.name = JobName{name},
                   .count = count,
                   .remaining = milliseconds{1500}},
          now, out);
  }

  auto ReceiveResult(const std::string& group, JobOutcome outcome) -> void {
    OnResult(state, group, state.groups[group].token,
             {.name = JobName{1}, .outcome = outcome}, now, out);
  }

  template <class Command>
  auto Take() -> std::vector<Command> {
    std::vector<Command> taken;
    for (const auto& it : out) {
      if (const auto* command = std::get_if<Command>(&it)) {
        taken.push_back(*command);
      }
    }
    out.clear();
    return taken;
  }

  Intake state;
  Instant now = Instant() + seconds(100);
  IntakeCommands out;
};

class JobCancelledByCaller : public IntakeFixture {};

TEST_F(JobCancelledByCaller, IsWithdrawnFromItsHolderAndAnswered) {
  Submit(1, 8);
  out.clear();
  EXPECT_TRUE(OnCancelledByCaller(state, JobName{1}, out));
  ASSERT_EQ(out.size(), 2U);
  EXPECT_EQ(std::get<WithdrawJob>(out[0]).group, "north");
  EXPECT_EQ(std::get<AnswerJob>(out[1]).result.outcome, JobOutcome::kCancelled);
  EXPECT_FALSE(OnCancelledByCaller(state, JobName{1}, out));
}

TEST_F(JobCancelledByCaller, IsNotOfferedAgainWhenItsHolderReportsIt) {
  Submit(1, 8);
  out.clear();
  ReceiveResult("north", JobOutcome::kCancelled);
  EXPECT_EQ(Take<AnswerJob>().at(0).result.outcome, JobOutcome::kCancelled);
  EXPECT_TRUE(state.jobs.empty());
}

class NewJob : public IntakeFixture {};

TEST_F(NewJob, GoesToOwnZoneWhileItHasCapacity) {
  Submit(1, 8);
  EXPECT_EQ(Take<HandOver>().at(0).group, "north");
}

TEST_F(NewJob, GoesToOtherZoneWhenOwnIsFull) {
  SetGroupView("north", 10, 4);
  Submit(1, 8);
  EXPECT_EQ(Take<HandOver>().at(0).group, "south");
}

// Guards against runs for callers that have left: an instance that was
// suspended learned of a holder before it checked the deadlines of its jobs.
TEST_F(NewJob, IsNotHandedOverAfterItsDeadline) {
  LoseHolder("north");
  LoseHolder("south");
  Submit(1, 1);
  now += milliseconds{3500};
  SetGroupView("north", 10, 20);
  EXPECT_TRUE(Take<HandOver>().empty());
}

// Guards against hand-overs to a holder that lost power: jobs were handed to it
// for 1.1 s. Seen in an incident.
TEST_F(NewJob, IsNotHandedToHolderThatMissedHeartbeat) {
  state.groups["north"].heartbeat_missed = true;
  Submit(1, 8);
  EXPECT_EQ(Take<HandOver>().at(0).group, "south");
}

// Covers bursts of long jobs, which end in time on fast workers only.
TEST_F(NewJob, GoesToFastWorkersWhenTasksAreLong) {
  state.groups["south"].load.fast_slots = 10;
  OnJob(state,
        JobOffer{.name = JobName{1},
                 .count = 4,
                 .run_estimate = milliseconds{900},
                 .remaining = milliseconds{1500}},
        now, out);
  EXPECT_EQ(Take<HandOver>().at(0).group, "south");
}

TEST_F(NewJob, CountsRecentHandOversAsLoad) {
  Submit(1, 16);
  Submit(2, 8);
  const auto taken = Take<HandOver>();
  ASSERT_EQ(taken.size(), 2);
  EXPECT_EQ(taken[1].group, "south");
}

TEST_F(NewJob, GoesToOtherGroupWithCapacityWhenRefused) {
  Submit(1, 8);
  out.clear();
  ReceiveResult("north", JobOutcome::kRefused);
  const auto taken = Take<HandOver>();
  ASSERT_EQ(taken.size(), 1);
  EXPECT_EQ(taken[0].group, "south");
  EXPECT_FALSE(taken[0].offer.may_run_elsewhere);
}

TEST_F(NewJob, IsRefusedWhenNoGroupHasCapacity) {
  SetGroupView("south", 10, 0);
  Submit(1, 8);
  ReceiveResult("north", JobOutcome::kRefused);
  ReceiveResult("south", JobOutcome::kRefused);
  out.clear();
  ReceiveResult("north", JobOutcome::kRefused);
  EXPECT_EQ(Take<AnswerJob>().at(0).result.outcome, JobOutcome::kRefused);
}

TEST_F(NewJob, AsksEachGroupForImmediateStartBeforeWaiting) {
  SetGroupView("north", 10, 4);
  SetGroupView("south", 10, 6);
  Submit(1, 8);
  auto handed = Take<HandOver>();
  ASSERT_EQ(handed.size(), 1);
  EXPECT_EQ(handed[0].group, "south");
  EXPECT_TRUE(handed[0].offer.immediate_only);
  ReceiveResult("south", JobOutcome::kRefused);
  handed = Take<HandOver>();
  ASSERT_EQ(handed.size(), 1);
  EXPECT_EQ(handed[0].group, "north");
  EXPECT_TRUE(handed[0].offer.immediate_only);
  SetGroupView("south", 10, 6);
  SetGroupView("north", 10, 4);
  out.clear();
  ReceiveResult("north", JobOutcome::kRefused);
  handed = Take<HandOver>();
  ASSERT_EQ(handed.size(), 1);
  EXPECT_EQ(handed[0].group, "south");
  EXPECT_FALSE(handed[0].offer.immediate_only);
}

TEST_F(NewJob, WaitsAtOnlyOpenGroup) {
  LoseHolder("south");
  Submit(1, 8);
  ReceiveResult("north", JobOutcome::kRefused);
  const auto handed = Take<HandOver>();
  ASSERT_EQ(handed.size(), 2);
  EXPECT_FALSE(handed[1].offer.immediate_only);
}

TEST_F(NewJob, IsNotImmediateOnlyAfterHolderIsReplaced) {
  Submit(1, 8);
  out.clear();
  SetGroupView("north", 11, 20);
  const auto handed = Take<HandOver>();
  ASSERT_EQ(handed.size(), 1);
  EXPECT_FALSE(handed[0].offer.immediate_only);
  EXPECT_TRUE(handed[0].offer.may_run_elsewhere);
}

TEST_F(NewJob, IsRefusedSoonWhenNoHolderIsKnown) {
  LoseHolder("north");
  LoseHolder("south");
  Submit(1, 8);
  EXPECT_TRUE(out.empty());
  now += milliseconds{200};
  OnTime(state, now, out);
  EXPECT_EQ(Take<AnswerJob>().at(0).result.outcome, JobOutcome::kRefused);
}

class HandedOverJob : public IntakeFixture {
 protected:
  void SetUp() override {
    IntakeFixture::SetUp();
    Submit(1, 8);
    out.clear();
  }
};

TEST_F(HandedOverJob, GoesOnlyToSuccessorOfItsHolder) {
  LoseHolder("north");
  EXPECT_TRUE(out.empty());
  SetGroupView("north", 11, 20);
  const auto taken = Take<HandOver>();
  ASSERT_EQ(taken.size(), 1);
  EXPECT_EQ(taken[0].group, "north");
  EXPECT_TRUE(taken[0].offer.may_run_elsewhere);
  EXPECT_EQ(taken[0].offer.submission, 1);
}

TEST_F(HandedOverJob, IsHandedOverAgainAfterConnectionReset) {
  LoseHolder("north");
  SetGroupView("north", 10, 20);
  EXPECT_TRUE(Take<HandOver>().at(0).offer.may_run_elsewhere);
}

// Guards against a refusal of a job that is running: a frozen holder resumed,
// answered the first offer with a refusal and started the second one. Found by
// a fault search (cobros-norte, holder-frozen-at-its-write, seeds 141623434663
// and 123424235962).
TEST_F(HandedOverJob, IgnoresRefusalOfEarlierOffer) {
  LoseHolder("north");
  SetGroupView("north", 10, 20);
  const auto handed = Take<HandOver>();
  ASSERT_EQ(handed.size(), 1);
  ASSERT_EQ(handed[0].offer.submission, 1U);
  ReceiveResult("north", JobOutcome::kRefused);
  ReceiveResult("north", JobOutcome::kStopped);
  EXPECT_TRUE(out.empty());
  OnResult(
      state, "north", 10,
      {.name = JobName{1}, .outcome = JobOutcome::kRefused, .submission = 1},
      now, out);
  EXPECT_FALSE(out.empty());
}

TEST_F(HandedOverJob, DoesNotRunAgainWhenEarlierOfferEnded) {
  LoseHolder("north");
  SetGroupView("north", 10, 20);
  out.clear();
  ReceiveResult("north", JobOutcome::kDone);
  ASSERT_EQ(out.size(), 2);
  EXPECT_EQ(std::get<WithdrawJob>(out[0]).group, "north");
  EXPECT_EQ(std::get<AnswerJob>(out[1]).result.outcome, JobOutcome::kDone);
}

TEST_F(HandedOverJob, IsWithdrawnWhenCallerLeaves) {
  OnCallerDisconnected(state, JobName{1}, out);
  EXPECT_EQ(Take<WithdrawJob>().at(0).group, "north");
  EXPECT_TRUE(state.jobs.empty());
}

TEST_F(HandedOverJob, IsNeverReportedAsNotRunWhenHolderIsLost) {
  LoseHolder("north");
  now += milliseconds{1500};
  OnTime(state, now, out);
  EXPECT_EQ(Take<AnswerJob>().at(0).result.outcome, JobOutcome::kStopped);
}

TEST_F(HandedOverJob, IsWithdrawnAndAnsweredWhenInstanceStops) {
  OnStopping(state, out);
  ASSERT_EQ(out.size(), 2U);
  EXPECT_EQ(std::get<WithdrawJob>(out[0]).job, JobName{1});
  EXPECT_EQ(std::get<AnswerJob>(out[1]).result.outcome, JobOutcome::kStopped);
  EXPECT_TRUE(state.jobs.empty());
}

TEST_F(IntakeFixture, RefusesJobThatNoHolderHasWhenInstanceStops) {
  LoseHolder("north");
  LoseHolder("south");
  out.clear();
  Submit(1, 1);
  OnStopping(state, out);
  const auto answers = Take<AnswerJob>();
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].result.outcome, JobOutcome::kRefused);
  EXPECT_GT(answers[0].result.retry_after, milliseconds{0});
}

TEST_F(HandedOverJob, IgnoresResultOfFormerHolder) {
  SetGroupView("north", 11, 20);
  out.clear();
  OnResult(state, "north", 10,
           {.name = JobName{1}, .outcome = JobOutcome::kRefused}, now, out);
  EXPECT_TRUE(out.empty());
}

// An operator evacuates the zone of this instance.
class EvacuatedOwnZone : public IntakeFixture {
 protected:
  auto Evacuate(std::set<std::string> groups, bool all = false) -> void {
    OnEvacuatedGroups(state, {.groups = std::move(groups), .all = all}, now,
                      out);
  }

  auto GiveBack(const std::string& group) -> void {
    OnResult(state, group, state.groups[group].token,
             {.name = JobName{1},
              .outcome = JobOutcome::kRefused,
              .evacuated = true},
             now, out);
  }
};

TEST_F(EvacuatedOwnZone, SendsJobsElsewhereAtOnce) {
  Evacuate({"north"});
  Submit(1, 8);
  const auto handed = Take<HandOver>();
  ASSERT_EQ(handed.size(), 1U);
  EXPECT_EQ(handed[0].group, "south");
  EXPECT_TRUE(handed[0].sent_elsewhere);
}

// Guards against refusals while another zone has room: the holder knew of the
// evacuation before this instance, and its answer counted as a full group.
TEST_F(EvacuatedOwnZone, OffersJobElsewhereThatHolderGaveBack) {
  Submit(1, 8);
  out.clear();
  GiveBack("north");
  const auto handed = Take<HandOver>();
  ASSERT_EQ(handed.size(), 1U);
  EXPECT_EQ(handed[0].group, "south");
  EXPECT_TRUE(handed[0].sent_elsewhere);
  EXPECT_FALSE(handed[0].offer.may_run_elsewhere);
  const auto& job = state.jobs.at(JobName{1});
  EXPECT_TRUE(job.refused_by.empty());
  EXPECT_TRUE(job.full_groups.empty());
}

// Guards against a refusal in place of the wait at the last group with workers.
TEST_F(EvacuatedOwnZone, LetsJobWaitAtFullGroupThatIsLeft) {
  SetGroupView("south", 10, 0);
  Evacuate({"north"});
  Submit(1, 8);
  ReceiveResult("south", JobOutcome::kRefused);
  const auto handed = Take<HandOver>();
  ASSERT_EQ(handed.size(), 2U);
  EXPECT_EQ(handed[1].group, "south");
  EXPECT_FALSE(handed[1].offer.immediate_only);
}

TEST_F(EvacuatedOwnZone, IsNotAskedAgainByJobThatItGaveBack) {
  LoseHolder("south");
  Submit(1, 8);
  out.clear();
  GiveBack("north");
  EXPECT_TRUE(out.empty());
  SetGroupView("north", 10, 20);
  EXPECT_TRUE(out.empty());
  SetGroupView("south", 10, 20);
  EXPECT_EQ(Take<HandOver>().at(0).group, "south");
}

TEST_F(EvacuatedOwnZone, GetsJobsAgainOnceItIsBack) {
  LoseHolder("south");
  Evacuate({"north"});
  Submit(1, 8);
  EXPECT_TRUE(out.empty());
  SetGroupView("north", 10, 20);
  EXPECT_TRUE(out.empty());
  Evacuate({});
  const auto handed = Take<HandOver>();
  ASSERT_EQ(handed.size(), 1U);
  EXPECT_EQ(handed[0].group, "north");
  EXPECT_FALSE(handed[0].sent_elsewhere);
}

// Guards against a start by a successor that does not know of the evacuation
// yet.
TEST_F(EvacuatedOwnZone, GetsNoJobOfLostHolder) {
  Submit(1, 8);
  Evacuate({"north"});
  LoseHolder("north");
  out.clear();
  SetGroupView("north", 11, 20);
  EXPECT_TRUE(std::holds_alternative<AnswerJob>(out.at(0)));
  EXPECT_EQ(Take<AnswerJob>().at(0).result.outcome, JobOutcome::kStopped);
}

// Guards against the loss of runs in progress: only the connection to their
// holder was lost, and they would be stopped when it is not told of the job.
TEST_F(EvacuatedOwnZone, KeepsJobAtHolderThatIsBack) {
  Submit(1, 8);
  Evacuate({"north"});
  LoseHolder("north");
  out.clear();
  SetGroupView("north", 10, 20);
  EXPECT_EQ(Take<HandOver>().at(0).group, "north");
}

// Guards against callers that wait for nothing: no zone is left.
TEST_F(EvacuatedOwnZone, RefusesEveryJobWhenAllZonesAreEvacuated) {
  Submit(1, 8);
  out.clear();
  Evacuate({"north", "south"}, true);
  EXPECT_TRUE(out.empty());
  GiveBack("north");
  const auto given_back = Take<AnswerJob>().at(0);
  EXPECT_EQ(given_back.result.outcome, JobOutcome::kRefused);
  EXPECT_TRUE(given_back.all_evacuated);
  Submit(2, 8);
  const auto refused = Take<AnswerJob>().at(0);
  EXPECT_TRUE(refused.all_evacuated);
  EXPECT_EQ(refused.result.retry_after, seconds(5));
  EXPECT_TRUE(state.jobs.empty());
}

TEST_F(EvacuatedOwnZone, RefusesWaitingJobsWhenAllZonesAreEvacuated) {
  LoseHolder("north");
  LoseHolder("south");
  Submit(1, 8);
  EXPECT_TRUE(out.empty());
  Evacuate({"north", "south"}, true);
  EXPECT_TRUE(Take<AnswerJob>().at(0).all_evacuated);
}

}  // namespace
}  // namespace boragecroft
