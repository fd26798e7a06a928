// The ways to order waiting jobs and to choose among workers. The programs run
// the first of each; the others stay selectable to compare with on replayed
// loads (bench/replay).
#ifndef SERVERS_SCHEDULING_POLICY_H_
#define SERVERS_SCHEDULING_POLICY_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "core/base/clock.h"

namespace boragecroft {

enum class WaitingOrder : uint8_t {
  kUrgent,      // jobs that have begun first, then the earliest refusal
  kArrival,     // first come, first served
  kLeastSlack,  // the least time left after its expected run time
  kDensity,     // the most worth for each place and second that it needs
  kFair,        // the kind of job that got the least room lately
};

enum class PlacementRule : uint8_t {
  kObjective,   // the slowest worker on which the task is in time
  kRoundRobin,  // the next worker with room
  kTwoChoices,  // the emptier of two workers with room, drawn at random
};

struct SchedulingPolicy {
  WaitingOrder order = WaitingOrder::kUrgent;
  PlacementRule placement = PlacementRule::kObjective;
  // Worth of a mean job by kind, for kDensity.
  std::unordered_map<std::string, double> worth;
};

}  // namespace boragecroft

#endif  // SERVERS_SCHEDULING_POLICY_H_
