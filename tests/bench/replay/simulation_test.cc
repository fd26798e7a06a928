#include "bench/replay/simulation.h"

#include <gtest/gtest.h>

#include "bench/replay/bound.h"
#include "bench/replay/credit.h"
#include "bench/replay/policies.h"
#include "tests/bench/replay/hand_made_workload.h"

namespace boragecroft::bench {
namespace {

auto TimeOf(const JobRecord& it) -> microseconds {
  return it.answered - it.sent;
}

class ReplayedWorkload : public testing::Test {
 protected:
  Workload workload = MakeHandMadeWorkload();
  ReplayOptions options;
};

TEST_F(ReplayedWorkload, ServesSingleJobInRunTimePlusHops) {
  AddHandMadeJob(workload, milliseconds{1000}, milliseconds{100}, 1);
  const auto result = SimulateWorkload(workload, options);
  ASSERT_EQ(result.records.size(), 1U);
  EXPECT_EQ(result.records[0].outcome, JobOutcome::kDone);
  EXPECT_GE(TimeOf(result.records[0]), milliseconds{100});
  EXPECT_LT(TimeOf(result.records[0]), milliseconds{105});
  EXPECT_EQ(SummarizeCredit(workload, result).shares.total, 1);
}

TEST_F(ReplayedWorkload, RefusesJobWithoutCapacityBeforeQuarterOfObjective) {
  AddHandMadeJob(workload, milliseconds{1000}, milliseconds{900}, 1);
  AddHandMadeJob(workload, milliseconds{1001}, milliseconds{100}, 1);
  const auto summary =
      SummarizeCredit(workload, SimulateWorkload(workload, options));
  EXPECT_EQ(summary.refused, 0.5);
  EXPECT_EQ(summary.refused_late, 0);
}

TEST_F(ReplayedWorkload, LetsRefusedCallerRetryOnce) {
  AddHandMadeJob(workload, milliseconds{1000}, milliseconds{900}, 1);
  AddHandMadeJob(workload, milliseconds{1001}, milliseconds{100}, 1);
  options.retry_behavior = RetryBehavior::kAsAdvised;
  const auto result = SimulateWorkload(workload, options);
  ASSERT_EQ(result.records.size(), 3U);
  EXPECT_TRUE(result.records[2].is_retry);
  EXPECT_EQ(result.records[2].outcome, JobOutcome::kDone);
  EXPECT_EQ(SummarizeCredit(workload, result).retried_in_time, 1);
}

TEST_F(ReplayedWorkload, LosesRunsOfWorkerThatBecomesUnresponsive) {
  AddHandMadeJob(workload, milliseconds{1000}, milliseconds{300}, 1);
  workload.fault_periods = {{.worker = 0,
                             .fault = WorkerFault::kUnresponsive,
                             .from = milliseconds{1100},
                             .until = milliseconds{4000}}};
  const auto result = SimulateWorkload(workload, options);
  EXPECT_NE(result.records[0].outcome, JobOutcome::kDone);
  EXPECT_GT(result.wasted_core_ms, 900);
}

TEST_F(ReplayedWorkload, TakesLongerOnSlowWorker) {
  AddHandMadeJob(workload, milliseconds{1000}, milliseconds{100}, 1);
  workload.fault_periods = {{.worker = 0,
                             .fault = WorkerFault::kSlow,
                             .factor = 3,
                             .from = milliseconds{900},
                             .until = milliseconds{4000}}};
  const auto result = SimulateWorkload(workload, options);
  EXPECT_GE(TimeOf(result.records[0]), milliseconds{300});
  EXPECT_NEAR(SummarizeCredit(workload, result).shares.total, kLateWorth, 1e-9);
}

// Covers a worker that is unresponsive for 400 ms: no run may stay counted
// after the end.
TEST_F(ReplayedWorkload, SettlesEveryRunAfterUnresponsivePeriod) {
  for (auto n = 0; n < 20; ++n) {
    AddHandMadeJob(workload, milliseconds(1000 + 100 * n), milliseconds{300},
                   1);
  }
  workload.fault_periods = {{.worker = 0,
                             .fault = WorkerFault::kUnresponsive,
                             .from = milliseconds{1100},
                             .until = milliseconds{1500}}};
  EXPECT_EQ(SimulateWorkload(workload, options).unended_runs, 0U);
}

// Covers every policy with every group layout.
class EveryPolicy : public testing::TestWithParam<std::string> {};

TEST_P(EveryPolicy, KeepsWorkerCapacityAndIsDeterministic) {
  for (const auto layout :
       {GroupLayout::kZone, GroupLayout::kInstance, GroupLayout::kSite}) {
    auto shape = ShapeOf("letters-high");
    shape.length = seconds{8};
    const auto workload = DrawWorkload(shape, 3);
    ReplayOptions options;
    options.policy = *PolicyOf(GetParam(), shape);
    options.layout = layout;
    const auto result = SimulateWorkload(workload, options);
    EXPECT_EQ(result.starts_over_capacity, 0U);
    EXPECT_EQ(result.unended_runs, 0U);
    EXPECT_EQ(CreditsOf(workload, result),
              CreditsOf(workload, SimulateWorkload(workload, options)));
  }
}

INSTANTIATE_TEST_SUITE_P(Policies,
                         EveryPolicy,
                         testing::ValuesIn(PolicyNames()));

class ChosenPolicy : public testing::Test {
 protected:
  // Returns the mean credit of three workloads.
  auto CreditOf(const char* policy) const -> double {
    double sum = 0;
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      const auto workload = DrawWorkload(shape, seed);
      ReplayOptions options;
      options.policy = *PolicyOf(policy, shape);
      sum += SummarizeCredit(workload, SimulateWorkload(workload, options))
                 .shares.total;
    }
    return sum / 3;
  }

