// Maintains the roster: the instances of one availability zone among which the
// zone's part of the quotas is divided. An instance claims its part of a roster
// only after every member has reported that roster, so that instances that see
// different lists never claim more than the whole together. See
// docs/design/quotas.md for the proof.
#ifndef SERVERS_QUOTA_QUOTA_ROSTER_H_
#define SERVERS_QUOTA_QUOTA_ROSTER_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/base/clock.h"
#include "core/base/ids.h"

namespace boragecroft {

using Members = std::vector<Incarnation>;  // sorted, without duplicates

struct MemberPresence {
  // Time since which the platform's lists lack the instance.
  std::optional<Instant> absent_since;
  std::optional<Instant> terminated_since;  // time since which the instance is
                                            // known to have terminated
  bool has_reported = false;  // this instance has received a report from it
  // No longer a member, even if lagging lists still contain it.
  bool removed = false;
};

struct RosterDelays {
  // Longer than a network partition lasts.
  milliseconds absent = std::chrono::minutes(10);
  // Longer than the term of a lease that the instance had granted.
  milliseconds terminated = seconds(4);
};

struct QuotaRoster {
  Incarnation self;
  std::unordered_map<Incarnation, MemberPresence> presence;
  Members proposed;
  // Every roster that this instance has reported since the last agreed one,
  // which comes first. The instance claims at most the least of its parts in
  // any of these rosters.
  std::vector<Members> promised;
  Instant promised_at;  // time at which the last of them was first promised
  // False until the first agreement; nothing is claimed before.
  bool agreed = false;
  // Digest that each member reported.
  std::unordered_map<Incarnation, uint64_t> reports;
};

// Returns the digest that identifies a roster in heartbeats.
auto RosterDigest(const Members& members) -> uint64_t;

// Updates the proposed roster from the platform's list of the zone's instances.
// An instance that is missing from the list remains a member for
// `delays.absent`, or for `delays.terminated` if this instance never received a
// report from it; in the latter case other instances that know it object by
// reporting a different roster. An instance in `terminated`, which reported
// that it stopped or whose address has a newer incarnation, remains a member
// for `delays.terminated`. A list that is empty or lacks this instance is
// ignored.
auto UpdateRoster(QuotaRoster& roster,
                  const Members& listed,
                  const Members& terminated,
                  Instant now,
                  const RosterDelays& delays) -> void;

// Removes a member immediately. Used for the substitute member that represents
// an instance which is listed but has not reported, once the instance reports
// and its real incarnation replaces the substitute.
auto RemoveMember(QuotaRoster& roster, Incarnation member) -> void;

// Promises the proposed roster, so that heartbeats may report it. Called once
// the tasks leased to others fit into the claim that this roster leaves.
auto PromiseProposed(QuotaRoster& roster, Instant now) -> void;

// Returns the digest that heartbeats report: that of the roster promised last,
// or 0 if there is none.
auto ReportedDigest(const QuotaRoster& roster) -> uint64_t;

// Records the digest that a member's heartbeat reported. `echoed_sent` is the
// time at which this instance sent the latest heartbeat that the member had
// received by then. A digest that was sent before the member received the last
// promise is ignored.
auto RecordReport(QuotaRoster& roster,
                  Incarnation sender,
                  uint64_t digest,
                  Instant echoed_sent) -> void;

// Reports whether the instance is a member of the proposed roster.
auto IsMember(const QuotaRoster& roster, Incarnation instance) -> bool;

// Returns the index of a member in the sorted roster.
auto MemberIndex(const Members& members, Incarnation instance) -> size_t;

// `PartInRoster` returns the instance's part of `zone_tasks` in a roster.
// `ClaimedTasks` returns the least of this instance's parts in all rosters that
// bind it; these claims sum up to at most `zone_tasks` over all instances of
// the zone.
auto PartInRoster(const Members& members,
                  Incarnation instance,
                  uint32_t zone_tasks,
                  uint64_t salt) -> uint32_t;
auto ClaimedTasks(const QuotaRoster& roster, uint32_t zone_tasks, uint64_t salt)
    -> uint32_t;

}  // namespace boragecroft

#endif  // SERVERS_QUOTA_QUOTA_ROSTER_H_
