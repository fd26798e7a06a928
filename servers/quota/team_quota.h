// Quotas of teams, kept without a coordinator: each quota is divided statically
// over the availability zones and evenly over a zone's instances, which lend
// each other what they do not need. See docs/design/quotas.md.
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

// The static part of the division; the same on every instance that has the same
// configuration in force.
struct QuotaPlan {
  std::vector<TeamTasks> quotas;       // over all instances
  std::vector<uint32_t> zone_weights;  // in the order of the declaration
  uint32_t zone = 0;                   // place of the own zone in that order
};

struct QuotaTimes {
  milliseconds lease_term = seconds(3);
  // The grantor waits this much longer than the holder: covers the drift of two
  // clocks over a term.
  milliseconds lease_margin{100};
  // A demand that was not reported again for this long counts as none.
  milliseconds demand_term = seconds(3);
};

// What one instance reports in every heartbeat to one peer of its zone.
struct QuotaReport {
  Incarnation sender;
  uint64_t roster_digest = 0;
  std::vector<TeamTasks> demands;  // tasks in progress and waiting
  std::vector<TeamTasks> leased;   // lent to the receiver
  bool claims = false;  // the sender uses its part of the roster it reports
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

// What one instance knows of its zone.
struct QuotaState {
  QuotaRoster roster;
  QuotaLeases leases;
  std::vector<TeamTasks> own_demands;
  std::vector<PeerDemand> peer_demands;
};

// The part of a quota that belongs to the own zone, whatever happens elsewhere.
auto ZoneTasks(const QuotaPlan& plan, const TeamTasks& quota) -> uint32_t;

// The tasks of each team that this instance may have in progress. Over all
// instances they add up to at most the quota, at any moment and in any cut.
auto AllocateQuota(const QuotaPlan& plan, const QuotaState& state, Instant now)
    -> std::vector<TeamTasks>;

// What each member should lend to each other one for a team, given what each
// claims and needs: `lent[i][j]` from member i to member j. Members with the
// same inputs compute the same table; no one lends more than it claims.
auto PlanLeases(const std::vector<uint32_t>& claims,
                const std::vector<uint32_t>& demands,
                uint64_t salt) -> std::vector<std::vector<uint32_t>>;

// The reports to send now to every other member; notes the leases they grant.
auto MakeReports(const QuotaPlan& plan,
                 const QuotaTimes& times,
                 QuotaState& state,
                 Instant now) -> std::vector<AddressedReport>;

// Takes a member's report; one from any other instance is ignored.
// `echoed_sent` is when this instance sent the latest heartbeat that the peer
// had received when it sent this one.
auto ApplyReport(const QuotaTimes& times,
                 QuotaState& state,
                 const QuotaReport& report,
                 Instant echoed_sent,
                 Instant now) -> void;

}  // namespace boragecroft

#endif  // SERVERS_QUOTA_TEAM_QUOTA_H_
