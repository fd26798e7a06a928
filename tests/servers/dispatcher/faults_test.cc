// One fault after the other, each told as a story.
#include <gtest/gtest.h>

#include "tests/servers/dispatcher/virtual_fleet.h"

namespace boragecroft {
namespace {

struct ThreeInstances : testing::Test {
  std::unique_ptr<VirtualFleet> fleet = MakeFleet(3, 1);

  auto TearDown() -> void override { EXPECT_EQ(CheckAll(*fleet), ""); }

  auto TotalStarts(const JobId& id, uint32_t tasks) const -> uint32_t {
    uint32_t sum = 0;
    for (uint32_t i = 0; i < tasks; ++i) {
      sum += Starts(*fleet, {.job = id, .index = i});
    }
    return sum;
  }
};

TEST_F(ThreeInstances, RunAJobAndAnswerAnywhere) {
  const auto id = FetchId(*fleet, 0).value();
  const auto first = Submit(*fleet, 0, MakeJob(id, 5));
  const auto second = Submit(*fleet, 1, MakeJob(id, 5));
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(StateTold(*fleet, first), JobState::kDone);
  EXPECT_EQ(StateTold(*fleet, second), JobState::kDone);
  EXPECT_EQ(TotalStarts(id, 5), 5U);
}

struct AfterAPlannedStop : ThreeInstances {
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

TEST_F(AfterAPlannedStop, AnUnusedIdRunsOnceThroughAnotherInstance) {
  const auto here = Submit(*fleet, 0, MakeJob(unused, 2));
  const auto there = Submit(*fleet, 1, MakeJob(unused, 2));
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(StateTold(*fleet, here), JobState::kDone);
  EXPECT_EQ(StateTold(*fleet, there), JobState::kDone);
}

TEST_F(AfterAPlannedStop, AJobThatRanIsNotStartedAgainBesideAnAdoptedId) {
  Submit(*fleet, 0, MakeJob(unused, 2));
  Elapse(*fleet, seconds(5));
  const auto here = Submit(*fleet, 0, MakeJob(ran, 2));
  const auto there = Submit(*fleet, 1, MakeJob(ran, 2));
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(StateTold(*fleet, here), JobState::kDone);
  EXPECT_EQ(StateTold(*fleet, there), JobState::kDone);
  EXPECT_EQ(TotalStarts(ran, 2), 2U);
}

TEST_F(ThreeInstances, TwoThatStopAndNameEachOtherLeaveNoLookupWithoutEnd) {
  const auto id = FetchId(*fleet, 1).value();
  Elapse(*fleet, seconds(1));
  for (size_t i = 1; i < 3; ++i) {
    RequestClose(fleet->nodes[i].dispatcher->ledger,
                 fleet->nodes[3 - i].dispatcher->self);
    Drain(*fleet, i);
  }
  Elapse(*fleet, seconds(8));
  const auto asked = Submit(*fleet, 0, MakeJob(id, 2));
  Elapse(*fleet, seconds(8));
  EXPECT_EQ(StateTold(*fleet, asked), JobState::kRefused);
}

// The owner refuses an id that outlived its term, then stops, and the id is
// submitted to its successor, whose clock may differ.
struct AnIdThatItsOwnerCalledExpired : ThreeInstances {
  JobId id;

  auto SetUp() -> void override {
    id = FetchId(*fleet, 2).value();
    Elapse(*fleet, kIdTerm + milliseconds(100));
    const auto refused = Submit(*fleet, 2, MakeJob(id, 2));
    Drain(*fleet, 2);
    Elapse(*fleet, seconds(8));
    ASSERT_EQ(StateTold(*fleet, refused), JobState::kRefused);
    ASSERT_EQ(fleet->nodes[2].dispatcher, nullptr);
  }

