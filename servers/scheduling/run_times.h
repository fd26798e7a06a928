// Estimates the run time of tasks by kind of job from the declared run times,
// and the speed of each worker. Declared run times are off by tens of percent.
#ifndef SERVERS_SCHEDULING_RUN_TIMES_H_
#define SERVERS_SCHEDULING_RUN_TIMES_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "core/base/clock.h"
#include "servers/estimates/run_time_distribution.h"
#include "servers/scheduling/worker.h"

namespace boragecroft {

// Exponentially weighted moving average of the logarithm of a ratio.
struct LogMean {
  double value = 0;
  uint32_t observations = 0;  // stops at a maximum
};

// Exponentially weighted linear regression of the run times of a kind of job on
// the declared ones, both as logarithms. A slope of 1 trusts the declared run
// time, a slope of 0 uses the mean of the kind only. When declared run times
// are as far off as run times differ, the best slope lies in between.
struct KindRegression {
  uint32_t observations = 0;  // stops at a maximum
  double mean_declared = 0;
  double mean_run = 0;
  double declared_variance = 0;
  double covariance = 0;
  // Mean square of the difference between run times and expected ones, and the
  // variance among the tasks of one job, both of logarithms.
  double residual_square = 0;
  double variance_among_tasks = 0;
  uint32_t jobs_compared = 0;  // for the variance above; stops at a maximum
};

struct RunTimes {
  std::unordered_map<std::string, KindRegression> kinds;
  std::unordered_map<std::string, LogMean> workers;  // run time / expected
  // The same by kind of worker: the first estimate for a worker of that kind.
  std::unordered_map<std::string, LogMean> worker_kinds;
  // Run time / declared run time on a worker of speed 1, over all kinds of job.
  // It is kept near 1: run times alone do not tell slow workers from long
  // tasks, and objectives are computed from run times on a worker of speed 1.
  LogMean declared_bias;
};

// Records a task that ended as done after `run_time`.
auto RecordRunTime(RunTimes& times,
                   const std::string& kind,
                   const WorkerEntry& worker,
                   microseconds declared,
                   microseconds run_time) -> void;
// The same for the worker alone: neither its kind nor the kind of job learns
// from the run. `work` is the run time to expect on a worker of speed 1.
auto RecordWorkerRunTime(RunTimes& times,
                         const WorkerEntry& worker,
                         microseconds work,
                         microseconds run_time) -> void;
// Replaces what is known of the worker by a single run of it.
auto SetSpeedFromRun(RunTimes& times,
                     const WorkerEntry& worker,
                     microseconds work,
                     microseconds run_time) -> void;
// Records a run that has not ended after a multiple of its expected time.
auto RecordOverdue(RunTimes& times, const WorkerEntry& worker) -> void;
// Records how far the run times of the tasks of an ended job differ.
auto RecordTasksOfJob(RunTimes& times,
                      const std::string& kind,
                      const EndedTasks& ended) -> void;
// Removes the history of a worker that left or restarted.
auto RemoveWorker(RunTimes& times, const std::string& worker) -> void;

// Returns the run time to expect on a worker of speed 1.
auto ExpectedRunTime(const RunTimes& times,
                     const std::string& kind,
                     microseconds declared) -> microseconds;
// Returns how far run times of this kind are from the expected ones: 0.4 until
// 30 tasks have ended, and for a job whose declared run time is exceptional.
// Among the tasks of one job, 0.15 until learned.
auto RunTimeErrorsOf(const RunTimes& times,
                     const std::string& kind,
                     microseconds declared) -> RunTimeErrors;
// Returns the speed of a worker relative to the average: 1 is average or
// unknown, 2 is twice as fast. A worker without history has the mean speed of
// its kind.
auto SpeedOf(const RunTimes& times, const WorkerEntry& worker) -> double;
// Returns the mean speed of the workers of this one's kind; 1 when unknown.
auto SpeedOfKind(const RunTimes& times, const WorkerEntry& worker) -> double;

}  // namespace boragecroft

#endif  // SERVERS_SCHEDULING_RUN_TIMES_H_
