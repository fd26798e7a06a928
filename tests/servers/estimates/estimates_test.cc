#include "servers/estimates/estimates.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace boragecroft {
namespace {

const WorkKind kLetter{"cartas", "letter"};

struct EstimatesTest : testing::Test {
  Estimates estimates;

  auto Run(int times, microseconds run_time, uint32_t worker = 1) -> void {
    for (auto n = 0; n < times; ++n) {
      RecordRunTime(estimates, kLetter, {worker}, run_time);
    }
  }
};

TEST_F(EstimatesTest, EstimatesUnknownKindFromItsHint) {
  const auto estimate = EstimateRunTime(estimates, kLetter, milliseconds(80));
  EXPECT_EQ(estimate.mean, milliseconds(80));
  EXPECT_GT(estimate.high, estimate.mean);
  EXPECT_EQ(estimate.observations, 0U);
}

TEST_F(EstimatesTest, SlowWorkerDoesNotAffectSpeedOfOthers) {
  for (auto n = 0; n < 200; ++n) {
    Run(1, milliseconds(100), n % 9);
    Run(n % 9 == 0 ? 1 : 0, milliseconds(400), 9);
  }
  EXPECT_LT(WorkerSpeed(estimates, {9}), 0.5);
  EXPECT_GT(WorkerSpeed(estimates, {1}), 0.8);
}

RC_GTEST_FIXTURE_PROP(EstimatesTest, WrongHintLosesItsWeight, ()) {
  const auto real = milliseconds(*rc::gen::inRange(1, 20'000));
  Run(kHintObservations, real);
  const auto hint = milliseconds(*rc::gen::inRange(0, 100'000'000));
  const auto mean = EstimateRunTime(estimates, kLetter, hint).mean;
  RC_ASSERT(std::abs((mean - real).count()) <= 2);
}

RC_GTEST_FIXTURE_PROP(EstimatesTest, HighQuantileIsWithinOneBucket, ()) {
  // Run times from 1 to 100 units occur equally often, so 95 % of them are
  // below 95.
  const auto unit = microseconds(*rc::gen::inRange(1'000, 200'000));
  for (auto n = 0; n < 400; ++n) {
    Run(1, unit * (1 + n * 37 % 100));
  }
  const auto high = EstimateRunTime(estimates, kLetter, {}).high;
  RC_ASSERT(high >= unit * 90);
  RC_ASSERT(high <= unit * 95 * 5 / 4);
}

RC_GTEST_FIXTURE_PROP(EstimatesTest, AdaptsWhenRunTimesOfKindChange, ()) {
  const auto before = milliseconds(*rc::gen::inRange(10, 5'000));
  const auto after = milliseconds(*rc::gen::inRange(10, 5'000));
  Run(500, before);
  Run(500, after);
  const auto mean = EstimateRunTime(estimates, kLetter, before).mean;
  RC_ASSERT(mean <= after * 11 / 10 + milliseconds(5));
  RC_ASSERT(mean >= after * 9 / 10 - milliseconds(5));
}

TEST_F(EstimatesTest, EvictsLeastRecentlyUsedKindBeyondCap) {
  for (size_t n = 0; n <= kMaxEstimatedKinds; ++n) {
    const WorkKind kind{"cartas", std::to_string(n)};
    RecordRunTime(estimates, kind, {1}, milliseconds(10));
    RecordRunTime(estimates, kLetter, {1}, milliseconds(10));
  }
  EXPECT_EQ(estimates.kinds.Size(), kMaxEstimatedKinds);
  EXPECT_EQ(EstimateRunTime(estimates, {"cartas", "0"}, {}).observations, 0U);
  EXPECT_GT(EstimateRunTime(estimates, kLetter, {}).observations, 0U);
}

}  // namespace
}  // namespace boragecroft
