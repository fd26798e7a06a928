#include "servers/estimates/run_time_distribution.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace boragecroft {
namespace {

// From this many deviations on, the logarithm of the chance to exceed a value
// is computed from its asymptotic series.
constexpr double kFarTail = 20;
// Beyond this many deviations, the chance to exceed a value is too small for a
// double.
constexpr double kFarthestTail = 35;
// Smallest deviation and speed that are divided by.
constexpr double kMinDeviation = 1e-6;
constexpr double kMinSpeed = 1e-6;
// Chances by which the deviation of the slowest task is measured: one deviation
// below and above the median of a normal distribution.
constexpr double kOneDeviationBelow = 0.1587;
constexpr double kOneDeviationAbove = 0.8413;

// Returns the logarithm of the chance that a standard normal value exceeds `z`.
auto LogExceeding(double z) -> double {
  if (z < kFarTail) {
    return std::log(std::erfc(z / std::numbers::sqrt2) / 2);
  }
  return -z * z / 2 - std::log(z * std::sqrt(2 * std::numbers::pi)) +
         std::log1p(-1 / (z * z));
}

// Returns the value that a standard normal value exceeds with the chance `p`,
// by the approximation 26.2.23 of Abramowitz and Stegun and one Newton step.
auto ExceededWith(double p) -> double {
  if (p > 0.5) {
    return -ExceededWith(1 - p);
  }
  const auto t = std::sqrt(-2 * std::log(p));
  const auto above = 2.515517 + t * (0.802853 + t * 0.010328);
  const auto below = 1 + t * (1.432788 + t * (0.189269 + t * 0.001308));
  const auto z = t - above / below;
  const auto density = std::exp(-z * z / 2) / std::sqrt(2 * std::numbers::pi);
  const auto error = std::erfc(z / std::numbers::sqrt2) / 2 - p;
  return z + error / density;
}

// Returns how many deviations a run time on a worker of `speed` lies above the
// median.
auto DeviationsOf(const RunTimeDistribution& it,
                  double speed,
                  microseconds time) -> double {
  const auto work = static_cast<double>(time.count()) * speed;
  return (std::log(work) - it.log_median) /
         std::max(it.log_deviation, kMinDeviation);
}

auto TimeAt(const RunTimeDistribution& it, double speed, double deviations)
    -> microseconds {
  const auto work = std::exp(it.log_median + it.log_deviation * deviations);
  const auto us = work / std::max(speed, kMinSpeed);
  constexpr auto kLongest =
      static_cast<double>(microseconds(std::chrono::hours{1}).count());
  return microseconds(static_cast<int64_t>(std::min(us, kLongest)));
}

// Returns the position, in deviations, at which the largest of `n` normal
// values is expected with this chance.
auto PositionOfLargest(uint32_t n, double chance) -> double {
  return ExceededWith(-std::expm1(std::log(chance) / n));
}

// Error of the mean of a job's tasks, and the deviation of one task from it.
struct JobMean {
  double log_median = 0;
  double deviation = 0;
};

// Combines the expected run time with what the ended tasks took, each weighted
// by the inverse of its variance.
auto MeanOfJob(double log_median,
               const RunTimeErrors& errors,
               const EndedTasks& ended,
               uint32_t started) -> JobMean {
  const auto among = std::max(errors.among_tasks, kMinDeviation);
  const auto common =
      std::max(errors.log_deviation * errors.log_deviation - among * among,
               kMinDeviation);
  if (ended.count == 0) {
    return {.log_median = log_median, .deviation = std::sqrt(common)};
  }
  // Expected position of the k-th shortest of n run times (Blom).
  const auto n = std::max(started, ended.count);
  const auto position = ExceededWith(1 - (ended.count - 0.375) / (n + 0.25));
  const auto observed = ended.longest - position * among;
  const auto weight = ended.count / (among * among);
  const auto sum = weight + 1 / common;
  return {.log_median = (observed * weight + log_median / common) / sum,
          .deviation = std::sqrt(1 / sum)};
}

}  // namespace

auto ChanceOfEnd(const RunTimeDistribution& run_time,
                 double speed,
                 microseconds elapsed,
                 microseconds limit) -> double {
  if (limit <= microseconds{0} || limit <= elapsed) {
    return 0;
  }
  speed = std::max(speed, kMinSpeed);
  const auto at_limit = LogExceeding(DeviationsOf(run_time, speed, limit));
  if (elapsed <= microseconds{0}) {
    return -std::expm1(at_limit);
  }
  const auto now = LogExceeding(DeviationsOf(run_time, speed, elapsed));
  return std::clamp(-std::expm1(at_limit - now), 0.0, 1.0);
}

auto SlowestOf(const RunTimeDistribution& run_time, uint32_t tasks)
    -> RunTimeDistribution {
  if (tasks <= 1) {
    return run_time;
  }
  const auto middle = PositionOfLargest(tasks, 0.5);
  const auto spread = (PositionOfLargest(tasks, kOneDeviationAbove) -
                       PositionOfLargest(tasks, kOneDeviationBelow)) /
                      2;
  return {.log_median = run_time.log_median + run_time.log_deviation * middle,
          .log_deviation = run_time.log_deviation * spread};
}

auto RunTimeOfChance(const RunTimeDistribution& run_time,
                     double speed,
                     double chance) -> microseconds {
  return TimeAt(run_time, speed, ExceededWith(1 - chance));
}

auto ElapsedOfChance(const RunTimeDistribution& run_time,
                     double speed,
                     microseconds limit,
                     double chance) -> microseconds {
  if (limit <= microseconds{0}) {
    return microseconds{0};
  }
  speed = std::max(speed, kMinSpeed);
  const auto at_limit = DeviationsOf(run_time, speed, limit);
  // So far in the tail, the chance falls only just before the limit.
  if (at_limit > kFarthestTail) {
    return limit;
  }
  // The chance given `elapsed` is 1 - S(limit) / S(elapsed).
  const auto exceeding = std::exp(LogExceeding(at_limit)) / (1 - chance);
  if (exceeding >= 1) {
    return microseconds{0};
  }
  return std::min(limit, TimeAt(run_time, speed, ExceededWith(exceeding)));
}

auto AddEndedTask(EndedTasks& ended, microseconds run_time) -> void {
  const auto value = std::log(
      static_cast<double>(std::max(run_time, microseconds{1}).count()));
  ended.longest = ended.count == 0 ? value : std::max(ended.longest, value);
  ++ended.count;
  const auto off = value - ended.mean;
  ended.mean += off / ended.count;
  ended.squares += off * (value - ended.mean);
}

auto TaskRunTime(double log_median,
                 const RunTimeErrors& errors,
                 const EndedTasks& ended,
                 uint32_t started) -> RunTimeDistribution {
  return JobRunTime(log_median, errors, ended, started, 1);
}

auto JobRunTime(double log_median,
                const RunTimeErrors& errors,
                const EndedTasks& ended,
                uint32_t started,
                uint32_t tasks) -> RunTimeDistribution {
  const auto mean = MeanOfJob(log_median, errors, ended, started);
  const auto slowest = SlowestOf(
      {.log_median = mean.log_median, .log_deviation = errors.among_tasks},
      tasks);
  return {.log_median = slowest.log_median,
          .log_deviation = std::hypot(mean.deviation, slowest.log_deviation)};
}

}  // namespace boragecroft
