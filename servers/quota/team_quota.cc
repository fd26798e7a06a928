#include "servers/quota/team_quota.h"

#include <algorithm>
#include <numeric>

#include "servers/quota/share_split.h"

namespace boragecroft {
namespace {

// Each instance is assumed to need its claim divided by this number, and at
// least one task, in addition to its demand, to cover tasks that arrive before
// the next report.
constexpr uint32_t kHeadroomDivisor = 8;

auto WithHeadroom(uint32_t demand, uint32_t claim) -> uint32_t {
  const auto headroom = std::max(claim / kHeadroomDivisor, 1U);
  return static_cast<uint32_t>(
      std::min<uint64_t>(uint64_t{demand} + headroom, UINT32_MAX));
}

auto Sum(const std::vector<uint32_t>& values) -> uint32_t {
  return std::accumulate(values.begin(), values.end(), 0U);
}

// Returns the amount by which each element of `a` exceeds its counterpart in
// `b`, or 0.
auto Excess(const std::vector<uint32_t>& a, const std::vector<uint32_t>& b)
    -> std::vector<uint32_t> {
  std::vector<uint32_t> excess(a.size(), 0);
  for (size_t i = 0; i < a.size(); ++i) {
    excess[i] = a[i] > b[i] ? a[i] - b[i] : 0;
  }
  return excess;
}

// Pairs lenders with borrowers in order of position; `given` and `taken` sum up
// to the same number.
auto PairLendersWithBorrowers(std::vector<uint32_t> given,
                              std::vector<uint32_t> taken)
    -> std::vector<std::vector<uint32_t>> {
  const auto count = given.size();
  std::vector lent(count, std::vector<uint32_t>(count, 0));
  for (size_t i = 0, j = 0; i < count && j < count;) {
    const auto tasks = std::min(given[i], taken[j]);
    lent[i][j] = tasks;
    given[i] -= tasks;
    taken[j] -= tasks;
    if (given[i] == 0) {
      ++i;
    } else {
      ++j;
    }
  }
  return lent;
}

auto FindPeer(const QuotaState& state, Incarnation peer) -> const PeerDemand* {
  const auto it =
      std::find_if(state.peer_demands.begin(), state.peer_demands.end(),
                   [&](const PeerDemand& entry) { return entry.peer == peer; });
  return it == state.peer_demands.end() ? nullptr : &*it;
}

struct TeamView {
  std::vector<uint32_t> claims;
  std::vector<uint32_t> demands;
};

// Returns the claims and demands of all members for one team, as known to this
// instance.
auto CollectTeamView(const QuotaState& state,
                     const QuotaTimes& times,
                     const TeamTasks& zone_quota,
                     Instant now) -> TeamView {
  const auto salt = SplitSalt(zone_quota.team);
  TeamView view;
  for (const auto it : state.roster.proposed) {
    if (it == state.roster.self) {
      view.claims.push_back(ClaimedTasks(state.roster, zone_quota.tasks, salt));
      view.demands.push_back(TasksOf(state.own_demands, zone_quota.team));
      continue;
    }
    const auto* peer = FindPeer(state, it);
    const auto fresh =
        peer != nullptr && now - peer->received < times.demand_term;
    const auto part =
        PartInRoster(state.roster.proposed, it, zone_quota.tasks, salt);
    view.claims.push_back(fresh && peer->claims ? part : 0);
    view.demands.push_back(fresh ? TasksOf(peer->demands, zone_quota.team) : 0);
  }
  return view;
}

// Promises the proposed roster once the tasks lent to others fit into the claim
// that the roster leaves.
auto PromiseWhenLeasesFit(const QuotaPlan& plan, QuotaState& state, Instant now)
    -> void {
  for (const auto& it : plan.quotas) {
    const auto part = PartInRoster(state.roster.proposed, state.roster.self,
                                   ZoneTasks(plan, it), SplitSalt(it.team));
    if (GrantedTasks(state.leases, it.team, now) > part) {
      return;
    }
  }
  PromiseProposed(state.roster, now);
}

// Returns the total number of tasks that may be lent: the claim, limited also
// by this instance's part of a roster that is proposed but not yet promised.
auto LendableTasks(const QuotaState& state, const TeamTasks& zone_quota)
    -> uint32_t {
  const auto salt = SplitSalt(zone_quota.team);
  return std::min(ClaimedTasks(state.roster, zone_quota.tasks, salt),
                  PartInRoster(state.roster.proposed, state.roster.self,
                               zone_quota.tasks, salt));
}

// Adds to each report the tasks of one team that are lent to its receiver.
// Earlier grants still count until they expire, so a new grant only gets what
// they leave. Renewals are limited to what may be lent too, so that a reduced
// claim takes effect in time.
auto AddLeasesForTeam(const QuotaTimes& times,
                      const QuotaState& state,
                      const TeamTasks& zone_quota,
                      Instant now,
                      std::vector<AddressedReport>& reports) -> void {
  const auto& members = state.roster.proposed;
  const auto view = CollectTeamView(state, times, zone_quota, now);
  const auto lent =
      PlanLeases(view.claims, view.demands, SplitSalt(zone_quota.team));
  const auto self_index = MemberIndex(members, state.roster.self);
  const auto granted = GrantedTasks(state.leases, zone_quota.team, now);
  const auto lendable = LendableTasks(state, zone_quota);
  auto growth = lendable > granted ? lendable - granted : 0;
  auto renewable = lendable;
  for (auto& it : reports) {
    const auto receiver_index = MemberIndex(members, it.receiver);
    const auto before =
        TasksGrantedTo(state.leases, it.receiver, zone_quota.team, now);
    const auto tasks = std::min(
        {lent[self_index][receiver_index], before + growth, renewable});
    growth -= tasks > before ? tasks - before : 0;
    renewable -= tasks;
    if (tasks > 0) {
      it.report.leased.push_back({zone_quota.team, tasks});
    }
  }
}

auto CreateReports(const QuotaState& state) -> std::vector<AddressedReport> {
  const auto& roster = state.roster;
  std::vector<AddressedReport> reports;
  for (const auto it : roster.proposed) {
    if (it != roster.self) {
      reports.push_back(
          {.receiver = it,
           .report = {.sender = roster.self,
                      .roster_digest = ReportedDigest(roster),
                      .demands = state.own_demands,
                      .claims = roster.agreed && roster.promised.size() == 1}});
    }
  }
  return reports;
}

}  // namespace

auto ZoneTasks(const QuotaPlan& plan, const TeamTasks& quota) -> uint32_t {
  const auto parts =
      SplitByWeight(quota.tasks, plan.zone_weights, SplitSalt(quota.team));
  return plan.zone < parts.size() ? parts[plan.zone] : 0;
}

auto AllocateQuota(const QuotaPlan& plan, const QuotaState& state, Instant now)
    -> std::vector<TeamTasks> {
  std::vector<TeamTasks> shares;
  for (const auto& it : plan.quotas) {
    const auto claim =
        ClaimedTasks(state.roster, ZoneTasks(plan, it), SplitSalt(it.team));
    const auto granted = GrantedTasks(state.leases, it.team, now);
    const auto own = claim > granted ? claim - granted : 0;
    shares.push_back({it.team, own + HeldTasks(state.leases, it.team, now)});
  }
  return shares;
}

auto PlanLeases(const std::vector<uint32_t>& claims,
                const std::vector<uint32_t>& demands,
                uint64_t salt) -> std::vector<std::vector<uint32_t>> {
  std::vector<uint32_t> needs;
  for (size_t i = 0; i < claims.size(); ++i) {
    needs.push_back(WithHeadroom(demands[i], claims[i]));
  }
  const auto target = FillToCaps(Sum(claims), needs, salt);
  const auto taken = Excess(target, claims);
  const auto given = SplitByWeight(Sum(taken), Excess(claims, target), salt);
  return PairLendersWithBorrowers(given, taken);
}

auto MakeReports(const QuotaPlan& plan,
                 const QuotaTimes& times,
                 QuotaState& state,
                 Instant now) -> std::vector<AddressedReport> {
  DropExpired(state.leases, now);
  PromiseWhenLeasesFit(plan, state, now);
  auto reports = CreateReports(state);
  for (const auto& it : plan.quotas) {
    AddLeasesForTeam(times, state, {it.team, ZoneTasks(plan, it)}, now,
                     reports);
  }
  const auto expires = now + times.lease_term + times.lease_margin;
  for (const auto& it : reports) {
    RecordGranted(state.leases, it.receiver, it.report.leased, expires);
  }
  return reports;
}

auto ApplyReport(const QuotaTimes& times,
                 QuotaState& state,
                 const QuotaReport& report,
                 Instant echoed_sent,
                 Instant now) -> void {
  if (!IsMember(state.roster, report.sender)) {
    return;
  }
  RecordReport(state.roster, report.sender, report.roster_digest, echoed_sent);
  RecordHeld(state.leases, report.sender, report.leased,
             echoed_sent + times.lease_term);
  std::erase_if(state.peer_demands,
                [&](const PeerDemand& it) { return it.peer == report.sender; });
  state.peer_demands.push_back({.peer = report.sender,
                                .demands = report.demands,
                                .claims = report.claims,
                                .received = now});
}

}  // namespace boragecroft
