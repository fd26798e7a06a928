// The instances of one availability zone among which its part of the quotas is
// divided. An instance claims its part of a roster only after every member has
// reported that roster, so that instances that see different lists never claim
// more than the whole. See docs/design/quotas.md for the proof.
#ifndef SERVERS_QUOTA_QUOTA_ROSTER_H_
#define SERVERS_QUOTA_QUOTA_ROSTER_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/base/clock.h"
#include "core/base/ids.h"

namespace boragecroft {

using Members = std::vector<Incarnation>;  // sorted, without repetitions

struct MemberPresence {
  std::optional<Instant> absent_since;      // by the platform's lists
  std::optional<Instant> terminated_since;  // known to have stopped
  bool has_reported = false;  // reported something to this instance
  bool removed = false;       // no member any more, though lists may lag
};

struct RosterDelays {
  milliseconds absent = std::chrono::minutes(10);  // longer than a cut lasts
  milliseconds terminated =
      seconds(4);  // longer than a lease that it had granted
};

struct QuotaRoster {
  Incarnation self;
  std::unordered_map<Incarnation, MemberPresence> presence;
  Members proposed;
  // Every roster that this instance has reported since the last agreed one,
  // which comes first. It claims no more than its part of any of them.
  std::vector<Members> promised;
  Instant promised_at;  // when the last of them was first promised
  bool agreed = false;  // false until the first agreement: nothing is claimed
  std::unordered_map<Incarnation, uint64_t>
      reports;  // digest that each member reported
};

// Identifies a roster in heartbeats.
auto RosterDigest(const Members& members) -> uint64_t;

// Takes the platform's list of the zone's instances. An instance that is
// missing from it stays a member for `delays.absent`, or for `delays.gone` if
// it was never heard here: others that know it object. One in `gone`, which
// said that it stopped or whose address has a newer incarnation, stays for
// `delays.gone`. A list without this instance, or none at all, changes nothing.
auto UpdateRoster(QuotaRoster& roster,
                  const Members& listed,
                  const Members& terminated,
                  Instant now,
                  const RosterDelays& delays) -> void;

// Drops at once a member that stood for an instance that was only listed, once
// that instance was heard and its incarnation takes the place.
auto RemoveMember(QuotaRoster& roster, Incarnation member) -> void;

// Promises the proposed roster, so that heartbeats may report it. Called once
// what is leased to others fits the claim that it leaves.
auto PromiseProposed(QuotaRoster& roster, Instant now) -> void;

// The digest that heartbeats report: the roster promised last; 0 for none.
auto ReportedDigest(const QuotaRoster& roster) -> uint64_t;

// Takes the digest that a member's heartbeat reported. `echoed_sent` is when
// this instance sent the latest heartbeat that the member had then received: a
// report from before the last promise was heard counts for nothing.
auto RecordReport(QuotaRoster& roster,
                  Incarnation sender,
                  uint64_t digest,
                  Instant echoed_sent) -> void;

// True when the instance is a member of the roster proposed here.
auto IsMember(const QuotaRoster& roster, Incarnation instance) -> bool;

// The place of a member in the sorted roster.
auto MemberIndex(const Members& members, Incarnation instance) -> size_t;

// This instance's part of `zone_tasks` in the roster, and the least of its
// parts in all rosters that bind it. The latter adds up to at most `zone_tasks`
// over all instances of the zone.
auto PartInRoster(const Members& members,
                  Incarnation instance,
                  uint32_t zone_tasks,
                  uint64_t salt) -> uint32_t;
auto ClaimedTasks(const QuotaRoster& roster, uint32_t zone_tasks, uint64_t salt)
    -> uint32_t;

}  // namespace boragecroft

#endif  // SERVERS_QUOTA_QUOTA_ROSTER_H_
