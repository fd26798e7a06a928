// Records the run times of finished runs and moves runs that can't end in time.
//
// Handles workers that are or become slow, and tasks that make no progress. A
// run that will not end before the caller leaves, or that takes far longer than
// expected, is moved to a worker on which its task still ends in time. A run
// that takes far longer than expected also lowers the estimated speed of its
// worker immediately.
#ifndef SERVERS_SCHEDULING_RUN_WATCH_H_
#define SERVERS_SCHEDULING_RUN_WATCH_H_

#include "servers/scheduling/scheduler.h"

namespace boragecroft::detail {

// Records the run time of a run that ended as done. On a worker that warms up,
// the run may end the warm-up and enters no estimate of other workers or jobs.
auto RecordFinishedRun(Scheduler& state,
                       WorkerAccount& worker,
                       const Run& run,
                       Instant now) -> void;
// Stops the worker's runs that should be restarted on another worker.
auto MoveLateRuns(Scheduler& state,
                  WorkerAccount& worker,
                  Instant now,
                  SchedulerCommands& out) -> void;

}  // namespace boragecroft::detail

#endif  // SERVERS_SCHEDULING_RUN_WATCH_H_
