// Tests what is kept in memory and what is read from the platform instead.
#include <gtest/gtest.h>

#include <algorithm>

#include "tests/servers/dispatcher/promise_checks.h"
#include "tests/servers/dispatcher/virtual_callers.h"

namespace boragecroft {
namespace {

struct PlatformUse : testing::Test {
  std::unique_ptr<VirtualFleet> fleet = MakeFleet(3, 1);

  auto TearDown() -> void override { EXPECT_EQ(CheckAll(*fleet), ""); }
};

auto ReportedAnswer(const VirtualFleet& fleet, uint64_t number)
    -> const CallerAnswer& {
  return *std::get<AnswerReply>(fleet.requests.at(number).replies.back())
              .answer;
}

TEST_F(PlatformUse, AnswersFromRecordsWhenAnswerMemoryIsFull) {
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
    EXPECT_EQ(ReportedState(*fleet, it), JobState::kDone);
    EXPECT_EQ(ReportedAnswer(*fleet, it).results,
              ReportedAnswer(*fleet, first).results);
    EXPECT_EQ(ReportedAnswer(*fleet, it).tasks,
              ReportedAnswer(*fleet, first).tasks);
  }
  for (uint32_t i = 0; i < 3; ++i) {
    EXPECT_EQ(Starts(*fleet, {.job = id, .index = i}), 1U);
  }
}

TEST_F(PlatformUse, KeepsAnswersUntilTheyAreRecorded) {
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
  EndAllFaults(*fleet);
  EXPECT_FALSE(owner.jobs.contains(id));
}

auto IsListed(const VirtualFleet& fleet, size_t node, const Address& address)
    -> bool {
  const auto& workers = fleet.nodes[node].dispatcher->fleet.workers;
  return std::any_of(workers.begin(), workers.end(), [&](const auto& it) {
    return it.listed.address == address && it.state != WorkerState::kRemoved;
  });
}

TEST_F(PlatformUse, ReadsFullListOnlyWhenItChanged) {
  EXPECT_EQ(fleet->full_lists_sent, 3U);
  const auto removed = fleet->endpoints.begin()->first;
  fleet->endpoints.erase(removed);
  Elapse(*fleet, seconds(20));
  EXPECT_EQ(fleet->full_lists_sent, 6U);
  for (size_t i = 0; i < 3; ++i) {
    EXPECT_FALSE(IsListed(*fleet, i, removed));
    EXPECT_TRUE(IsListed(*fleet, i, fleet->endpoints.begin()->first));
  }
}

}  // namespace
}  // namespace boragecroft
