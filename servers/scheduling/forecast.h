// Forecasts whether the tasks of a job still end before its caller leaves.
//
// Handles callers that are held for an answer that can't come: a job without a
// real chance is refused before it starts, and given up once its ended tasks
// show that the others end too late. The times at which a chance is gone are
// computed when a job changes, so that waiting costs nothing.
#ifndef SERVERS_SCHEDULING_FORECAST_H_
#define SERVERS_SCHEDULING_FORECAST_H_

#include <optional>
#include <string>

#include "core/base/clock.h"
#include "servers/estimates/run_time_distribution.h"
#include "servers/scheduling/run_times.h"

namespace boragecroft {

// A job is refused when its chance to end in time is lower although it starts
// now: its caller can still go elsewhere.
inline constexpr double kMinChanceToStart = 0.35;
// A job that has started is given up when its chance is lower.
inline constexpr double kMinChanceToContinue = 0.02;

// Run times are on a worker of speed 1.
struct JobForecast {
  double log_median = 0;  // of microseconds, before any task has ended
  RunTimeErrors errors;
  EndedTasks ended;
  double fastest = 0;  // speed of the fastest usable worker; 0: none is known
  // Of one more task, from the above.
  RunTimeDistribution task;
  microseconds median{};
  microseconds shortest{};  // not exceeded with the chance kMinChanceToContinue
};

// Run of a task on a worker of `speed`.
struct RunProgress {
  Instant started_at;
  double speed = 1;
};

auto MakeForecast(const RunTimes& times,
                  const std::string& kind,
                  microseconds declared,
                  double fastest) -> JobForecast;

// Records that one of `started` tasks ended after `run_time`. Once another task
// has ended, a run that took over twice as long is ignored: its worker is slow.
// When the first one takes that long, the declared run time was wrong.
auto AddEndedTask(JobForecast& forecast,
                  microseconds run_time,
                  uint32_t started) -> void;

// Returns the chance that `tasks` tasks end by `latest` if all start at `now`
// on the fastest worker; 1 when none is known, because one may become usable.
auto ChanceToStart(const JobForecast& forecast,
                   uint32_t tasks,
                   Instant now,
                   Instant latest) -> double;
// Returns when that chance falls below `chance`; `latest` when no worker is
// known.
auto LatestStart(const JobForecast& forecast,
                 uint32_t tasks,
                 double chance,
                 Instant latest) -> Instant;

// Returns the run that has the least work in its time until `latest`.
auto IsTighter(const RunProgress& a, const RunProgress& b, Instant latest)
    -> bool;

// Returns the chance of a job that has started, with `waiting` tasks to start
// and the tightest of its runs. A run may also be started again on the fastest
// worker.
auto ChanceToContinue(const JobForecast& forecast,
                      const std::optional<RunProgress>& tightest,
                      uint32_t waiting,
                      Instant now,
                      Instant latest) -> double;
// Returns when that chance falls below kMinChanceToContinue.
auto LatestContinue(const JobForecast& forecast,
                    const std::optional<RunProgress>& tightest,
                    uint32_t waiting,
                    Instant latest) -> Instant;

}  // namespace boragecroft

#endif  // SERVERS_SCHEDULING_FORECAST_H_