  auto SubmitToOthers() -> void {
    const auto here = Submit(*fleet, 0, MakeJob(id, 2));
    const auto there = Submit(*fleet, 1, MakeJob(id, 2));
    Elapse(*fleet, seconds(5));
    EXPECT_EQ(StateTold(*fleet, here), JobState::kRefused);
    EXPECT_EQ(StateTold(*fleet, there), JobState::kRefused);
    EXPECT_EQ(TotalStarts(id, 2), 0U);
  }
};

TEST_F(AnIdThatItsOwnerCalledExpired, StaysSoWhenTheClockStepsBack) {
  fleet->now.wall -= seconds(20);
  SubmitToOthers();
}

TEST_F(AnIdThatItsOwnerCalledExpired, StaysSoOnASuccessorWhoseClockIsBehind) {
  for (size_t i = 0; i < 2; ++i) {
    fleet->nodes[i].dispatcher->mint.started.wall -= seconds(10);
  }
  SubmitToOthers();
}

TEST_F(ThreeInstances, ARefusalHoldsAfterTheOwnersDeath) {
  const auto id = FetchId(*fleet, 2).value();
  auto job = MakeJob(id, 1);
  job->needs.accelerators = 99;
  const auto refused = Submit(*fleet, 2, job);
  Elapse(*fleet, seconds(2));
  EXPECT_EQ(StateTold(*fleet, refused), JobState::kRefused);
  Kill(*fleet, 2);
  Boot(*fleet, 2);
  Elapse(*fleet, seconds(5));
  const auto again = Submit(*fleet, 0, job);
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(StateTold(*fleet, again), JobState::kRefused);
}

struct OwnerDies : ThreeInstances, testing::WithParamInterface<int> {};

TEST_P(OwnerDies, AtAnyMomentAndOthersTellWhatRan) {
  const auto id = FetchId(*fleet, 2).value();
  Submit(*fleet, 2, MakeJob(id, 20));
  Elapse(*fleet, milliseconds(GetParam()));
  Kill(*fleet, 2);
  Boot(*fleet, 2);
  Elapse(*fleet, seconds(5));
  const auto here = Submit(*fleet, 0, MakeJob(id, 20));
  const auto there = Submit(*fleet, 1, MakeJob(id, 20));
  Elapse(*fleet, seconds(8));
  EXPECT_NE(StateTold(*fleet, here), JobState::kActive);
  EXPECT_EQ(StateTold(*fleet, here), StateTold(*fleet, there));
}

INSTANTIATE_TEST_SUITE_P(BeforeDuringAfterDispatch,
                         OwnerDies,
                         testing::Values(0, 20, 40, 100, 400, 1000, 6000));

// The others take a node for gone: a replacement has its address.
auto GiveUp(VirtualFleet& fleet, size_t node) -> void {
  const auto taken = fleet.nodes[node].dispatcher->self;
  for (size_t i = 0; i < fleet.nodes.size(); ++i) {
    if (i != node) {
      fleet.nodes[i].dispatcher->membership.replaced.push_back(
          {.incarnation = taken, .since = fleet.now.boot});
    }
  }
}

TEST_F(ThreeInstances, AnOwnerThatWakesDeposedTellsWhatTheRecordsSay) {
  const auto id = FetchId(*fleet, 2).value();
  fleet->run_time = milliseconds(1000);
  const auto asked = Submit(*fleet, 2, MakeJob(id, 2));
  Elapse(*fleet, milliseconds(600));
  fleet->nodes[2].paused = true;
  GiveUp(*fleet, 2);
  Elapse(*fleet, seconds(4));
  const auto here = Submit(*fleet, 0, MakeJob(id, 2));
  Elapse(*fleet, seconds(4));
  EXPECT_EQ(StateTold(*fleet, here), JobState::kFailed);
  fleet->nodes[2].paused = false;
  Elapse(*fleet, seconds(8));
  EXPECT_EQ(StateTold(*fleet, asked), JobState::kFailed);
}

TEST_F(ThreeInstances, ADeposedOwnerRefusesNothingThatTheRecordsCallFailed) {
  const auto id = FetchId(*fleet, 2).value();
  const auto other = FetchId(*fleet, 2).value();
  Elapse(*fleet, seconds(1));
  fleet->nodes[2].paused = true;
  GiveUp(*fleet, 2);
  Elapse(*fleet, seconds(4));
  const auto here = Submit(*fleet, 0, MakeJob(id, 2));
  Elapse(*fleet, seconds(4));
  ASSERT_EQ(StateTold(*fleet, here), JobState::kFailed);
  fleet->nodes[2].paused = false;
  Elapse(*fleet, seconds(1));
  Submit(*fleet, 2, MakeJob(other, 1));
  for (auto i = 0; i < 300 && !fleet->nodes[2].dispatcher->deposed; ++i) {
    Elapse(*fleet, milliseconds(10));
  }
  ASSERT_TRUE(fleet->nodes[2].dispatcher->deposed);
  const auto there = Submit(*fleet, 2, MakeJob(id, 2));
  Elapse(*fleet, seconds(1));
  EXPECT_EQ(StateTold(*fleet, there), JobState::kFailed);
}

}  // namespace
}  // namespace boragecroft
