// Which worker runs a task.
//
// Load answered: workers of different speed and size near full. Long tasks need
// the fast workers, so a task goes to the slowest one on which it still ends in
// time, and there where it leaves the least room unused. The objective grows
// with the run time itself: a short task can be in time on a slow worker
// whatever its run time turns out to be.
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
  uint64_t sequence =
      0;  // counts placements, for the rules that take turns or draw
  std::string service;
  Resources needs;
  microseconds run_time{};  // on a worker of speed 1
  Instant arrived;          // of the job
  milliseconds target{};    // constant part of the objective
  double slack_factor = 1;  // of the objective, per run time
  Instant latest;           // after that its end is of no use
  std::string avoid;  // worker on which the last attempt failed; may be empty
};

// True when the worker may be told to start tasks of `service`.
auto IsUsable(const WorkerAccount& worker, const std::string& service) -> bool;

// The worker for a task, or null when no usable one has room.
auto PlaceTask(WorkerAccounts& workers,
               const RunTimes& times,
               const PlacementRequest& request,
               Instant now) -> WorkerAccount*;

// How many tasks that need `needs` fit on the usable workers now.
struct FreeSlots {
  uint32_t all = 0;
  uint32_t fast = 0;  // on workers nearly as fast as the fastest
};
auto CountFreeSlots(const WorkerAccounts& workers,
                    const RunTimes& times,
                    const std::string& service,
                    const Resources& needs) -> FreeSlots;

// How many such tasks the usable workers run at a time when nothing else does.
auto CountSlots(const WorkerAccounts& workers,
                const std::string& service,
                const Resources& needs) -> uint32_t;

}  // namespace boragecroft

#endif  // SERVERS_SCHEDULING_PLACEMENT_H_
