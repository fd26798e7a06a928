// Tests the outcome of ids and jobs when an instance stops as planned.
#include "tests/servers/dispatcher/three_instances.h"

namespace boragecroft {
namespace {

// Instance 2 has run one job, has minted one id that is still unused, and has
// stopped as planned.
struct AfterPlannedStop : ThreeInstances {
  JobId ran;
  JobId unused;

  auto SetUp() -> void override {
    ran = FetchId(*fleet, 2).value();
    unused = FetchId(*fleet, 2).value();
    Submit(*fleet, 2, MakeJob(ran, 2));
    Elapse(*fleet, seconds(3));
    Drain(*fleet, 2);
    Elapse(*fleet, seconds(8));
    ASSERT_EQ(fleet->nodes[2].dispatcher, nullptr);
  }
};

TEST_F(AfterPlannedStop, RunsUnusedIdOnceThroughAnotherInstance) {
  const auto here = Submit(*fleet, 0, MakeJob(unused, 2));
  const auto there = Submit(*fleet, 1, MakeJob(unused, 2));
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(ReportedState(*fleet, here), JobState::kDone);
  EXPECT_EQ(ReportedState(*fleet, there), JobState::kDone);
}

TEST_F(AfterPlannedStop, DoesNotRestartFinishedJobAfterInheritedIdIsUsed) {
  Submit(*fleet, 0, MakeJob(unused, 2));
  Elapse(*fleet, seconds(5));
  const auto here = Submit(*fleet, 0, MakeJob(ran, 2));
  const auto there = Submit(*fleet, 1, MakeJob(ran, 2));
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(ReportedState(*fleet, here), JobState::kDone);
  EXPECT_EQ(ReportedState(*fleet, there), JobState::kDone);
  EXPECT_EQ(TotalStarts(ran, 2), 2U);
}

TEST_F(AfterPlannedStop, RefusesIdOfAnotherPartnerOnEveryInstance) {
  auto job = MakeJob(unused, 2);
  job->partner = "cobros";
  ExpectRefused(job, Refusal::kWrongPartner);
  EXPECT_EQ(TotalStarts(unused, 2), 0U);
}

TEST_F(AfterPlannedStop, RefusesUnmintedIdOnEveryInstance) {
  auto next = unused;
  ++next.sequence;
  auto other_time = unused;
  other_time.minted += milliseconds(1);
  for (const auto& it : {next, other_time}) {
    ExpectRefused(MakeJob(it, 2), Refusal::kIdNotMinted);
    EXPECT_EQ(TotalStarts(it, 2), 0U);
  }
}

// Instance 2 is told to stop while the platform is unavailable, so that it
// can't write the record of a job that it has reported as done.
struct StopDuringPlatformOutage : ThreeInstances {
  JobId ran;

  auto SetUp() -> void override {
    ran = FetchId(*fleet, 2).value();
    fleet->platform_down = true;
    const auto request = Submit(*fleet, 2, MakeJob(ran, 2, "reminders"));
    Elapse(*fleet, seconds(3));
    ASSERT_EQ(ReportedState(*fleet, request), JobState::kDone);
    Drain(*fleet, 2);
    Elapse(*fleet, seconds(60));
  }
};

TEST_F(StopDuringPlatformOutage, OtherInstancesGiveSameAnswerAfterOutage) {
  fleet->platform_down = false;
  Elapse(*fleet, seconds(8));
  ASSERT_EQ(fleet->nodes[2].dispatcher, nullptr);
  Boot(*fleet, 2);
  Elapse(*fleet, seconds(5));
  const auto again = Fetch(*fleet, 0, ran);
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(ReportedState(*fleet, again), JobState::kDone);
}

TEST_F(StopDuringPlatformOutage, KeepsAnsweringUntilRecordsAreWritten) {
  const auto again = Fetch(*fleet, 0, ran);
  Elapse(*fleet, seconds(1));
  EXPECT_EQ(ReportedState(*fleet, again), JobState::kDone);
}

TEST_F(ThreeInstances, StopsDuringPlatformOutageWhenNoIdWasMinted) {
  fleet->platform_down = true;
  Drain(*fleet, 2);
  Elapse(*fleet, seconds(40));
  EXPECT_EQ(fleet->nodes[2].dispatcher, nullptr);
}

}  // namespace
}  // namespace boragecroft
