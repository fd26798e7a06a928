#include "bench/replay/workload.h"

#include <gtest/gtest.h>

namespace boragecroft::bench {
namespace {

auto CountBetween(const Workload& workload,
                  const std::string& kind,
                  microseconds from,
                  microseconds until) -> int {
  auto n = 0;
  for (const auto& it : workload.jobs) {
    const auto within = it.arrives >= from && it.arrives < until;
    n += within && workload.shape.kinds[it.kind].name == kind ? 1 : 0;
  }
  return n;
}

TEST(DrawnWorkload, IsReproducibleFromSeed) {
  const auto shape = ShapeOf("letters-high");
  const auto workload = DrawWorkload(shape, 7);
  const auto again = DrawWorkload(shape, 7);
  ASSERT_EQ(workload.jobs.size(), again.jobs.size());
  for (size_t i = 0; i < workload.jobs.size(); ++i) {
    EXPECT_EQ(workload.jobs[i].arrives, again.jobs[i].arrives);
    EXPECT_EQ(LongestWork(workload.jobs[i]), LongestWork(again.jobs[i]));
  }
  EXPECT_NE(workload.jobs.size(), DrawWorkload(shape, 8).jobs.size());
}

TEST(DrawnWorkload, MatchesLoadOfItsShape) {
  auto shape = ShapeOf("letters-quiet");
  shape.bursts.clear();
  shape.length = seconds{400};
  const auto workload = DrawWorkload(shape, 1);
  // The rate is 78.7 jobs per second. Five standard deviations of the count are
  // 3 %.
  EXPECT_NEAR(static_cast<double>(workload.jobs.size()) / 400, 78.7, 2.4);
  std::vector<double> worth(shape.kinds.size());
  std::vector<double> count(shape.kinds.size());
  for (const auto& it : workload.jobs) {
    worth[it.kind] += it.worth;
    count[it.kind] += 1;
  }
  // All jobs of a kind together are worth about the same for each of the three
  // kinds. The cap at four times the mean worth reduces it a little.
  for (size_t i = 0; i < worth.size(); ++i) {
    EXPECT_NEAR(worth[i] / count[i] / shape.kinds[i].worth, 1, 0.1);
  }
}

TEST(DrawnWorkload, ContainsBurstsAndFaultyWorkers) {
  auto shape = ShapeOf("letters-high");
  const auto workload = DrawWorkload(shape, 1);
  const auto before =
      CountBetween(workload, "demand", seconds{16}, seconds{22});
  const auto burst = CountBetween(workload, "demand", seconds{5}, seconds{10});
  EXPECT_GT(burst * 6, before * 5 * 3 / 2);
  auto slow = 0;
  for (size_t i = 0; i < workload.workers.size(); ++i) {
    slow += SlownessAt(workload, i, seconds{10}) > 1 ? 1 : 0;
    EXPECT_EQ(SlownessAt(workload, i, seconds{30}), 1);
  }
  EXPECT_EQ(slow, 8);  // 0.16 of 48
}

// Guards against kinds whose run times, priorities or rates differ from the
// table of docs/hard-load.md: decisions would be measured on another load.
TEST(DrawnWorkload, OfPrioritizedKindsMatchesItsDeployment) {
  auto shape = ShapeOf("maps-high");
  shape.bursts.clear();
  shape.length = 4 * shape.wave_period;
  const auto workload = DrawWorkload(shape, 1);
  EXPECT_NEAR(static_cast<double>(workload.jobs.size()) / 52, 844, 25);
  const auto tiles = CountBetween(workload, "tile-fetch", {}, shape.length);
  EXPECT_NEAR(tiles / 52.0, 206, 15);
  ASSERT_EQ(workload.workers.size(), 352U);
  EXPECT_EQ(workload.workers[1].speed, 1.0);
  EXPECT_EQ(workload.workers[2].speed, 1.6);
  EXPECT_EQ(workload.workers[2].capacity.cpu_millis, 48'000);
  EXPECT_EQ(shape.kinds[0].priority, 0U);
  EXPECT_EQ(shape.kinds[1].priority, 2U);
  EXPECT_EQ(shape.kinds[2].priority, 1U);
}

TEST(UnknownLoad, HasNoKinds) {
  EXPECT_TRUE(ShapeOf("no").kinds.empty());
}

}  // namespace
}  // namespace boragecroft::bench
