// One fault after the other, each told as a story.
#include "tests/servers/dispatcher/three_instances.h"

namespace boragecroft {
namespace {

TEST_F(ThreeInstances, RunAJobAndAnswerAnywhere) {
  const auto id = FetchId(*fleet, 0).value();
  const auto first = Submit(*fleet, 0, MakeJob(id, 5));
  const auto second = Submit(*fleet, 1, MakeJob(id, 5));
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(StateTold(*fleet, first), JobState::kDone);
  EXPECT_EQ(StateTold(*fleet, second), JobState::kDone);
  EXPECT_EQ(TotalStarts(id, 5), 5U);
}

struct AnEndpointThatForgot : ThreeInstances,
                              testing::WithParamInterface<bool> {};

TEST_P(AnEndpointThatForgot, WhatItRanIsNotBelieved) {
  for (auto& it : fleet->endpoints) {
    it.second.named = GetParam();
  }
  const auto id = FetchId(*fleet, 0).value();
  fleet->run_time = milliseconds(1000);
  const auto asked = Submit(*fleet, 0, MakeJob(id, 2));
  Elapse(*fleet, milliseconds(600));
  ASSERT_EQ(TotalStarts(id, 2), 2U);
  for (auto& it : fleet->endpoints) {
    Restart(it.second);
  }
  Elapse(*fleet, seconds(8));
  EXPECT_EQ(StateTold(*fleet, asked), JobState::kFailed);
  EXPECT_EQ(TotalStarts(id, 2), 2U);
}

INSTANTIATE_TEST_SUITE_P(NamedAndUnnamed,
                         AnEndpointThatForgot,
                         testing::Bool());

TEST_F(ThreeInstances, ARestartedEndpointGetsNewWork) {
  for (auto& it : fleet->endpoints) {
    Restart(it.second);
  }
  const auto asked = Submit(*fleet, 0, MakeJob(FetchId(*fleet, 0).value(), 5));
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(StateTold(*fleet, asked), JobState::kDone);
}

TEST_F(ThreeInstances, RunAJobOnceForAllSubmissionsUnderOneKey) {
  const auto job = MakeKeyedJob("key", 3);
  std::vector<uint64_t> asked;
  for (size_t i = 0; i < 6; ++i) {
    asked.push_back(SubmitKeyed(*fleet, i % 3, "key", job));
  }
  Elapse(*fleet, seconds(5));
  for (const auto it : asked) {
    EXPECT_EQ(StateTold(*fleet, it), JobState::kDone);
  }
  EXPECT_EQ(TotalStarts(fleet->ids_of_keys.at("key"), 3), 3U);
}

// Instance 1 still takes the address for that of the older process.
TEST_F(ThreeInstances, ANewIncarnationIsNotGoneWhereItIsNotHeard) {
  Elapse(*fleet, seconds(30));
  fleet->cuts.insert({1, 2});
  Kill(*fleet, 2);
  Boot(*fleet, 2);
  Elapse(*fleet, seconds(5));
  const auto id = FetchId(*fleet, 2).value();
  Submit(*fleet, 1, MakeJob(id, 2));
  Elapse(*fleet, seconds(5));
  const auto asked = Submit(*fleet, 2, MakeJob(id, 2));
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(StateTold(*fleet, asked), JobState::kDone);
}

TEST_F(ThreeInstances, AnInstanceThatHasNoRowYetIsNotGone) {
  Elapse(*fleet, seconds(30));
  fleet->cuts.insert({1, 2});
  fleet->platform_down = true;
  Kill(*fleet, 2);
  Boot(*fleet, 2);
  Elapse(*fleet, seconds(5));
  const auto id = FetchId(*fleet, 2).value();
  fleet->platform_down = false;
  Submit(*fleet, 1, MakeJob(id, 2));
  Elapse(*fleet, seconds(5));
  const auto asked = Submit(*fleet, 2, MakeJob(id, 2));
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(StateTold(*fleet, asked), JobState::kDone);
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
  fleet.given_up.insert(taken);
  for (size_t i = 0; i < fleet.nodes.size(); ++i) {
    if (i != node) {
      fleet.nodes[i].dispatcher->membership.ended.push_back(
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
