// Learns how long tasks of a kind of job run against their declared run time,
// and how fast each worker is. Declared run times are off by tens of percent.
#ifndef SERVERS_SCHEDULING_RUN_TIMES_H_
#define SERVERS_SCHEDULING_RUN_TIMES_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "core/base/clock.h"

namespace boragecroft {

// Exponentially weighted mean of the logarithm of a ratio.
struct LogMean {
  double value = 0;
  uint32_t observations = 0;  // saturates
};

// Run times of a kind against declared ones, both as logarithms: a line with
// slope 1 trusts what is declared, slope 0 the kind's mean alone. Where
// declared run times are as far off as run times differ, the best line lies
// between.
struct KindRegression {
  uint32_t observations = 0;  // saturates
  double mean_declared = 0;
  double mean_run = 0;
  double declared_variance = 0;
  double covariance = 0;
};

struct RunTimes {
  std::unordered_map<std::string, KindRegression> kinds;
  std::unordered_map<std::string, LogMean> workers;  // run time / expected
};

// Notes a task that ended as done after `run_time`.
auto RecordRunTime(RunTimes& times,
                   const std::string& kind,
                   const std::string& worker,
                   microseconds declared,
                   microseconds run_time) -> void;
// Notes a run that has not ended after a multiple of its expected time.
auto RecordOverdue(RunTimes& times, const std::string& worker) -> void;
// Forgets a worker that left or started anew.
auto RemoveWorker(RunTimes& times, const std::string& worker) -> void;

// The run time to expect on a worker of speed 1.
auto ExpectedRunTime(const RunTimes& times,
                     const std::string& kind,
                     microseconds declared) -> microseconds;
// 1 is average or unknown, 2 is twice as fast.
auto SpeedOf(const RunTimes& times, const std::string& worker) -> double;

}  // namespace boragecroft

#endif  // SERVERS_SCHEDULING_RUN_TIMES_H_
