#include "servers/quota/quota_roster.h"

#include <algorithm>

#include "core/base/random.h"
#include "servers/quota/share_split.h"

namespace boragecroft {
namespace {

auto Contains(const Members& members, Incarnation instance) -> bool {
  return std::ranges::binary_search(members, instance.value, {},
                                    &Incarnation::value);
}

auto ReportedByAll(const QuotaRoster& roster) -> bool {
  const auto digest = RosterDigest(roster.proposed);
  return std::all_of(
      roster.proposed.begin(), roster.proposed.end(), [&](Incarnation it) {
        const auto report = roster.reports.find(it);
        return it == roster.self ||
               (report != roster.reports.end() && report->second == digest);
      });
}

auto AgreeIfReportedByAll(QuotaRoster& roster) -> void {
  const auto promised =
      !roster.promised.empty() && roster.promised.back() == roster.proposed;
  if (promised && ReportedByAll(roster)) {
    roster.promised = {roster.proposed};
    roster.agreed = true;
  }
}

auto RecordListed(QuotaRoster& roster, const Members& listed, Instant now)
    -> void {
  for (auto& [member, presence] : roster.presence) {
    if (!Contains(listed, member) && !presence.absent_since) {
      presence.absent_since = now;
    }
  }
  for (const auto it : listed) {
    roster.presence[it].absent_since.reset();
  }
}

auto RecordTerminated(QuotaRoster& roster,
                      const Members& terminated,
                      Instant now) -> void {
  for (const auto it : terminated) {
    const auto member = roster.presence.find(it);
    const auto known = member != roster.presence.end() && it != roster.self;
    if (known && !member->second.terminated_since) {
      member->second.terminated_since = now;
    }
  }
}

auto HasPassed(const std::optional<Instant>& since,
               Instant now,
               milliseconds delay) -> bool {
  return since.has_value() && now - *since >= delay;
}

auto UpdateProposedRoster(QuotaRoster& roster) -> void {
  Members members;
  for (const auto& [member, presence] : roster.presence) {
    if (!presence.removed) {
      members.push_back(member);
    }
  }
  std::ranges::sort(members, {}, &Incarnation::value);
  if (members != roster.proposed) {
    roster.proposed = std::move(members);
    roster.reports.clear();
  }
}

}  // namespace

auto RosterDigest(const Members& members) -> uint64_t {
  uint64_t digest = members.size();
  for (const auto it : members) {
    digest = MixHash(digest, it.value);
  }
  return digest;
}

auto UpdateRoster(QuotaRoster& roster,
                  const Members& listed,
                  const Members& terminated,
                  Instant now,
                  const RosterDelays& delays) -> void {
  if (Contains(listed, roster.self)) {
    RecordListed(roster, listed, now);
    std::erase_if(roster.presence, [&](const auto& it) {
      const auto delay =
          it.second.has_reported ? delays.absent : delays.terminated;
      return HasPassed(it.second.absent_since, now, delay);
    });
  }
  RecordTerminated(roster, terminated, now);
  for (auto& [member, presence] : roster.presence) {
    presence.removed = presence.removed || HasPassed(presence.terminated_since,
                                                     now, delays.terminated);
  }
  UpdateProposedRoster(roster);
}

auto RemoveMember(QuotaRoster& roster, Incarnation member) -> void {
  roster.presence.erase(member);
}

auto PromiseProposed(QuotaRoster& roster, Instant now) -> void {
  if (roster.proposed.empty()) {
    return;
  }
  if (roster.promised.empty() || roster.promised.back() != roster.proposed) {
    roster.promised.push_back(roster.proposed);
    roster.promised_at = now;
    roster.reports.clear();
  }
  AgreeIfReportedByAll(roster);
}

auto ReportedDigest(const QuotaRoster& roster) -> uint64_t {
  return roster.promised.empty() ? 0 : RosterDigest(roster.promised.back());
}

auto RecordReport(QuotaRoster& roster,
                  Incarnation sender,
                  uint64_t digest,
                  Instant echoed_sent) -> void {
  if (!IsMember(roster, sender)) {
    return;
  }
  roster.presence[sender].has_reported = true;
  if (echoed_sent < roster.promised_at) {
    return;
  }
  roster.reports[sender] = digest;
  AgreeIfReportedByAll(roster);
}

auto IsMember(const QuotaRoster& roster, Incarnation instance) -> bool {
  return Contains(roster.proposed, instance);
}

auto MemberIndex(const Members& members, Incarnation instance) -> size_t {
  return static_cast<size_t>(std::ranges::lower_bound(members, instance.value,
                                                      {}, &Incarnation::value) -
                             members.begin());
}

auto PartInRoster(const Members& members,
                  Incarnation instance,
                  uint32_t zone_tasks,
                  uint64_t salt) -> uint32_t {
  if (!Contains(members, instance)) {
    return 0;
  }
  const std::vector<uint32_t> equal(members.size(), 1);
  const auto parts = SplitByWeight(zone_tasks, equal, salt);
  return parts[MemberIndex(members, instance)];
}

auto ClaimedTasks(const QuotaRoster& roster, uint32_t zone_tasks, uint64_t salt)
    -> uint32_t {
  if (!roster.agreed) {
    return 0;
  }
  auto least = zone_tasks;
  for (const auto& it : roster.promised) {
    least = std::min(least, PartInRoster(it, roster.self, zone_tasks, salt));
  }
  return least;
}

}  // namespace boragecroft
