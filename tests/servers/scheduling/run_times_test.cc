// Checks the estimates of run times and of worker speeds on drawn observations.
#include "servers/scheduling/run_times.h"

#include <gtest/gtest.h>

#include <cmath>
#include <string>
#include <vector>

#include "core/base/random.h"

namespace boragecroft {
namespace {

class ObservedRuns : public testing::Test {
 protected:
  static auto MakeWorker(const std::string& id, const std::string& kind)
      -> WorkerEntry {
    WorkerEntry out;
    out.id = id;
    out.kind = kind;
    return out;
  }

  // Draws a declared run time around `work`, wrong by about 40 %.
  auto Declare(double work_ms) -> microseconds {
    const auto error = std::normal_distribution<double>(0, 0.4)(random);
    return Micros(work_ms * std::exp(error));
  }

  auto DrawWork(double mean_ms) -> double {
    return mean_ms * std::exp(std::normal_distribution<double>(0, 0.4)(random));
  }

  auto Observe(const WorkerEntry& worker, double speed, double mean_ms)
      -> void {
    const auto work = DrawWork(mean_ms);
    RecordRunTime(times, "receipt", worker, Declare(work),
                  Micros(work / speed));
  }

  static auto Micros(double ms) -> microseconds {
    return microseconds(static_cast<int64_t>(ms * 1000));
  }

  auto ExpectedMs(double declared_ms) const -> double {
    const auto time = ExpectedRunTime(times, "receipt", Micros(declared_ms));
    return static_cast<double>(time.count()) / 1000;
  }

  Random random{1};
  RunTimes times;
};

// Guards against held callers: a few jobs take seven times as long as the
// others and declare it. When their declaration was averaged with the usual run
// time, they were started on slow workers and ended after their caller had
// left.
TEST_F(ObservedRuns, TrustDeclarationOfExceptionalJob) {
  const auto worker = MakeWorker("w", "any");
  for (auto i = 0; i < 400; ++i) {
    Observe(worker, 1, i % 33 == 0 ? 1190 : 170);
  }
  EXPECT_GT(ExpectedMs(2700), 1100);
  EXPECT_LT(ExpectedMs(250), 280);
}

// Guards against wrong objectives: they are computed from the run time on a
// worker of speed 1, which run times alone do not determine.
TEST_F(ObservedRuns, KeepSpeedOneAtDeclaredRunTimes) {
  const auto slow = MakeWorker("slow", "small");
  const auto fast = MakeWorker("fast", "big");
  for (auto i = 0; i < 600; ++i) {
    // The slow worker is observed first and most often.
    Observe(i % 4 == 3 ? fast : slow, i % 4 == 3 ? 1.7 : 0.7, 170);
  }
  EXPECT_NEAR(SpeedOf(times, slow), 0.7, 0.1);
  EXPECT_NEAR(SpeedOf(times, fast), 1.7, 0.25);
}

// Guards against chances that are computed with a deviation that the kind does
// not have: one whose declarations are exact, and one whose jobs differ inside.
TEST_F(ObservedRuns, LearnHowFarRunTimesAreFromExpectedOnes) {
  const auto worker = MakeWorker("w", "any");
  const auto first = RunTimeErrorsOf(times, "receipt", Micros(170));
  EXPECT_EQ(first.log_deviation, 0.4);
  EXPECT_EQ(first.among_tasks, 0.15);
  for (auto i = 0; i < 29; ++i) {
    RecordRunTime(times, "receipt", worker, Micros(170), Micros(170));
  }
  EXPECT_EQ(RunTimeErrorsOf(times, "receipt", Micros(170)).log_deviation, 0.4);
  for (auto i = 0; i < 2000; ++i) {
    const auto work = DrawWork(170);
    RecordRunTime(times, "receipt", worker, Micros(work), Micros(work));
    Observe(worker, 1, 170);
    EndedTasks ended;
    AddEndedTask(ended, Micros(170));
    AddEndedTask(ended, Micros(170 * std::exp(0.3)));
    RecordTasksOfJob(times, "receipt", ended);
  }
  const auto learned = RunTimeErrorsOf(times, "receipt", Micros(170));
  EXPECT_NEAR(learned.log_deviation, 0.27, 0.05);
  EXPECT_NEAR(learned.among_tasks, 0.3 / std::sqrt(2), 0.01);
  // The declaration of an exceptional job counts in full, with its error.
  EXPECT_EQ(RunTimeErrorsOf(times, "receipt", Micros(2700)).log_deviation, 0.4);
}

// Covers workers that join or restart while the others of their kind are known.
TEST_F(ObservedRuns, GiveNewWorkerTheSpeedOfItsKind) {
  for (auto i = 0; i < 600; ++i) {
    const auto big = i % 3 == 2;
    const auto id = std::string("w").append(std::to_string(i % 12));
    Observe(MakeWorker(id, big ? "big" : "small"), big ? 1.7 : 0.7, 170);
  }
  EXPECT_GT(SpeedOf(times, MakeWorker("new", "big")),
            2 * SpeedOf(times, MakeWorker("other", "small")));
  EXPECT_EQ(SpeedOf(times, MakeWorker("third", "unknown")), 1.0);
}

}  // namespace
}  // namespace boragecroft
