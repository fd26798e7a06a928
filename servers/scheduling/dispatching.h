// Functions shared by the scheduler's event handlers: starting tasks on workers
// with free resources, stopping runs and ending jobs.
#ifndef SERVERS_SCHEDULING_DISPATCHING_H_
#define SERVERS_SCHEDULING_DISPATCHING_H_

#include "servers/scheduling/scheduler.h"

namespace boragecroft::detail {

auto TargetOf(const Scheduler& state, const WorkerAccount& worker)
    -> OrderTarget;

// Starts the waiting tasks that fit on a worker, in the order of the policy.
// All starts go through this function. While the group is evacuated, it first
// ends the jobs that may not start.
auto StartWaitingTasks(Scheduler& state, Instant now, SchedulerCommands& out)
    -> void;
// Sends a lease renewal unless one is in flight or none is needed.
auto RenewIfNeeded(Scheduler& state,
                   WorkerAccount& worker,
                   Instant now,
                   SchedulerCommands& out) -> void;
auto StopRun(Scheduler& state,
             WorkerAccount& worker,
             Run& run,
             SchedulerCommands& out) -> void;

// Reports whether the job probably ends after its caller has left, even if it
// starts now on the fastest usable worker.
auto IsHopeless(const ScheduledJob& job, Instant now) -> bool;

// Records the end of a run: its task is done, waits for another start, or ends
// its job.
auto HandleRunEnd(Scheduler& state,
                  const WorkerAccount& worker,
                  const Run& run,
                  RunEnd end,
                  Instant now,
                  SchedulerCommands& out) -> void;
// Reports the outcome to the job's origin and stops the runs that are still in
// progress. The job is removed when its last run has ended.
auto EndJob(Scheduler& state,
            ScheduledJob& job,
            JobOutcome outcome,
            Instant now,
            SchedulerCommands& out) -> void;
// Returns the run time to expect of one task of the job on a worker of speed 1.
auto RunTimeOf(const Scheduler& state, const ScheduledJob& job) -> microseconds;
// Returns the run time to expect of one task of the job on the worker.
auto ExpectedOn(const Scheduler& state,
                const ScheduledJob& job,
                const WorkerAccount& worker) -> microseconds;
// Returns the worker for one task of the job, or null when no worker has free
// resources for it now. `avoid` is the worker on which the last attempt failed;
// it may be empty.
auto PlaceTaskOf(Scheduler& state,
                 const ScheduledJob& job,
                 const std::string& avoid,
                 Instant now) -> WorkerAccount*;
// Reports whether every task of a job that has just arrived can start now while
// no other job waits.
auto CanStartAllTasks(Scheduler& state, const ScheduledJob& job, Instant now)
    -> bool;
// Returns the result that asks the job's origin to offer it to another group.
auto MakeRedirect(const ScheduledJob& job, Instant now) -> ResultCommand;
// Answers for a job of an evacuated group that this holder did not start: gives
// it back to its origin as not run, or as stopped when an earlier holder may
// have started it.
auto GiveBack(Scheduler& state,
              const ScheduledJob& job,
              Instant now,
              SchedulerCommands& out) -> void;
// Ends the jobs of an evacuated group that may not start the tasks that they
// need.
auto WithholdStarts(Scheduler& state, Instant now, SchedulerCommands& out)
    -> void;
// Returns when the job must have started all its tasks, if its group is
// evacuated and tasks of it wait.
auto GraceEndOf(const Scheduler& state, const ScheduledJob& job)
    -> std::optional<Instant>;
// Reports whether the job has ended and none of its runs is in progress.
auto IsFinished(const ScheduledJob& job) -> bool;

}  // namespace boragecroft::detail

#endif  // SERVERS_SCHEDULING_DISPATCHING_H_
