#include "servers/quota/quota_lease.h"

#include <algorithm>
#include <unordered_map>

namespace boragecroft {

auto TasksOf(const std::vector<TeamTasks>& list, std::string_view team)
    -> uint32_t {
  const auto it =
      std::find_if(list.begin(), list.end(),
                   [&](const TeamTasks& entry) { return entry.team == team; });
  return it == list.end() ? 0 : it->tasks;
}

auto RecordGranted(QuotaLeases& leases,
                   Incarnation holder,
                   const std::vector<TeamTasks>& tasks,
                   Instant expires) -> void {
  for (const auto& it : tasks) {
    // A later grant replaces every earlier grant that is not greater.
    std::erase_if(leases.granted, [&](const QuotaLease& lease) {
      return lease.peer == holder && lease.team == it.team &&
             lease.tasks <= it.tasks && lease.expires <= expires;
    });
    leases.granted.push_back({holder, it.team, it.tasks, expires});
  }
}

auto RecordHeld(QuotaLeases& leases,
                Incarnation grantor,
                const std::vector<TeamTasks>& tasks,
                Instant expires) -> void {
  std::erase_if(leases.held,
                [&](const QuotaLease& it) { return it.peer == grantor; });
  for (const auto& it : tasks) {
    leases.held.push_back({grantor, it.team, it.tasks, expires});
  }
}

auto DropExpired(QuotaLeases& leases, Instant now) -> void {
  const auto expired = [&](const QuotaLease& it) { return it.expires <= now; };
  std::erase_if(leases.granted, expired);
  std::erase_if(leases.held, expired);
}

auto GrantedTasks(const QuotaLeases& leases, std::string_view team, Instant now)
    -> uint32_t {
  std::unordered_map<Incarnation, uint32_t> greatest;
  for (const auto& it : leases.granted) {
    if (it.team == team && it.expires > now) {
      auto& tasks = greatest[it.peer];
      tasks = std::max(tasks, it.tasks);
    }
  }
  uint32_t sum = 0;
  for (const auto& [holder, tasks] : greatest) {
    sum += tasks;
  }
  return sum;
}

auto TasksGrantedTo(const QuotaLeases& leases,
                    Incarnation holder,
                    std::string_view team,
                    Instant now) -> uint32_t {
  uint32_t greatest = 0;
  for (const auto& it : leases.granted) {
    if (it.peer == holder && it.team == team && it.expires > now) {
      greatest = std::max(greatest, it.tasks);
    }
  }
  return greatest;
}

auto HeldTasks(const QuotaLeases& leases, std::string_view team, Instant now)
    -> uint32_t {
  uint32_t sum = 0;
  for (const auto& it : leases.held) {
    if (it.team == team && it.expires > now) {
      sum += it.tasks;
    }
  }
  return sum;
}

}  // namespace boragecroft
