// Watches runs: learns from those that end, and moves those that can't end in
// time.
//
// Load answered: workers that are or turn slow, and tasks that stand still. A
// run that will not end before the caller leaves, or takes far longer than
// expected, moves where its task still ends in time. The second counts against
// its worker at once.
#ifndef SERVERS_SCHEDULING_RUN_WATCH_H_
#define SERVERS_SCHEDULING_RUN_WATCH_H_

#include "servers/scheduling/scheduler.h"

namespace boragecroft::detail {

// Notes the run time of a run that ended as done.
auto RecordFinishedRun(Scheduler& state,
                       const WorkerAccount& worker,
                       const Run& run,
                       Instant now) -> void;
// Stops the worker's runs that should go on elsewhere.
auto MoveLateRuns(Scheduler& state,
                  WorkerAccount& worker,
                  Instant now,
                  SchedulerCommands& out) -> void;

}  // namespace boragecroft::detail

#endif  // SERVERS_SCHEDULING_RUN_WATCH_H_
