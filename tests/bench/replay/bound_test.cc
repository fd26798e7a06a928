#include "bench/replay/bound.h"

#include <gtest/gtest.h>

#include <numeric>

#include "bench/replay/policies.h"
#include "tests/bench/replay/hand_made_day.h"

namespace boragecroft::bench {
namespace {

auto SumOf(const Credits& credits) -> double {
  return std::accumulate(credits.begin(), credits.end(), 0.0);
}

class ABound : public testing::Test {
 protected:
  Day day = MakeHandMadeDay();
};

TEST_F(ABound, GivesAnEmptySiteAllCredit) {
  AddHandMadeJob(day, milliseconds{1000}, milliseconds{200}, 1);
  AddHandMadeJob(day, milliseconds{2000}, milliseconds{200}, 2);
  EXPECT_NEAR(SumOf(BoundOf(day)), 3, 1e-3);
}

TEST_F(ABound, GivesRoomToWhatIsWorthMostForItsWork) {
  // Each needs 200 ms within 380 ms: one and nine tenths fit in time.
  AddHandMadeJob(day, milliseconds{1000}, milliseconds{200}, 1);
  AddHandMadeJob(day, milliseconds{1000}, milliseconds{200}, 3);
  const auto fits = FitInOrder(day, {1, 0}, 1);
  EXPECT_NEAR(fits[1], 1, 1e-3);
  EXPECT_NEAR(fits[0], 0.9, 1e-3);
  EXPECT_NEAR(SumOf(BoundOf(day)), 3 + 0.9 * 0.8 + 0.2, 1e-2);
}

TEST_F(ABound, MovesAJobThatCanWaitOutOfTheWayOfOneThatCanNot) {
  // The long one may run until 1860 ms and is planned first.
  AddHandMadeJob(day, milliseconds{1000}, milliseconds{500}, 5);
  AddHandMadeJob(day, milliseconds{1000}, milliseconds{100}, 0.1);
  const auto fits = FitInOrder(day, {0, 1}, 1);
  EXPECT_NEAR(fits[0], 1, 1e-3);
  EXPECT_NEAR(fits[1], 1, 1e-3);
}

TEST_F(ABound, LeavesOutWhatNoWorkerEndsInTime) {
  day.workers[0].speed = 0.5;
  AddHandMadeJob(day, milliseconds{1000}, milliseconds{700}, 1);
  EXPECT_NEAR(FitInOrder(day, {0}, 1)[0], 0, 1e-9);
}

TEST_F(ABound, CountsNoRoomOfSilentWorkersAndLessOfSlowOnes) {
  AddHandMadeJob(day, milliseconds{1000}, milliseconds{200}, 1);
  day.periods = {{.worker = 0,
                  .trouble = WorkerTrouble::kSilent,
                  .from = milliseconds{0},
                  .until = milliseconds{5000}}};
  EXPECT_NEAR(FitInOrder(day, {0}, 1)[0], 0, 1e-9);
  day.periods[0].trouble = WorkerTrouble::kSlow;
  day.periods[0].factor = 4;
  EXPECT_NEAR(FitInOrder(day, {0}, 1)[0], 380.0 / 4 / 200, 0.03);
}

TEST_F(ABound, TellsWhatARefusalCostThatWasNotNeeded) {
  AddHandMadeJob(day, milliseconds{1000}, milliseconds{200}, 1);
  AddHandMadeJob(day, milliseconds{2000}, milliseconds{200}, 1);
  Played played;
  played.records = {JobRecord{.job = 0, .outcome = JobOutcome::kDone},
                    JobRecord{.job = 1, .outcome = JobOutcome::kRefused}};
  EXPECT_NEAR(MissedShare(day, played), 0.5, 1e-3);
}

// The claim that makes it a bound: nothing that is played earns more.
TEST(EveryPlayedDay, EarnsAtMostTheBound) {
  for (const auto& load : ShapeNames()) {
    auto shape = ShapeOf(load);
    shape.length = seconds{10};
    const auto day = DrawDay(shape, 11);
    const auto bound = SharesOf(day, BoundOf(day)).day;
    for (const auto& policy : PolicyNames()) {
      ReplayOptions options;
      options.policy = *PolicyOf(policy, shape);
      const auto credits = CreditsOf(day, PlayDay(day, options));
      EXPECT_LE(SharesOf(day, credits).day, bound + 1e-9)
          << load << " " << policy;
    }
  }
}

}  // namespace
}  // namespace boragecroft::bench
