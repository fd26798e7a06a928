#include "servers/dispatcher/membership_flow.h"
#include "servers/dispatcher/task_settlement.h"

namespace boragecroft {

auto ShareQuotas(Step& step) -> void {
  auto& dispatcher = step.dispatcher;
  const auto* configuration = InForce(dispatcher);
  if (configuration == nullptr) {
    return;
  }
  std::vector<TeamTasks> shares;
  for (const auto& it : configuration->teams) {
    shares.push_back(TeamTasks{.team = it.name, .tasks = it.quota_tasks});
  }
  SetShares(dispatcher.quota, shares);
  for (const auto& it : configuration->teams) {
    ApplyQuotaHold(step, it.name);
  }
}

}  // namespace boragecroft