  WorkloadShape shape = ShapeOf("letters-high");
};

TEST_F(ChosenPolicy, ServesMoreThanCapacityOnlyPoliciesWhenCallersLeaveEarly) {
  shape.wait_in_objectives = 0;
  const auto chosen = CreditOf("chosen");
  EXPECT_GT(chosen, CreditOf("round_robin") + 0.05);
  EXPECT_GT(chosen, CreditOf("two_choices") + 0.05);
}

TEST_F(ChosenPolicy, ServesMoreThanCapacityOnlyPoliciesWhenCallersWait) {
  const auto chosen = CreditOf("chosen");
  EXPECT_GT(chosen, CreditOf("round_robin"));
  EXPECT_GT(chosen, CreditOf("two_choices"));
}

// Covers bursts in which jobs are refused. When all callers were told to retry
// after one second, 0.62 of them were served in time (same workloads, 40
// seeds).
TEST(RefusedCallers, AreServedMoreOftenWhenTheyRetryAsAdvised) {
  double advised = 0;
  double advised_ms = 0;
  double random = 0;
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    const auto workload = DrawWorkload(ShapeOf("letters-high"), seed);
    ReplayOptions options;
    options.retry_behavior = RetryBehavior::kAsAdvised;
    const auto summary =
        SummarizeCredit(workload, SimulateWorkload(workload, options));
    advised += summary.retried_in_time / 4;
    advised_ms += summary.retry_wait_ms / 4;
  }
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    const auto workload = DrawWorkload(ShapeOf("letters-high"), seed);
    ReplayOptions options;
    options.retry_behavior = RetryBehavior::kAtRandom;
    options.longest_retry_wait =
        milliseconds(static_cast<int64_t>(2 * advised_ms));
    random += SummarizeCredit(workload, SimulateWorkload(workload, options))
                  .retried_in_time /
              4;
  }
  EXPECT_GT(advised, random);
}

// Covers jobs with many tasks in a burst while the free capacity is spread over
// the zones. Without asking other groups for an immediate start, the first 60
// seeds earned 0.702 of the credit in bursts.
TEST(WideJobsInBurst, UseCapacityOfOtherZones) {
  double zones = 0;
  double site = 0;
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    const auto workload = DrawWorkload(ShapeOf("letters-high"), seed);
    ReplayOptions options;
    zones += SummarizeCredit(workload, SimulateWorkload(workload, options))
                 .shares.total /
             6;
    options.layout = GroupLayout::kSite;
    site += SummarizeCredit(workload, SimulateWorkload(workload, options))
                .shares.total /
            6;
  }
  EXPECT_GT(zones, site - 0.02);
}

// Checks the stated share of what a plan with full knowledge would earn, under
// high load of the kiosks: two thirds of the workers are slow, and a few jobs
// take seven times as long as the others.
TEST(KioskLoad, EarnsStatedShareOfBound) {
  constexpr auto kWorkloads = 12;
  std::vector<CreditSummary> earned(kWorkloads);
  std::vector<CreditSummary> possible(kWorkloads);
  const auto shape = ShapeOf("kiosks-high");
  for (auto i = 0; i < kWorkloads; ++i) {
    const auto workload = DrawWorkload(shape, static_cast<uint64_t>(i) + 1);
    earned.at(i) = SummarizeCredit(workload, SimulateWorkload(workload, {}));
    possible.at(i).shares = SharesOf(workload, BoundOf(workload));
  }
  const auto served = MeanOf(earned).shares;
  const auto bound = MeanOf(possible).shares;
  EXPECT_GE(served.steady, 0.95 * bound.steady);
  EXPECT_GE(served.bursts, 0.85 * bound.bursts);
}

}  // namespace
}  // namespace boragecroft::bench
