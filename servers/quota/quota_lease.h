// Manages leases of quota that one instance grants to another for a short term.
// The grantor counts a lease as granted until it has expired by the grantor's
// own clock; the holder stops using it earlier than that, however long the
// heartbeat that carried it was delayed.
#ifndef SERVERS_QUOTA_QUOTA_LEASE_H_
#define SERVERS_QUOTA_QUOTA_LEASE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/clock.h"
#include "core/base/ids.h"

namespace boragecroft {

// Number of tasks of one team: a demand, a share or a lease.
struct TeamTasks {
  std::string team;
  uint32_t tasks = 0;

  auto operator==(const TeamTasks&) const -> bool = default;
};

struct QuotaLease {
  Incarnation peer;  // holder of a granted lease, or grantor of a held one
  std::string team;
  uint32_t tasks = 0;
  Instant expires;
};

struct QuotaLeases {
  std::vector<QuotaLease> granted;
  std::vector<QuotaLease> held;
};

// Returns the tasks of `team` in the list, or 0 if the team is not in it.
auto TasksOf(const std::vector<TeamTasks>& list, std::string_view team)
    -> uint32_t;

// Records the leases that a heartbeat sent now grants to `holder`. They replace
// the earlier grants for the holder, but the earlier ones still count until
// they expire.
auto RecordGranted(QuotaLeases& leases,
                   Incarnation holder,
                   const std::vector<TeamTasks>& tasks,
                   Instant expires) -> void;

// Replaces the leases held from `grantor` by those in its heartbeat. `expires`
// is counted from the time at which this instance sent the heartbeat that the
// grantor's heartbeat echoes.
auto RecordHeld(QuotaLeases& leases,
                Incarnation grantor,
                const std::vector<TeamTasks>& tasks,
                Instant expires) -> void;

// Removes expired leases.
auto DropExpired(QuotaLeases& leases, Instant now) -> void;

// Returns the tasks that other instances may have in use: the sum over all
// holders of the greatest unexpired grant of each.
auto GrantedTasks(const QuotaLeases& leases, std::string_view team, Instant now)
    -> uint32_t;

// Returns the greatest unexpired grant to one holder.
auto TasksGrantedTo(const QuotaLeases& leases,
                    Incarnation holder,
                    std::string_view team,
                    Instant now) -> uint32_t;

// Returns the tasks that this instance may use from leases of other instances.
auto HeldTasks(const QuotaLeases& leases, std::string_view team, Instant now)
    -> uint32_t;

}  // namespace boragecroft

#endif  // SERVERS_QUOTA_QUOTA_LEASE_H_
