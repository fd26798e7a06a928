#include "servers/scheduling/displacement.h"

#include <limits>

#include "tests/servers/scheduling/scheduler_fixture.h"

namespace boragecroft {
namespace {

constexpr auto kInfinity = std::numeric_limits<double>::infinity();

TEST(CostOfTurningAway, HalvesWithEachPriorityStepAndFallsWithWork) {
  EXPECT_EQ(CostOfTurningAway(1, 100), CostOfTurningAway(0, 100) / 2);
  EXPECT_EQ(CostOfTurningAway(0, 200), CostOfTurningAway(0, 100) / 2);
}

// Guards against costs that are no numbers: they would make the order of the
// waiting jobs undefined.
TEST(CostOfTurningAway, IsPositiveAndFiniteForBadInput) {
  for (const auto work :
       {-5.0, 0.0, kInfinity, -kInfinity, kInfinity - kInfinity, 1e300}) {
    for (const auto priority : {0U, 30U, 1'000'000U, 4'294'967'295U}) {
      const auto cost = CostOfTurningAway(priority, work);
      EXPECT_GT(cost, 0);
      EXPECT_LE(cost, 1);
    }
  }
  EXPECT_EQ(CostOfTurningAway(1'000'000, 1), CostOfTurningAway(30, 1));
}

class WorkFloor : public testing::Test {
 protected:
  Floors floors;
  Instant now = Instant() + seconds{100};
};

// Guards against a kind that gets nothing in a burst of others.
TEST_F(WorkFloor, HoldsUntilKindGotQuarterOfOfferedWork) {
  const auto share = RecordOffered(floors, "overlay", 1000, now);
  EXPECT_TRUE(IsBelowFloor(floors, share, now));
  RecordStarted(floors, share, 249, now);
  EXPECT_TRUE(IsBelowFloor(floors, share, now));
  RecordStarted(floors, share, 1, now);
  EXPECT_FALSE(IsBelowFloor(floors, share, now));
  {
    SCOPED_TRACE("work of more than 1.5 s ago does not count");
    now += milliseconds{1600};
    RecordOffered(floors, "overlay", 1000, now);
    EXPECT_TRUE(IsBelowFloor(floors, share, now));
  }
  {
    SCOPED_TRACE("neither does a kind without offers");
    now += seconds{60};
    EXPECT_FALSE(IsBelowFloor(floors, share, now));
  }
}

// Guards against an order that serves a kind but none of its largest jobs.
TEST_F(WorkFloor, HoldsForLargestTenthOfKind) {
  FloorShare small;
  FloorShare large;
  for (int i = 0; i < 400; ++i) {
    now += milliseconds{10};
    if (i % 20 == 0) {
      large = RecordOffered(floors, "overlay", 5000, now);
      continue;
    }
    small = RecordOffered(floors, "overlay", 100 + i % 7, now);
    RecordStarted(floors, small, 1000, now);
  }
  EXPECT_FALSE(small.largest);
  EXPECT_TRUE(large.largest);
  EXPECT_FALSE(IsBelowFloor(floors, small, now));
  EXPECT_TRUE(IsBelowFloor(floors, large, now));
}

class PredictedStart : public testing::Test {
 protected:
  auto Predict(const std::vector<WaitingClaim>& claims) const
      -> std::vector<milliseconds> {
    std::vector<milliseconds> out;
    for (const auto it : PredictStarts(forecast, claims)) {
      out.push_back(std::chrono::duration_cast<milliseconds>(it));
    }
    return out;
  }

  RoomForecast forecast;
  static constexpr milliseconds kLate{1600};
};

TEST_F(PredictedStart, FollowsExpectedEndsAndJobsBefore) {
  AddRelease(forecast, 10, milliseconds{60}, milliseconds{100});
  AddRelease(forecast, 10, milliseconds{0}, milliseconds{200});
  const WaitingClaim claim{
      .cores = 10, .run_time = milliseconds{50}, .start_within = seconds{1}};
  EXPECT_EQ(
      Predict({claim, claim, claim}),
      (std::vector{milliseconds{40}, milliseconds{90}, milliseconds{140}}));
  {
    SCOPED_TRACE("an overdue run ends after a quarter of its time");
    forecast = {};
    AddRelease(forecast, 10, milliseconds{400}, milliseconds{100});
    EXPECT_EQ(Predict({claim})[0], milliseconds{100});
  }
}

// Guards against a job that can't start in time and makes others too late.
TEST_F(PredictedStart, GivesNoRoomToClaimThatIsTooLate) {
  AddRelease(forecast, 20, milliseconds{0}, milliseconds{100});
  WaitingClaim claim{
      .cores = 20, .run_time = seconds{2}, .start_within = milliseconds{50}};
  const WaitingClaim next{.cores = 20,
                          .run_time = milliseconds{50},
                          .start_within = milliseconds{150}};
  EXPECT_EQ(Predict({claim, next})[1], milliseconds{100});
  claim.keep = true;
  EXPECT_EQ(Predict({claim, next})[1], kLate);
}

TEST_F(PredictedStart, IsStatedForBadInput) {
  AddRelease(forecast, -5, seconds{-1}, seconds{-1});
  AddRelease(forecast, 1, seconds{0}, seconds{1'000'000});
  const auto starts = Predict(
      {{.cores = -1, .run_time = seconds{-1}, .start_within = seconds{1}},
       {.cores = kInfinity, .run_time = seconds{1}, .start_within = seconds{9}},
       {.cores = 1,
        .run_time = seconds{1'000'000},
        .start_within = seconds{9}}});
  EXPECT_EQ(starts[0], milliseconds{0});
  EXPECT_EQ(starts[1], kLate);
  EXPECT_EQ(starts[2], kLate - kForecastPart);
}

// A worker for one task of 14 cores runs job 1 for 60 ms.
class Displacement : public SchedulerFixture {
 protected:
  auto OfferOf(uint64_t name, uint32_t priority, milliseconds run_time)
      -> void {
    auto offer = MakeOffer(name, 1);
    offer.kind = std::string("kind").append(std::to_string(priority));
    offer.priority = priority;
    offer.run_estimate = run_time;
    Offer(offer);
  }

  auto Fill(milliseconds run_time) -> void {
    Begin({MakeEntry("w1", 15'000)});
    OfferOf(1, 1, run_time);
    ASSERT_EQ(Take<StartCommand>().size(), 1);
  }
};

// Replays the start of a burst. Guards against a job of low priority that keeps
// its place when a more important one arrives and only one of them can start in
// time.
TEST_F(Displacement, GivesWaitingJobUpForOneThatCostsMore) {
  Fill(milliseconds{60});
  // Both kinds have got their floor.
  OfferOf(2, 2, milliseconds{60});
  RecordStarted(state.floors, state.jobs.at(JobName{2}).floor, 1e6, now);
  EXPECT_TRUE(Take<ResultCommand>().empty());
  OfferOf(3, 0, milliseconds{60});
  const auto results = Take<ResultCommand>();
  ASSERT_EQ(results.size(), 1);
  EXPECT_EQ(results[0].result.name, JobName{2});
  EXPECT_EQ(results[0].result.outcome, JobOutcome::kRefused);
  EXPECT_EQ(results[0].displaced_by, JobName{3});
  EXPECT_GE(results[0].result.retry_after, seconds{1});
  EXPECT_EQ(state.counters.jobs_displaced, 1);
}

// Guards against waits that cannot help: the caller is told at once.
TEST_F(Displacement, RefusesJobThatWouldStartTooLateAtOnce) {
  Fill(milliseconds{700});
  OfferOf(2, 0, milliseconds{60});
  const auto results = Take<ResultCommand>();
  ASSERT_EQ(results.size(), 1);
  EXPECT_EQ(results[0].result.name, JobName{2});
  EXPECT_EQ(results[0].displaced_by, std::nullopt);
  EXPECT_EQ(state.counters.jobs_displaced, 0);
}

// Guards against refusals that are not true: a job with a start, or one that
// may run elsewhere, is kept whatever arrives.
TEST_F(Displacement, KeepsJobsThatMayHaveRun) {
  Fill(milliseconds{60});
  auto begun = MakeOffer(2, 1);
  begun.priority = 2;
  begun.may_run_elsewhere = true;
  Offer(begun);
  for (uint64_t name = 3; name < 9; ++name) {
    OfferOf(name, 0, milliseconds{60});
  }
  EXPECT_FALSE(state.jobs.at(JobName{1}).ended);
  EXPECT_FALSE(state.jobs.at(JobName{2}).ended);
  EXPECT_TRUE(Take<StopCommand>().empty());
}

// Guards against a change for deployments whose routes have no priority.
TEST_F(Displacement, IsUnusedWithoutPriorities) {
  Begin({MakeEntry("w1", 15'000)});
  OfferOf(1, 0, milliseconds{700});
  OfferOf(2, 0, milliseconds{60});
  EXPECT_TRUE(Take<ResultCommand>().empty());
  AdvanceTime(milliseconds{35});  // 22 % of 156 ms
  EXPECT_EQ(Take<ResultCommand>().size(), 1);
}

}  // namespace
}  // namespace boragecroft
