#include "bench/replay/bound.h"

#include <gtest/gtest.h>

#include <numeric>

#include "bench/replay/policies.h"
#include "tests/bench/replay/hand_made_workload.h"

namespace boragecroft::bench {
namespace {

auto SumOf(const Credits& credits) -> double {
  return std::accumulate(credits.begin(), credits.end(), 0.0);
}

class CreditBound : public testing::Test {
 protected:
  Workload workload = MakeHandMadeWorkload();
};

TEST_F(CreditBound, GivesFullCreditOnIdleSite) {
  AddHandMadeJob(workload, milliseconds{1000}, milliseconds{200}, 1);
  AddHandMadeJob(workload, milliseconds{2000}, milliseconds{200}, 2);
  EXPECT_NEAR(SumOf(BoundOf(workload)), 3, 1e-3);
}

TEST_F(CreditBound, PrefersHighestWorthDensity) {
  // Each job needs 200 ms within 380 ms, so 1.9 jobs fit in time.
  AddHandMadeJob(workload, milliseconds{1000}, milliseconds{200}, 1);
  AddHandMadeJob(workload, milliseconds{1000}, milliseconds{200}, 3);
  const auto fits = FitInOrder(workload, {1, 0}, 1);
  EXPECT_NEAR(fits[1], 1, 1e-3);
  EXPECT_NEAR(fits[0], 0.9, 1e-3);
  EXPECT_NEAR(SumOf(BoundOf(workload)), 3 + 0.9 * 0.8 + 0.2, 1e-2);
}

TEST_F(CreditBound, MovesFlexibleJobForUrgentJob) {
  // The long job may run until 1860 ms and is planned first.
  AddHandMadeJob(workload, milliseconds{1000}, milliseconds{500}, 5);
  AddHandMadeJob(workload, milliseconds{1000}, milliseconds{100}, 0.1);
  const auto fits = FitInOrder(workload, {0, 1}, 1);
  EXPECT_NEAR(fits[0], 1, 1e-3);
  EXPECT_NEAR(fits[1], 1, 1e-3);
}

TEST_F(CreditBound, ExcludesJobThatNoWorkerEndsInTime) {
  workload.workers[0].speed = 0.5;
  AddHandMadeJob(workload, milliseconds{1000}, milliseconds{700}, 1);
  EXPECT_NEAR(FitInOrder(workload, {0}, 1)[0], 0, 1e-9);
}

TEST_F(CreditBound, CountsNoCapacityOfUnresponsiveAndLessOfSlowWorkers) {
  AddHandMadeJob(workload, milliseconds{1000}, milliseconds{200}, 1);
  workload.fault_periods = {{.worker = 0,
                             .fault = WorkerFault::kUnresponsive,
                             .from = milliseconds{0},
                             .until = milliseconds{5000}}};
  EXPECT_NEAR(FitInOrder(workload, {0}, 1)[0], 0, 1e-9);
  workload.fault_periods[0].fault = WorkerFault::kSlow;
  workload.fault_periods[0].factor = 4;
  EXPECT_NEAR(FitInOrder(workload, {0}, 1)[0], 380.0 / 4 / 200, 0.03);
}

// Guards against shares that mix up the sizes: the largest tenth of ten jobs is
// the one that is not served here.
TEST_F(CreditBound, ReportsSharesBySize) {
  for (int i = 1; i <= 10; ++i) {
    AddHandMadeJob(workload, milliseconds{3000} * i, milliseconds{100 + i}, 1);
  }
  Credits served(10, 1);
  served[9] = 0;
  served[8] = 0.5;
  const auto shares = ServedSharesOf(workload, served);
  EXPECT_NEAR(shares[0].all, 0.85, 1e-9);
  EXPECT_EQ(shares[0].largest, 0);
  EXPECT_EQ(shares[0].next_fifth, 0.75);
  EXPECT_EQ(shares[0].tenths[1], 0.5);
  EXPECT_EQ(shares[0].tenths[9], 1);
}

// Guards against a bound on served jobs that counts late answers as unserved:
// the caller waits 1500 ms, far longer than the objective of 220 ms.
TEST_F(CreditBound, OfServedJobsLastsUntilCallerLeaves) {
  AddHandMadeJob(workload, milliseconds{1000}, milliseconds{100}, 1, 10);
  EXPECT_NEAR(FitInOrder(workload, {0}, 1)[0], 0.22, 0.01);
  EXPECT_NEAR(ServedBoundOf(workload)[0], 1, 1e-3);
}

TEST_F(CreditBound, ReportsCostOfAvoidableRefusal) {
  AddHandMadeJob(workload, milliseconds{1000}, milliseconds{200}, 1);
  AddHandMadeJob(workload, milliseconds{2000}, milliseconds{200}, 1);
  SimulationResult result;
  result.records = {JobRecord{.job = 0, .outcome = JobOutcome::kDone},
                    JobRecord{.job = 1, .outcome = JobOutcome::kRefused}};
  EXPECT_NEAR(MissedShare(workload, result), 0.5, 1e-3);
}

// Checks that the value is an upper bound: no policy earns more.
TEST(EverySimulatedWorkload, EarnsAtMostTheBound) {
  for (const auto& load : ShapeNames()) {
    auto shape = ShapeOf(load);
    // The large sites have as many jobs in 3 s as the small ones in 10 s.
    shape.length = shape.workers_per_zone > 16 ? seconds{3} : seconds{10};
    const auto workload = DrawWorkload(shape, 11);
    const auto bound = SharesOf(workload, BoundOf(workload)).total;
    for (const auto& policy : PolicyNames()) {
      ReplayOptions options;
      options.policy = *PolicyOf(policy, shape);
      const auto credits =
          CreditsOf(workload, SimulateWorkload(workload, options));
      EXPECT_LE(SharesOf(workload, credits).total, bound + 1e-9)
          << load << " " << policy;
    }
  }
}

}  // namespace
}  // namespace boragecroft::bench
