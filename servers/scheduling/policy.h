// Rules that order waiting jobs and choose among workers. The instances use the
// first value of each enum; the others can be selected to compare them on
// replayed workloads (bench/replay).
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
  kDensity,     // the most worth per slot and second of run time
  kFair,        // the kind of job that recently received the least slot time
};

enum class PlacementRule : uint8_t {
  kObjective,   // the slowest worker on which the task ends in time
  kRoundRobin,  // the next worker with free resources
  kTwoChoices,  // the less used of two workers with free resources, drawn at
                // random
};

struct SchedulingPolicy {
  WaitingOrder order = WaitingOrder::kUrgent;
  PlacementRule placement = PlacementRule::kObjective;
  // Mean worth of a job by its kind, for kDensity.
  std::unordered_map<std::string, double> worth;
};

}  // namespace boragecroft

#endif  // SERVERS_SCHEDULING_POLICY_H_
