// Steps shared by the scheduler's events: starting what fits, ending jobs,
// stopping runs.
#ifndef SERVERS_SCHEDULING_DISPATCHING_H_
#define SERVERS_SCHEDULING_DISPATCHING_H_

#include "servers/scheduling/scheduler.h"

namespace boragecroft::detail {

auto TargetOf(const Scheduler& state, const WorkerAccount& worker)
    -> OrderTarget;

// Starts waiting tasks where there is room, the most urgent job first.
auto StartWaitingTasks(Scheduler& state, Instant now, SchedulerCommands& out)
    -> void;
// Sends a hold unless one is on its way or nothing asks for one.
auto RenewIfNeeded(Scheduler& state,
                   WorkerAccount& worker,
                   Instant now,
                   SchedulerCommands& out) -> void;
auto StopRun(Scheduler& state,
             WorkerAccount& worker,
             Run& run,
             SchedulerCommands& out) -> void;

// A run is over; its task goes on, ends, or ends its job.
auto HandleRunEnd(Scheduler& state,
                  const WorkerAccount& worker,
                  const Run& run,
                  RunEnd end,
                  Instant now,
                  SchedulerCommands& out) -> void;
// Tells the taker what came of the job and stops what still runs. The job is
// forgotten when its last run has ended.
auto EndJob(Scheduler& state,
            ScheduledJob& job,
            JobOutcome outcome,
            Instant now,
            SchedulerCommands& out) -> void;
// The run time of a task of the job on a worker of speed 1.
auto RunTimeOf(const Scheduler& state, const ScheduledJob& job) -> microseconds;
// The worker for one task of the job, or null when none has room now.
auto PlaceTaskOf(Scheduler& state,
                 const ScheduledJob& job,
                 const std::string& avoid,
                 Instant now) -> WorkerAccount*;
// True when there is room now for every task of a job that came just now, and
// no other job waits for it.
auto CanStartAllTasks(Scheduler& state, const ScheduledJob& job, Instant now)
    -> bool;
// True when an ended job has nothing left that could run.
auto IsFinished(const ScheduledJob& job) -> bool;

}  // namespace boragecroft::detail

#endif  // SERVERS_SCHEDULING_DISPATCHING_H_
