#include "bench/replay/policies.h"

namespace boragecroft::bench {
namespace {

struct NamedPolicy {
  const char* name;
  WaitingOrder order;
  PlacementRule placement = PlacementRule::kObjective;
  WaitingTime waiting = WaitingTime::kShareOfObjective;
};

// Policies that use the same rules with and without priorities.
constexpr NamedPolicy kPolicies[] = {
    {"urgent", WaitingOrder::kUrgent},
    {"priority", WaitingOrder::kPriority},
    {"priority_floors", WaitingOrder::kPriorityFloors},
    {"least_cost", WaitingOrder::kLeastCost},
    {"urgent_predicted", WaitingOrder::kUrgent, PlacementRule::kObjective,
     WaitingTime::kPredictedStart},
    {"priority_predicted", WaitingOrder::kPriority, PlacementRule::kObjective,
     WaitingTime::kPredictedStart},
    {"priority_floors_predicted", WaitingOrder::kPriorityFloors,
     PlacementRule::kObjective, WaitingTime::kPredictedStart},
    {"least_cost_predicted", WaitingOrder::kLeastCost,
     PlacementRule::kObjective, WaitingTime::kPredictedStart},
    {"fair", WaitingOrder::kFair},
    {"least_slack", WaitingOrder::kLeastSlack},
    {"worth_density", WaitingOrder::kDensity},
    {"arrival", WaitingOrder::kArrival},
    {"round_robin", WaitingOrder::kArrival, PlacementRule::kRoundRobin},
    {"two_choices", WaitingOrder::kArrival, PlacementRule::kTwoChoices},
};

}  // namespace

auto PolicyNames() -> std::vector<std::string> {
  std::vector<std::string> out{"chosen"};
  for (const auto& it : kPolicies) {
    out.emplace_back(it.name);
  }
  return out;
}

auto PolicyOf(const std::string& name, const WorkloadShape& shape)
    -> std::optional<SchedulingPolicy> {
  if (name == "chosen") {
    return SchedulingPolicy();
  }
  for (const auto& it : kPolicies) {
    if (name != it.name) {
      continue;
    }
    SchedulingPolicy out;
    out.without_priorities = {.order = it.order, .waiting = it.waiting};
    out.with_priorities = out.without_priorities;
    out.placement = it.placement;
    for (const auto& kind : shape.kinds) {
      out.worth[kind.name] = kind.worth;
    }
    return out;
  }
  return std::nullopt;
}

}  // namespace boragecroft::bench
