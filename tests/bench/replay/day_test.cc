#include "bench/replay/day.h"

#include <gtest/gtest.h>

namespace boragecroft::bench {
namespace {

auto CountBetween(const Day& day,
                  const std::string& kind,
                  microseconds from,
                  microseconds until) -> int {
  auto n = 0;
  for (const auto& it : day.jobs) {
    const auto within = it.arrives >= from && it.arrives < until;
    n += within && day.shape.kinds[it.kind].name == kind ? 1 : 0;
  }
  return n;
}

TEST(ADrawnDay, IsTheSameForTheSameSeed) {
  const auto shape = ShapeOf("letters-high");
  const auto day = DrawDay(shape, 7);
  const auto again = DrawDay(shape, 7);
  ASSERT_EQ(day.jobs.size(), again.jobs.size());
  for (size_t i = 0; i < day.jobs.size(); ++i) {
    EXPECT_EQ(day.jobs[i].arrives, again.jobs[i].arrives);
    EXPECT_EQ(LongestWork(day.jobs[i]), LongestWork(again.jobs[i]));
  }
  EXPECT_NE(day.jobs.size(), DrawDay(shape, 8).jobs.size());
}

TEST(ADrawnDay, HasTheLoadOfItsSheet) {
  auto shape = ShapeOf("letters-quiet");
  shape.bursts.clear();
  shape.length = seconds{400};
  const auto day = DrawDay(shape, 1);
  // 78.7 jobs a second; five deviations of the count are 3 %.
  EXPECT_NEAR(static_cast<double>(day.jobs.size()) / 400, 78.7, 2.4);
  std::vector<double> worth(shape.kinds.size());
  std::vector<double> count(shape.kinds.size());
  for (const auto& it : day.jobs) {
    worth[it.kind] += it.worth;
    count[it.kind] += 1;
  }
  // The three kinds are worth about the same in sum; the cap at four times the
  // mean takes off a little.
  for (size_t i = 0; i < worth.size(); ++i) {
    EXPECT_NEAR(worth[i] / count[i] / shape.kinds[i].worth, 1, 0.1);
  }
}

TEST(ADrawnDay, HasItsBurstsAndItsWorkersInTrouble) {
  auto shape = ShapeOf("letters-high");
  const auto day = DrawDay(shape, 1);
  const auto before = CountBetween(day, "demand", seconds{16}, seconds{22});
  const auto burst = CountBetween(day, "demand", seconds{5}, seconds{10});
  EXPECT_GT(burst * 6, before * 5 * 3 / 2);
  auto slow = 0;
  for (size_t i = 0; i < day.workers.size(); ++i) {
    slow += SlownessAt(day, i, seconds{10}) > 1 ? 1 : 0;
    EXPECT_EQ(SlownessAt(day, i, seconds{30}), 1);
  }
  EXPECT_EQ(slow, 8);  // 0.16 of 48
}

TEST(AnUnknownLoad, HasNoKinds) {
  EXPECT_TRUE(ShapeOf("no").kinds.empty());
}

}  // namespace
}  // namespace boragecroft::bench
