#include "bench/replay/world.h"

#include <gtest/gtest.h>

#include "bench/replay/account.h"
#include "bench/replay/policies.h"
#include "tests/bench/replay/hand_made_day.h"

namespace boragecroft::bench {
namespace {

auto TimeOf(const JobRecord& it) -> microseconds {
  return it.answered - it.sent;
}

class AReplayedDay : public testing::Test {
 protected:
  Day day = MakeHandMadeDay();
  ReplayOptions options;
};

TEST_F(AReplayedDay, ServesALoneJobInItsRunTimeAndAFewHops) {
  AddHandMadeJob(day, milliseconds{1000}, milliseconds{100}, 1);
  const auto played = PlayDay(day, options);
  ASSERT_EQ(played.records.size(), 1U);
  EXPECT_EQ(played.records[0].outcome, JobOutcome::kDone);
  EXPECT_GE(TimeOf(played.records[0]), milliseconds{100});
  EXPECT_LT(TimeOf(played.records[0]), milliseconds{105});
  EXPECT_EQ(AccountOf(day, played).shares.day, 1);
}

TEST_F(AReplayedDay, RefusesWhatFindsNoRoomAfterAQuarterOfItsObjective) {
  AddHandMadeJob(day, milliseconds{1000}, milliseconds{900}, 1);
  AddHandMadeJob(day, milliseconds{1001}, milliseconds{100}, 1);
  const auto account = AccountOf(day, PlayDay(day, options));
  EXPECT_EQ(account.refused, 0.5);
  EXPECT_EQ(account.refused_late, 0);
}

TEST_F(AReplayedDay, LetsARefusedCallerComeBackOnce) {
  AddHandMadeJob(day, milliseconds{1000}, milliseconds{900}, 1);
  AddHandMadeJob(day, milliseconds{1001}, milliseconds{100}, 1);
  options.returns = ReturnHabit::kAsTold;
  const auto played = PlayDay(day, options);
  ASSERT_EQ(played.records.size(), 3U);
  EXPECT_TRUE(played.records[2].returned);
  EXPECT_EQ(played.records[2].outcome, JobOutcome::kDone);
  EXPECT_EQ(AccountOf(day, played).returned_in_time, 1);
}

TEST_F(AReplayedDay, LosesTheRunsOfAWorkerThatFallsSilent) {
  AddHandMadeJob(day, milliseconds{1000}, milliseconds{300}, 1);
  day.periods = {{.worker = 0,
                  .trouble = WorkerTrouble::kSilent,
                  .from = milliseconds{1100},
                  .until = milliseconds{4000}}};
  const auto played = PlayDay(day, options);
  EXPECT_NE(played.records[0].outcome, JobOutcome::kDone);
  EXPECT_GT(played.wasted_core_ms, 900);
}

TEST_F(AReplayedDay, TakesLongerOnASlowWorker) {
  AddHandMadeJob(day, milliseconds{1000}, milliseconds{100}, 1);
  day.periods = {{.worker = 0,
                  .trouble = WorkerTrouble::kSlow,
                  .factor = 3,
                  .from = milliseconds{900},
                  .until = milliseconds{4000}}};
  const auto played = PlayDay(day, options);
  EXPECT_GE(TimeOf(played.records[0]), milliseconds{300});
  EXPECT_NEAR(AccountOf(day, played).shares.day, kLateWorth, 1e-9);
}

// Every policy and layout, on days of each load.
TEST_F(AReplayedDay, SettlesEveryRunAfterASpellOfSilence) {
  for (auto n = 0; n < 20; ++n) {
    AddHandMadeJob(day, milliseconds(1000 + 100 * n), milliseconds{300}, 1);
  }
  day.periods = {{.worker = 0,
                  .trouble = WorkerTrouble::kSilent,
                  .from = milliseconds{1100},
                  .until = milliseconds{1500}}};
  EXPECT_EQ(PlayDay(day, options).unsettled, 0U);
}

class EveryPolicy : public testing::TestWithParam<std::string> {};

TEST_P(EveryPolicy, KeepsTheRoomOfWorkersAndRepeatsItself) {
  for (const auto layout :
       {GroupLayout::kZone, GroupLayout::kInstance, GroupLayout::kSite}) {
    auto shape = ShapeOf("letters-high");
    shape.length = seconds{8};
    const auto day = DrawDay(shape, 3);
    ReplayOptions options;
    options.policy = *PolicyOf(GetParam(), shape);
    options.layout = layout;
    const auto played = PlayDay(day, options);
    EXPECT_EQ(played.overfull, 0U);
    EXPECT_EQ(played.unsettled, 0U);
    EXPECT_EQ(CreditsOf(day, played), CreditsOf(day, PlayDay(day, options)));
  }
}

INSTANTIATE_TEST_SUITE_P(Policies,
                         EveryPolicy,
                         testing::ValuesIn(PolicyNames()));

TEST(TheChosenPolicy, ServesMoreThanThoseThatLookAtRoomOnly) {
  auto shape = ShapeOf("letters-high");
  double chosen = 0;
  double round_robin = 0;
  double two_choices = 0;
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    const auto day = DrawDay(shape, seed);
    const auto credit = [&](const char* policy) {
      ReplayOptions options;
      options.policy = *PolicyOf(policy, shape);
      return AccountOf(day, PlayDay(day, options)).shares.day / 3;
    };
    chosen += credit("chosen");
    round_robin += credit("round_robin");
    two_choices += credit("two_choices");
  }
  EXPECT_GT(chosen, round_robin + 0.05);
  EXPECT_GT(chosen, two_choices + 0.05);
}

// Load answered: bursts that refuse. Told to come back after one second, all of
// them, 0.62 of the callers were served in time then; these days, 40 seeds.
TEST(CallersOfRefusedJobs, AreServedMoreOftenWhenTheyReturnAsToldThanAtRandom) {
  double told = 0;
  double told_ms = 0;
  double random = 0;
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    const auto day = DrawDay(ShapeOf("letters-high"), seed);
    ReplayOptions options;
    options.returns = ReturnHabit::kAsTold;
    const auto account = AccountOf(day, PlayDay(day, options));
    told += account.returned_in_time / 4;
    told_ms += account.return_wait_ms / 4;
  }
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    const auto day = DrawDay(ShapeOf("letters-high"), seed);
    ReplayOptions options;
    options.returns = ReturnHabit::kAtRandom;
    options.longest_return = milliseconds(static_cast<int64_t>(2 * told_ms));
    random += AccountOf(day, PlayDay(day, options)).returned_in_time / 4;
  }
  EXPECT_GT(told, random);
}

// Load answered: wide jobs in a burst, with room spread over the zones. Without
// asking other groups for room at once, the first 60 seeds earned 0.702 of the
// credit in bursts.
TEST(WideJobsInABurst, FindTheRoomOfOtherZones) {
  double zones = 0;
  double site = 0;
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    const auto day = DrawDay(ShapeOf("letters-high"), seed);
    ReplayOptions options;
    zones += AccountOf(day, PlayDay(day, options)).shares.day / 6;
    options.layout = GroupLayout::kSite;
    site += AccountOf(day, PlayDay(day, options)).shares.day / 6;
  }
  EXPECT_GT(zones, site - 0.02);
}

}  // namespace
}  // namespace boragecroft::bench
