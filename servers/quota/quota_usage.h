// Counts the tasks of each team that this instance has in progress, against
// its share of the team's quota.
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

// Takes new shares. A team that is no longer listed may start nothing; what it
// has in progress is still counted.
auto SetShares(QuotaUsage& usage, const std::vector<TeamTasks>& shares) -> void;

// True when one more task of the team may start. A share that shrank below
// what is in progress cuts nothing: it only stops new starts.
auto MayStart(const QuotaUsage& usage, std::string_view team) -> bool;

// Counts the start and the end of one task. Every start is ended once.
auto CountTaskStart(QuotaUsage& usage, std::string_view team) -> void;
auto CountTaskEnd(QuotaUsage& usage, std::string_view team) -> void;

// The tasks of the team in progress on this instance.
auto TasksInProgress(const QuotaUsage& usage, std::string_view team)
    -> uint32_t;

}  // namespace boragecroft

#endif  // SERVERS_QUOTA_QUOTA_USAGE_H_
