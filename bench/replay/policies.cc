#include "bench/replay/policies.h"

namespace boragecroft::bench {
namespace {

struct NamedPolicy {
  const char* name;
  WaitingOrder order;
  PlacementRule placement;
};

constexpr NamedPolicy kPolicies[] = {
    {"chosen", WaitingOrder::kUrgent, PlacementRule::kObjective},
    {"fair", WaitingOrder::kFair, PlacementRule::kObjective},
    {"least_slack", WaitingOrder::kLeastSlack, PlacementRule::kObjective},
    {"worth_density", WaitingOrder::kDensity, PlacementRule::kObjective},
    {"arrival", WaitingOrder::kArrival, PlacementRule::kObjective},
    {"round_robin", WaitingOrder::kArrival, PlacementRule::kRoundRobin},
    {"two_choices", WaitingOrder::kArrival, PlacementRule::kTwoChoices},
};

}  // namespace

auto PolicyNames() -> std::vector<std::string> {
  std::vector<std::string> out;
  for (const auto& it : kPolicies) {
    out.emplace_back(it.name);
  }
  return out;
}

auto PolicyOf(const std::string& name, const WorkloadShape& shape)
    -> std::optional<SchedulingPolicy> {
  for (const auto& it : kPolicies) {
    if (name != it.name) {
      continue;
    }
    SchedulingPolicy out;
    out.order = it.order;
    out.placement = it.placement;
    for (const auto& kind : shape.kinds) {
      out.worth[kind.name] = kind.worth;
    }
    return out;
  }
  return std::nullopt;
}

}  // namespace boragecroft::bench
