// Counts the tasks of each team that this instance has in progress, and
// compares them with its share of the team's quota.
#ifndef SERVERS_QUOTA_QUOTA_USAGE_H_
#define SERVERS_QUOTA_QUOTA_USAGE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "servers/quota/quota_lease.h"

namespace boragecroft {

struct TeamUsage {
  uint32_t share = 0;
  uint32_t in_progress = 0;
};

struct QuotaUsage {
  std::map<std::string, TeamUsage, std::less<>> teams;
};

// Sets new shares. A team that is no longer listed may start no tasks; its
// tasks in progress are still counted.
auto SetShares(QuotaUsage& usage, const std::vector<TeamTasks>& shares) -> void;

// Reports whether one more task of the team may start. If the share shrinks
// below the number of tasks in progress, no task is stopped; only new starts
// are refused.
auto MayStart(const QuotaUsage& usage, std::string_view team) -> bool;

// Count the start and the end of one task. Every start must be followed by
// exactly one end.
auto CountTaskStart(QuotaUsage& usage, std::string_view team) -> void;
auto CountTaskEnd(QuotaUsage& usage, std::string_view team) -> void;

// Returns the number of tasks of the team in progress on this instance.
auto TasksInProgress(const QuotaUsage& usage, std::string_view team)
    -> uint32_t;

}  // namespace boragecroft

#endif  // SERVERS_QUOTA_QUOTA_USAGE_H_
