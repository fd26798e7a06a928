// Distribution of the run time that a task or a job still needs.
//
// Handles declared run times that are 40 % off: one number can't tell a run
// that is hopeless from one that is merely late. A lognormal distribution
// gives the chance that a run ends before its caller leaves, also while it
// runs and after other tasks of its job have ended.
#ifndef SERVERS_ESTIMATES_RUN_TIME_DISTRIBUTION_H_
#define SERVERS_ESTIMATES_RUN_TIME_DISTRIBUTION_H_

#include <cstdint>

#include "core/base/clock.h"

namespace boragecroft {

// Lognormal distribution of a run time in microseconds on a worker of speed 1.
struct RunTimeDistribution {
  double log_median = 0;
  double log_deviation = 0;  // 0: the run time is known exactly
};

// Returns the chance that a run ends within `limit` of its start on a worker of
// `speed`, given that it has not ended after `elapsed`; 0 to 1. It is 0 unless
// `limit` is positive and longer than `elapsed`.
auto ChanceOfEnd(const RunTimeDistribution& run_time,
                 double speed,
                 microseconds elapsed,
                 microseconds limit) -> double;

// Returns the distribution of the longest of `tasks` independent run times. Its
// median is exact; its deviation is that of the middle two thirds.
auto SlowestOf(const RunTimeDistribution& run_time, uint32_t tasks)
    -> RunTimeDistribution;

// Returns the run time that is not exceeded with this chance, on a worker of
// `speed`. `chance` lies between 0 and 1, both excluded.
auto RunTimeOfChance(const RunTimeDistribution& run_time,
                     double speed,
                     double chance) -> microseconds;

// Returns how long a run can last until its chance to end within `limit` of its
// start falls below `chance`; 0 when it is lower from the start, at most
// `limit`.
auto ElapsedOfChance(const RunTimeDistribution& run_time,
                     double speed,
                     microseconds limit,
                     double chance) -> microseconds;

// Tasks of one job that have ended as done, as logarithms of their run times in
// microseconds on a worker of speed 1.
struct EndedTasks {
  uint32_t count = 0;
  double mean = 0;
  double squares = 0;  // sum of the squared differences from the mean
  double longest = 0;
};

auto AddEndedTask(EndedTasks& ended, microseconds run_time) -> void;

// Errors of the expected run time of a task.
struct RunTimeErrors {
  // Deviation of the run time from the expected one.
  double log_deviation = 0;
  // Deviation among the tasks of one job, which is part of the above.
  double among_tasks = 0;
};

// Returns the distribution of the run time of one more task of a job whose run
// time is expected to be `log_median`, after some of its `started` tasks have
// ended. Tasks that end first are shorter than the others; this is allowed for.
auto TaskRunTime(double log_median,
                 const RunTimeErrors& errors,
                 const EndedTasks& ended,
                 uint32_t started) -> RunTimeDistribution;

// Returns the distribution of the longest run time of `tasks` further tasks of
// that job. Only the part of the error that differs among the tasks of one job
// makes the longest one longer.
auto JobRunTime(double log_median,
                const RunTimeErrors& errors,
                const EndedTasks& ended,
                uint32_t started,
                uint32_t tasks) -> RunTimeDistribution;

}  // namespace boragecroft

#endif  // SERVERS_ESTIMATES_RUN_TIME_DISTRIBUTION_H_
