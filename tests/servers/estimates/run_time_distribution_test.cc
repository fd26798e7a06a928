// Checks the chances that run times are held against, on drawn run times.
#include "servers/estimates/run_time_distribution.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <vector>

#include "core/base/random.h"

namespace boragecroft {
namespace {

constexpr microseconds kNone{0};

auto Around(milliseconds median, double deviation) -> RunTimeDistribution {
  return {
      .log_median = std::log(static_cast<double>(microseconds(median).count())),
      .log_deviation = deviation};
}

class DrawnRuns : public testing::Test {
 protected:
  auto Draw(const RunTimeDistribution& it) -> microseconds {
    std::normal_distribution<double> normal(it.log_median, it.log_deviation);
    return microseconds(static_cast<int64_t>(std::exp(normal(random))));
  }

  Random random{1};
};

// Guards against refusals and stops by a wrong chance: it must be the share of
// the runs that do end in time, on workers of any speed, and among those that
// are still running after some time.
TEST_F(DrawnRuns, EndInTimeAsOftenAsTheChanceSays) {
  const auto booking = Around(milliseconds{760}, 0.4);
  for (const auto speed : {0.6, 1.0, 1.6}) {
    for (const auto elapsed : {kNone, microseconds{700'000}}) {
      constexpr microseconds kLimit{1'480'000};
      auto running = 0;
      auto ended = 0;
      for (auto i = 0; i < 20'000; ++i) {
        const auto run = Draw(booking) / speed;
        running += run > elapsed ? 1 : 0;
        ended += run > elapsed && run <= kLimit ? 1 : 0;
      }
      EXPECT_NEAR(ChanceOfEnd(booking, speed, elapsed, kLimit),
                  static_cast<double>(ended) / running, 0.015);
    }
  }
}

// Guards against jobs accepted by the chance of one of their tasks: a job ends
// with its slowest task.
TEST_F(DrawnRuns, EndWithTheSlowestTask) {
  const auto task = Around(milliseconds{200}, 0.15);
  for (const auto tasks : {1U, 2U, 8U, 32U}) {
    const auto slowest = SlowestOf(task, tasks);
    std::vector<microseconds> longest(4000);
    for (auto& it : longest) {
      for (auto i = 0U; i < tasks; ++i) {
        it = std::max(it, Draw(task));
      }
    }
    std::sort(longest.begin(), longest.end());
    for (const auto share : {0.1, 0.5, 0.9}) {
      const auto limit = longest[static_cast<size_t>(share * 4000)];
      EXPECT_NEAR(ChanceOfEnd(slowest, 1, kNone, limit), share, 0.04)
          << tasks << " tasks";
    }
  }
}

// Guards against jobs held to their deadline although the first ended task
// shows that the others can't end in time, and against stops of jobs whose
// first ended task is only the shortest of them.
TEST_F(DrawnRuns, TellOfTheOtherTasksOfTheirJob) {
  constexpr RunTimeErrors kErrors{.log_deviation = 0.4, .among_tasks = 0.15};
  const auto declared = Around(milliseconds{700}, 0).log_median;
  std::vector<double> errors;
  auto outside = 0;
  for (auto i = 0; i < 2000; ++i) {
    const auto job = Draw(Around(milliseconds{700}, 0.37));
    const auto task = Around(milliseconds{0}, 0);
    std::vector<microseconds> runs(4);
    for (auto& it : runs) {
      it = Draw({.log_median = std::log(static_cast<double>(job.count())),
                 .log_deviation = 0.15});
    }
    std::sort(runs.begin(), runs.end());
    EndedTasks ended;
    AddEndedTask(ended, runs[0]);
    const auto rest = TaskRunTime(declared, kErrors, ended, 4);
    EXPECT_LT(rest.log_deviation, 0.22);
    EXPECT_GT(rest.log_deviation, task.log_deviation);
    errors.push_back(std::log(static_cast<double>(job.count())) -
                     rest.log_median);
    const auto slowest = JobRunTime(declared, kErrors, ended, 4, 3);
    outside += runs[3] > RunTimeOfChance(slowest, 1, 0.9) ? 1 : 0;
  }
  double mean = 0;
  for (const auto it : errors) {
    mean += it / static_cast<double>(errors.size());
  }
  EXPECT_NEAR(mean, 0, 0.03);
  EXPECT_NEAR(outside / 2000.0, 0.1, 0.05);
}

// Guards against tasks of one job treated as independent: the error of the
// declaration is common to all of them, so that 16 tasks are hardly slower
// than one.
TEST(JobOfManyTasks, SharesTheErrorOfItsDeclaration) {
  constexpr RunTimeErrors kErrors{.log_deviation = 0.4, .among_tasks = 0.15};
  const auto one = TaskRunTime(10, kErrors, {}, 0);
  const auto all = JobRunTime(10, kErrors, {}, 0, 16);
  EXPECT_NEAR(one.log_deviation, 0.4, 0.001);
  EXPECT_NEAR(all.log_deviation, 0.38, 0.01);
  EXPECT_NEAR(all.log_median - one.log_median, 0.15 * 1.72, 0.02);
}

// Guards against a time of giving up that differs from the chance it stands
// for: it is computed once for each change of a job.
TEST(TimeOfGivingUp, IsWhenTheChanceFallsBelowTheBound) {
  constexpr microseconds kLimit{1'480'000};
  constexpr microseconds kStep{1000};
  for (const auto median : {100, 760, 2000, 2600}) {
    const auto run_time = Around(milliseconds{median}, 0.3);
    for (const auto bound : {0.02, 0.2}) {
      const auto at = ElapsedOfChance(run_time, 1, kLimit, bound);
      EXPECT_LE(at, kLimit);
      if (at > kStep) {
        EXPECT_GE(ChanceOfEnd(run_time, 1, at - kStep, kLimit), bound);
      }
      if (at < kLimit) {
        EXPECT_LE(ChanceOfEnd(run_time, 1, at + kStep, kLimit), bound);
      }
    }
  }
}

TEST(TimeOfGivingUp, IsAtOnceWithoutAChanceFromTheStart) {
  const auto hopeless = Around(milliseconds{5300}, 0.4);
  EXPECT_EQ(ElapsedOfChance(hopeless, 1, microseconds{1'480'000}, 0.02), kNone);
  EXPECT_EQ(ElapsedOfChance(hopeless, 1, kNone, 0.02), kNone);
}

// Guards against divisions by zero and against a chance that is not a number,
// which would hold a job for ever: deep in the tail, at speed 0, with exact
// run times.
TEST(ChanceOfExtremeRun, LiesBetweenNoneAndCertain) {
  for (const auto median : {1, 1000, 3'600'000}) {
    for (const auto deviation : {0.0, 0.01, 3.0}) {
      for (const auto speed : {0.0, 0.01, 1.0, 100.0}) {
        const auto run_time = Around(milliseconds{median}, deviation);
        for (const auto elapsed : {-1, 0, 1, 1'000'000}) {
          const auto chance = ChanceOfEnd(
              run_time, speed, microseconds{elapsed}, microseconds{1'400'000});
          EXPECT_TRUE(chance >= 0 && chance <= 1) << chance;
        }
        const auto at =
            ElapsedOfChance(run_time, speed, microseconds{1'400'000}, 0.02);
        EXPECT_TRUE(at >= kNone && at <= microseconds{1'400'000});
      }
    }
  }
  const auto run_time = Around(milliseconds{100}, 0.1);
  EXPECT_EQ(ChanceOfEnd(run_time, 1, kNone, kNone), 0);
  EXPECT_EQ(ChanceOfEnd(run_time, 1, microseconds{9}, microseconds{9}), 0);
}

}  // namespace
}  // namespace boragecroft
