// One fault after the other, each told as a story.
#include <gtest/gtest.h>

#include <algorithm>

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

auto AnswerTold(const VirtualFleet& fleet, uint64_t number)
    -> const CallerAnswer& {
  return *std::get<AnswerReply>(fleet.asked.at(number).replies.back()).answer;
}

TEST_F(ThreeInstances, AnswerFromTheRecordWhatMemoryHasNoRoomFor) {
  fleet->nodes[0].dispatcher->settings.max_answer_bytes = 0;
  const auto id = FetchId(*fleet, 0).value();
  const auto first = Submit(*fleet, 0, MakeJob(id, 3));
  Elapse(*fleet, seconds(5));
  EXPECT_FALSE(fleet->nodes[0].dispatcher->jobs.contains(id));
  EXPECT_EQ(fleet->nodes[0].dispatcher->kept_answer_bytes, 0U);
  const auto here = Fetch(*fleet, 0, id);
  const auto there = Fetch(*fleet, 1, id);
  const auto again = Submit(*fleet, 2, MakeJob(id, 3));
  Elapse(*fleet, seconds(5));
  for (const auto it : {here, there, again}) {
    EXPECT_EQ(StateTold(*fleet, it), JobState::kDone);
    EXPECT_EQ(AnswerTold(*fleet, it).results,
              AnswerTold(*fleet, first).results);
    EXPECT_EQ(AnswerTold(*fleet, it).tasks, AnswerTold(*fleet, first).tasks);
  }
  EXPECT_EQ(TotalStarts(id, 3), 3U);
}

TEST_F(ThreeInstances, KeepAnswersUntilTheyAreRecorded) {
  auto& owner = *fleet->nodes[0].dispatcher;
  owner.settings.max_answer_bytes = 0;
  const auto id = FetchId(*fleet, 0).value();
  Submit(*fleet, 0, MakeJob(id, 3));
  Elapse(*fleet, milliseconds(60));
  fleet->platform_down = true;
  Elapse(*fleet, seconds(10));
  ASSERT_TRUE(owner.jobs.contains(id));
  EXPECT_GT(owner.kept_answer_bytes, 0U);
  EXPECT_EQ(owner.jobs.at(id).submission->payloads.size(), 0U);
  Heal(*fleet);
  EXPECT_FALSE(owner.jobs.contains(id));
}

auto Lists(const VirtualFleet& fleet, size_t node, const Address& address)
    -> bool {
  const auto& workers = fleet.nodes[node].dispatcher->fleet.workers;
  return std::any_of(workers.begin(), workers.end(), [&](const auto& it) {
    return it.listed.address == address && it.state != WorkerState::kGone;
  });
}

TEST_F(ThreeInstances, ReadTheListAgainOnlyWhenItChanged) {
  EXPECT_EQ(fleet->whole_lists, 3U);
  const auto gone = fleet->endpoints.begin()->first;
  fleet->endpoints.erase(gone);
  Elapse(*fleet, seconds(20));
  EXPECT_EQ(fleet->whole_lists, 6U);
  for (size_t i = 0; i < 3; ++i) {
    EXPECT_FALSE(Lists(*fleet, i, gone));
    EXPECT_TRUE(Lists(*fleet, i, fleet->endpoints.begin()->first));
  }
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

TEST_F(ThreeInstances, AnOwnerThatWakesDeposedTellsWhatTheRecordsSay) {
  const auto id = FetchId(*fleet, 2).value();
  fleet->run_time = milliseconds(1000);
  const auto asked = Submit(*fleet, 2, MakeJob(id, 2));
  Elapse(*fleet, milliseconds(600));
  fleet->nodes[2].paused = true;
  // The others take it for gone: a replacement has its address.
  const auto taken = fleet->nodes[2].dispatcher->self;
  for (size_t i = 0; i < 2; ++i) {
    fleet->nodes[i].dispatcher->membership.replaced.push_back(
        {.incarnation = taken, .since = fleet->now.boot});
  }
  Elapse(*fleet, seconds(4));
  const auto here = Submit(*fleet, 0, MakeJob(id, 2));
  Elapse(*fleet, seconds(4));
  EXPECT_EQ(StateTold(*fleet, here), JobState::kFailed);
  fleet->nodes[2].paused = false;
  Elapse(*fleet, seconds(8));
  EXPECT_EQ(StateTold(*fleet, asked), JobState::kFailed);
}

}  // namespace
}  // namespace boragecroft
