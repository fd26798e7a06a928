#include "servers/quota/quota_usage.h"

namespace boragecroft {

auto SetShares(QuotaUsage& usage, const std::vector<TeamTasks>& shares)
    -> void {
  for (auto& [team, it] : usage.teams) {
    it.share = 0;
  }
  for (const auto& it : shares) {
    usage.teams[it.team].share = it.tasks;
  }
  std::erase_if(usage.teams, [](const auto& it) {
    return it.second.share == 0 && it.second.in_progress == 0;
  });
}

auto MayStart(const QuotaUsage& usage, std::string_view team) -> bool {
  const auto it = usage.teams.find(team);
  return it != usage.teams.end() && it->second.in_progress < it->second.share;
}

auto CountTaskStart(QuotaUsage& usage, std::string_view team) -> void {
  ++usage.teams[std::string(team)].in_progress;
}

auto CountTaskEnd(QuotaUsage& usage, std::string_view team) -> void {
  const auto it = usage.teams.find(team);
  if (it != usage.teams.end() && it->second.in_progress > 0) {
    --it->second.in_progress;
  }
}

auto TasksInProgress(const QuotaUsage& usage, std::string_view team)
    -> uint32_t {
  const auto it = usage.teams.find(team);
  return it == usage.teams.end() ? 0 : it->second.in_progress;
}

}  // namespace boragecroft
