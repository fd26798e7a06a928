#include <gtest/gtest.h>

#include <algorithm>

#include <rapidcheck/gtest.h>

#include "servers/fleet/fleet.h"

namespace boragecroft {
namespace {

struct WorkerListTest : testing::Test {
  Fleet fleet;
  Now now{Instant(seconds(1000)), WallTime(seconds(1000))};

  auto Advance(seconds by) -> void {
    now.boot += by;
    now.wall += by;
  }
  auto Apply(const std::vector<ListedWorker>& workers) -> ListChange {
    Advance(seconds(2));
    return ApplyWorkerList(fleet, WorkerList{now.wall, workers}, now);
  }
  auto Answer(size_t index, EndpointAnswer answer) -> void {
    OnAnswer(fleet, OnStart(fleet, index, {}, now), answer, now);
  }
  auto CountUsable() const -> size_t {
    return std::count_if(
        fleet.workers.begin(), fleet.workers.end(),
        [&](const FleetWorker& it) { return IsUsable(it, now); });
  }
  static auto Pool(size_t count) -> std::vector<ListedWorker> {
    std::vector<ListedWorker> pool;
    for (size_t n = 0; n < count; ++n) {
      auto& it = pool.emplace_back();
      it.service = "cartas";
      it.name = std::to_string(n);
      it.incarnation = "a";
      it.capacity = {32'000, 128'000, 0};
    }
    return pool;
  }
};

RC_GTEST_FIXTURE_PROP(WorkerListTest,
                      EmptyAbsentOrPartialListNeverEmptiesPool,
                      ()) {
  const auto pool = Pool(16);
  Apply(pool);
  for (const auto kind :
       *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3))) {
    if (kind == 0) {
      Apply({});
    } else if (kind == 1) {
      Advance(seconds(2));
      ApplyWorkerList(fleet, std::nullopt, now);
    } else {
      RC_ASSERT(Apply({pool.begin(), pool.begin() + *rc::gen::inRange(1, 8)})
                    .partial);
    }
    RC_ASSERT(CountUsable() == 16U);
  }
}

TEST_F(WorkerListTest, RemovesWorkerMissingFromListsAfterSomeSeconds) {
  const auto pool = Pool(16);
  Apply(pool);
  const std::vector<ListedWorker> fewer(pool.begin(), pool.begin() + 15);
  Apply(fewer);
  EXPECT_EQ(CountUsable(), 16U);
  Apply(fewer);
  Apply(fewer);
  EXPECT_EQ(CountUsable(), 15U);
}

TEST_F(WorkerListTest, RemovesOnlyUnreachableWorkersWhenListIsPartial) {
  const auto pool = Pool(16);
  Apply(pool);
  const std::vector<ListedWorker> fewer(pool.begin(), pool.begin() + 4);
  Apply(fewer);
  Answer(15, EndpointAnswer::kConnectFailed);
  EXPECT_EQ(Apply(fewer).removed, std::vector{fleet.workers[15].id});
  Advance(seconds(10));
  EXPECT_EQ(CountUsable(), 15U);
}

TEST_F(WorkerListTest, IgnoresStaleList) {
  const auto pool = Pool(2);
  auto leaving = pool;
  leaving[0].leaving = true;
  const WorkerList stale{now.wall, pool};
  Apply(leaving);
  EXPECT_EQ(ApplyWorkerList(fleet, stale, now).effect,
            ListEffect::kIgnoredStale);
  EXPECT_EQ(CountUsable(), 1U);
}

TEST_F(WorkerListTest, DrainingWorkerGetsNoTaskUntilSuccessorIsListed) {
  auto pool = Pool(2);
  Apply(pool);
  const auto task_in_progress = OnStart(fleet, 0, {}, now);
  Answer(0, EndpointAnswer::kDraining);
  Apply(pool);
  OnAnswer(fleet, task_in_progress, EndpointAnswer::kRan, now);
  EXPECT_EQ(CountUsable(), 1U);
  pool[0].incarnation = "b";
  const auto change = Apply(pool);
  EXPECT_EQ(change.added.size(), 1U);
  EXPECT_EQ(change.removed.size(), 1U);
  EXPECT_EQ(CountUsable(), 2U);
}

TEST_F(WorkerListTest, EndsDrainOnlyWhenListShowsWorkerLiveAgain) {
  auto pool = Pool(1);
  Apply(pool);
  Answer(0, EndpointAnswer::kDraining);
  for (auto n = 0; n < 60; ++n) {
    Advance(seconds(60));
    Apply(pool);
    EXPECT_EQ(CountUsable(), 0U) << "a lagging list must not end the drain";
  }
  pool[0].leaving = true;
  Apply(pool);
  EXPECT_EQ(CountUsable(), 0U);
  pool[0].leaving = false;
  Apply(pool);
  EXPECT_EQ(CountUsable(), 1U);
}

TEST_F(WorkerListTest, ReportsTaskThatNoKnownWorkerCanHoldAsNeverRunnable) {
  const Needs huge{.accelerators = 1};
  EXPECT_TRUE(CanEverRun(fleet, "cartas", huge));
  auto pool = Pool(2);
  Apply(pool);
  EXPECT_FALSE(CanEverRun(fleet, "cartas", huge));
  EXPECT_TRUE(CanEverRun(fleet, "cartas", {32'000, 128'000, 0}));
  EXPECT_TRUE(CanEverRun(fleet, "logbook", huge));
  pool[1].capacity.accelerators = 1;
  Apply(pool);
  EXPECT_TRUE(CanEverRun(fleet, "cartas", huge));
}

RC_GTEST_FIXTURE_PROP(WorkerListTest,
                      BoundsEntriesWhenWorkersRestartOften,
                      ()) {
  auto pool = Pool(8);
  for (auto n = 0; n < 100; ++n) {
    pool[*rc::gen::inRange(0, 8)].incarnation = std::to_string(n);
    Apply(pool);
    RC_ASSERT(CountUsable() == 8U);
  }
  RC_ASSERT(fleet.workers.size() <= 9U);
}

}  // namespace
}  // namespace boragecroft
