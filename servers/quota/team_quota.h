// Enforces the quotas of teams without a coordinator. Each quota is divided
// statically over the availability zones and evenly over a zone's instances,
// which lend each other the tasks that they do not need. See
// docs/design/quotas.md.
#ifndef SERVERS_QUOTA_TEAM_QUOTA_H_
#define SERVERS_QUOTA_TEAM_QUOTA_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "servers/quota/quota_lease.h"
#include "servers/quota/quota_roster.h"

namespace boragecroft {

// Static part of the division; identical on every instance that has the same
// configuration in force.
struct QuotaPlan {
  std::vector<TeamTasks> quotas;       // over all instances
  std::vector<uint32_t> zone_weights;  // in the order of declaration
  uint32_t zone = 0;                   // index of the own zone in that order
};

struct QuotaTimes {
  milliseconds lease_term = seconds(3);
  // Additional time for which the grantor waits after the holder stops using a
  // lease. It covers the drift between two clocks over a term.
  milliseconds lease_margin{100};
  // A demand that was not reported again for this long counts as 0.
  milliseconds demand_term = seconds(3);
};

// Report that one instance sends in every heartbeat to one peer of its zone.
struct QuotaReport {
  Incarnation sender;
  uint64_t roster_digest = 0;
  std::vector<TeamTasks> demands;  // tasks in progress and waiting
  std::vector<TeamTasks> leased;   // lent to the receiver
  // The sender uses its part of the roster that it reports.
  bool claims = false;
};

struct AddressedReport {
  Incarnation receiver;
  QuotaReport report;
};

struct PeerDemand {
  Incarnation peer;
  std::vector<TeamTasks> demands;
  bool claims = false;
  Instant received;
};

// State of the quotas of a zone as known to one instance.
struct QuotaState {
  QuotaRoster roster;
  QuotaLeases leases;
  std::vector<TeamTasks> own_demands;
  std::vector<PeerDemand> peer_demands;
};

// Returns the part of a quota that belongs to the own zone, independently of
// the state of other zones.
auto ZoneTasks(const QuotaPlan& plan, const TeamTasks& quota) -> uint32_t;

// Returns the number of tasks of each team that this instance may have in
// progress. Over all instances they sum up to at most the quota, at any time
// and in any network partition.
auto AllocateQuota(const QuotaPlan& plan, const QuotaState& state, Instant now)
    -> std::vector<TeamTasks>;

// Returns what each member should lend to each other member for one team, given
// the claims and needs of all members: `lent[i][j]` tasks from member i to
// member j. Members with the same inputs compute the same table; no member
// lends more than it claims.
auto PlanLeases(const std::vector<uint32_t>& claims,
                const std::vector<uint32_t>& demands,
                uint64_t salt) -> std::vector<std::vector<uint32_t>>;

// Returns the reports to send now to every other member and records the leases
// that they grant.
auto MakeReports(const QuotaPlan& plan,
                 const QuotaTimes& times,
                 QuotaState& state,
                 Instant now) -> std::vector<AddressedReport>;

// Applies a member's report; ignores a report from an instance that is not a
// member. `echoed_sent` is the time at which this instance sent the latest
// heartbeat that the peer had received when it sent the report.
auto ApplyReport(const QuotaTimes& times,
                 QuotaState& state,
                 const QuotaReport& report,
                 Instant echoed_sent,
                 Instant now) -> void;

}  // namespace boragecroft

#endif  // SERVERS_QUOTA_TEAM_QUOTA_H_
