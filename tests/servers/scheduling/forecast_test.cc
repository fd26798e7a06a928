// Checks the chances of a job and when they are gone, without a holder.
#include "servers/scheduling/forecast.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace boragecroft {
namespace {

class ForecastJob : public testing::Test {
 protected:
  auto Declare(milliseconds run_time, double fastest = 1) -> void {
    forecast = MakeForecast(RunTimes(), "booking-confirm", run_time, fastest);
  }

  auto ChanceToContinueAt(milliseconds since_start, uint32_t waiting) const
      -> double {
    return ChanceToContinue(forecast, run, waiting, start + since_start,
                            latest);
  }

  const Instant start = Instant() + seconds(100);
  const Instant latest = start + milliseconds{1480};
  RunProgress run{.started_at = start, .speed = 1};
  JobForecast forecast;
};

// Guards against a time of refusal or stop that contradicts the chance that is
// logged with it.
TEST_F(ForecastJob, LosesItsChanceAtTheTimeThatIsComputedForIt) {
  for (const auto declared : {100, 400, 760, 1300}) {
    Declare(milliseconds{declared});
    const auto at = LatestStart(forecast, 4, kMinChanceToStart, latest);
    EXPECT_NEAR(ChanceToStart(forecast, 4, at, latest), kMinChanceToStart,
                0.001);
    for (const auto waiting : {0U, 2U}) {
      const auto gone = LatestContinue(forecast, run, waiting, latest);
      EXPECT_LE(gone, latest);
      EXPECT_GE(ChanceToContinue(forecast, run, waiting, gone - milliseconds{1},
                                 latest),
                kMinChanceToContinue);
      EXPECT_LE(ChanceToContinue(forecast, run, waiting, gone + milliseconds{1},
                                 latest),
                kMinChanceToContinue + 0.001);
    }
  }
}

// Guards against jobs given up for one slow worker: a run that can't end there
// may be started again on the fastest one.
TEST_F(ForecastJob, CountsAnotherStartOnTheFastestWorker) {
  Declare(milliseconds{300});
  run.speed = 0.05;
  EXPECT_GT(ChanceToContinueAt(milliseconds{100}, 0), 0.9);
  EXPECT_GT(LatestContinue(forecast, run, 0, latest), start + seconds(1));
}

// Guards against jobs given up for a worker that became slow: its run says
// nothing about the other tasks.
TEST_F(ForecastJob, IgnoresEndOfOverdueRun) {
  Declare(milliseconds{200});
  AddEndedTask(forecast, milliseconds{210}, 3);
  AddEndedTask(forecast, milliseconds{1400}, 3);
  EXPECT_EQ(forecast.ended.count, 1U);
  EXPECT_GT(ChanceToContinueAt(milliseconds{200}, 1), 0.9);
}

// Guards against moves of good runs: the declared run time of an exceptional
// job was too short, and its first ended task shows that the others are not
// overdue.
TEST_F(ForecastJob, BelievesFirstEndedTaskHoweverLong) {
  Declare(milliseconds{200});
  AddEndedTask(forecast, milliseconds{1100}, 2);
  EXPECT_GT(forecast.median, milliseconds{800});
}

// Guards against stops of jobs while nothing is known of the workers, after a
// takeover: no chance can be computed.
TEST_F(ForecastJob, KeepsItsChanceWhileNoWorkerIsKnown) {
  Declare(milliseconds{5000}, 0);
  EXPECT_EQ(ChanceToStart(forecast, 4, start, latest), 1);
  EXPECT_EQ(LatestStart(forecast, 4, kMinChanceToStart, latest), latest);
  EXPECT_EQ(LatestContinue(forecast, run, 1, latest), latest);
}

// Guards against evidence that is not used: one ended task narrows the forecast
// to the deviation among tasks.
TEST_F(ForecastJob, FollowsItsEndedTasks) {
  Declare(milliseconds{500});
  const auto before = forecast;
  AddEndedTask(forecast, milliseconds{800}, 4);
  EXPECT_GT(forecast.median, milliseconds{780});
  EXPECT_LT(forecast.median, milliseconds{960});
  EXPECT_LT(forecast.task.log_deviation, before.task.log_deviation / 1.5);
  EXPECT_LT(forecast.shortest, forecast.median);
}

}  // namespace
}  // namespace boragecroft
