// Chooses the worker that runs a task.
//
// Handles workers of different speed and size that are almost fully used. Long
// tasks need the fast workers, so a task goes to the slowest worker on which it
// still ends in time, and among equals to the one with the least capacity left
// over. The objective grows with the run time, so a short task can meet it on a
// slow worker whatever its run time turns out to be. At quiet load, long tasks
// take the fastest worker.
#ifndef SERVERS_SCHEDULING_PLACEMENT_H_
#define SERVERS_SCHEDULING_PLACEMENT_H_

#include <map>
#include <string>

#include "servers/scheduling/policy.h"
#include "servers/scheduling/run_times.h"
#include "servers/scheduling/worker.h"

namespace boragecroft {

using WorkerAccounts = std::map<std::string, WorkerAccount>;

struct PlacementRequest {
  PlacementRule rule = PlacementRule::kObjective;
  uint64_t sequence = 0;  // number of earlier placements, for the rules that
                          // rotate or draw at random
  std::string service;
  Resources needs;
  microseconds run_time{};  // expected on a worker of speed 1
  // On a worker of speed 1; a task is hardly ever shorter.
  microseconds shortest_run_time{};
  Instant arrived;          // arrival of the job
  milliseconds target{};    // constant part of the latency objective
  double slack_factor = 1;  // factor of the run time in the latency objective
  Instant latest;           // an end after this time is of no use
  std::string avoid;  // worker on which the last attempt failed; may be empty
};

// Reports whether the worker may receive start orders for tasks of `service`.
auto IsUsable(const WorkerAccount& worker, const std::string& service) -> bool;

// A worker that warms up has room for one task at a time in all of the
// functions below.

// Returns the worker for a task, or null when no usable worker has free
// resources for it or the task should wait for a faster one.
auto PlaceTask(WorkerAccounts& workers,
               const RunTimes& times,
               const PlacementRequest& request,
               Instant now) -> WorkerAccount*;

// Returns the speed of the fastest usable worker; 0 when none is usable.
auto SpeedOfFastest(const WorkerAccounts& workers,
                    const RunTimes& times,
                    const std::string& service) -> double;

// The same, with workers that warm up at the speed that they will have: a job
// must not be refused for the speed of a worker that is cold for a moment.
auto WarmSpeedOfFastest(const WorkerAccounts& workers,
                        const RunTimes& times,
                        const std::string& service) -> double;

// Number of tasks that fit on the usable workers now.
struct FreeSlots {
  uint32_t all = 0;
  uint32_t fast = 0;  // on workers almost as fast as the fastest one
};
auto CountFreeSlots(const WorkerAccounts& workers,
                    const RunTimes& times,
                    const std::string& service,
                    const Resources& needs) -> FreeSlots;

// Returns the number of usable workers without a run, of any service.
auto CountIdleWorkers(const WorkerAccounts& workers) -> uint32_t;

// Returns how many tasks with these needs the usable workers can run at the
// same time when nothing else runs on them.
auto CountSlots(const WorkerAccounts& workers,
                const std::string& service,
                const Resources& needs) -> uint32_t;

}  // namespace boragecroft

#endif  // SERVERS_SCHEDULING_PLACEMENT_H_
