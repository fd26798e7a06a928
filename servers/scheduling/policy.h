// Rules that order waiting jobs, bound their waits and choose among workers.
// The instances use the defaults of SchedulingPolicy; the others can be
// selected to compare them on replayed workloads (bench/replay).
#ifndef SERVERS_SCHEDULING_POLICY_H_
#define SERVERS_SCHEDULING_POLICY_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "core/base/clock.h"

namespace boragecroft {

enum class WaitingOrder : uint8_t {
  kUrgent,      // started jobs first, then the earliest refusal time
  kArrival,     // first come, first served
  kLeastSlack,  // the least time left to the objective after the expected run
                // time
  kPriority,    // strictly by the priority of the route
  kPriorityFloors,  // by priority, after kinds below their floor
  kLeastCost,       // started jobs first, then kinds below their floor, then
                    // the most cost to callers per work of the job
  kDensity,         // the most worth per slot and second of run time
  kFair,  // the kind of job that recently received the least slot time
};

enum class PlacementRule : uint8_t {
  kObjective,   // the slowest worker on which the task ends in time
  kRoundRobin,  // the next worker with free resources
  kTwoChoices,  // the less used of two workers with free resources, drawn at
                // random
};

enum class WaitingTime : uint8_t {
  kShareOfObjective,  // a fixed share of the objective
  kPredictedStart,    // while the predicted start is of use to the caller
};

struct WaitingRules {
  WaitingOrder order = WaitingOrder::kUrgent;
  WaitingTime waiting = WaitingTime::kShareOfObjective;
};

struct SchedulingPolicy {
  // While all jobs have priority 0, as of routes without a priority.
  WaitingRules without_priorities;
  // From the first job of another priority on.
  WaitingRules with_priorities{.order = WaitingOrder::kLeastCost,
                               .waiting = WaitingTime::kPredictedStart};
  PlacementRule placement = PlacementRule::kObjective;
  // Mean worth of a job by its kind, for kDensity.
  std::unordered_map<std::string, double> worth;
};

}  // namespace boragecroft

#endif  // SERVERS_SCHEDULING_POLICY_H_
