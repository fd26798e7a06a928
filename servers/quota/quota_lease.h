// Quota that one instance lends to another for a short term. The grantor counts
// a lease as given until its own clock says that it has lapsed; the holder
// stops using it earlier, whatever delayed the heartbeat that brought it.
#ifndef SERVERS_QUOTA_QUOTA_LEASE_H_
#define SERVERS_QUOTA_QUOTA_LEASE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/clock.h"
#include "core/base/ids.h"

namespace boragecroft {

// A number of tasks of one team: a demand, a share or a lease.
struct TeamTasks {
  std::string team;
  uint32_t tasks = 0;

  auto operator==(const TeamTasks&) const -> bool = default;
};

struct QuotaLease {
  Incarnation peer;  // holder of a granted lease, grantor of a held one
  std::string team;
  uint32_t tasks = 0;
  Instant expires;
};

struct QuotaLeases {
  std::vector<QuotaLease> granted;
  std::vector<QuotaLease> held;
};

// The tasks of `team` in this list; 0 when it is not in it.
auto TasksOf(const std::vector<TeamTasks>& list, std::string_view team)
    -> uint32_t;

// Notes what a heartbeat sent now grants to `holder`. It replaces the earlier
// grants, which still count until they lapse.
auto RecordGranted(QuotaLeases& leases,
                   Incarnation holder,
                   const std::vector<TeamTasks>& tasks,
                   Instant expires) -> void;

// Replaces what `grantor` lends by what its heartbeat says. `lapses` is counted
// from when this instance sent the heartbeat which the grantor's one echoes.
auto RecordHeld(QuotaLeases& leases,
                Incarnation grantor,
                const std::vector<TeamTasks>& tasks,
                Instant expires) -> void;

// Drops what has lapsed.
auto DropExpired(QuotaLeases& leases, Instant now) -> void;

// What may be in use elsewhere: the greatest live grant of each holder.
auto GrantedTasks(const QuotaLeases& leases, std::string_view team, Instant now)
    -> uint32_t;

// What was granted to one holder and has not lapsed.
auto TasksGrantedTo(const QuotaLeases& leases,
                    Incarnation holder,
                    std::string_view team,
                    Instant now) -> uint32_t;

// What this instance may use of others' quota.
auto HeldTasks(const QuotaLeases& leases, std::string_view team, Instant now)
    -> uint32_t;

}  // namespace boragecroft

#endif  // SERVERS_QUOTA_QUOTA_LEASE_H_
