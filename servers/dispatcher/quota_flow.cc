#include "servers/dispatcher/quota_flow.h"

#include <algorithm>
#include <utility>

#include "servers/dispatcher/task_settlement.h"
#include "servers/dispatcher/team_demands.h"

namespace boragecroft {
namespace {

// Longer than the time for which a terminated member stays in the roster.
constexpr milliseconds kAgreementTimeout{6000};

// Builds the plan for the quotas. All zones get equal weights, because the
// declarations do not state how many workers a zone has.
auto MakePlan(const Dispatcher& dispatcher, const Configuration& configuration)
    -> QuotaPlan {
  QuotaPlan plan;
  for (const auto& it : configuration.teams) {
    plan.quotas.push_back(TeamTasks{.team = it.name, .tasks = it.quota_tasks});
  }
  for (size_t i = 0; i < configuration.zones.size(); ++i) {
    plan.zone_weights.push_back(1);
    if (configuration.zones[i].name == dispatcher.settings.zone) {
      plan.zone = static_cast<uint32_t>(i);
    }
  }
  return plan;
}

auto WaitingTasks(const Dispatcher& dispatcher, const std::string& partner)
    -> uint64_t {
  uint64_t tasks = 0;
  for (const auto& it : dispatcher.services) {
    for (uint32_t i = 0; i < it.second.queue.classes.size(); ++i) {
      tasks += PartnerBacklog(it.second.queue, i, partner).tasks;
    }
  }
  return tasks;
}

auto OwnDemands(const Dispatcher& dispatcher,
                const Configuration& configuration) -> std::vector<TeamTasks> {
  std::vector<TeamTasks> demands;
  for (const auto& it : configuration.teams) {
    demands.push_back(TeamTasks{
        .team = it.name, .tasks = TasksInProgress(dispatcher.quota, it.name)});
  }
  for (const auto& partner : configuration.partners) {
    const auto it = std::find_if(
        demands.begin(), demands.end(),
        [&](const TeamTasks& demand) { return demand.team == partner.team; });
    if (it != demands.end()) {
      it->tasks +=
          static_cast<uint32_t>(WaitingTasks(dispatcher, partner.name));
    }
  }
  return demands;
}

// Returns a placeholder for an instance that is in the list but has never sent
// a heartbeat. The placeholder can't agree to a roster, so nothing is claimed
// that this instance may be using. If an earlier incarnation at its address has
// lent something, the borrowers know about it.
auto PlaceholderMember(const Address& address) -> Incarnation {
  return Incarnation{std::hash<Address>()(address) | 1U};
}

auto TerminatedMembers(const Membership& membership) -> Members {
  Members ended;
  for (const auto& it : membership.ended) {
    ended.push_back(it.incarnation);
  }
  std::sort(ended.begin(), ended.end());
  return ended;
}

auto ToDemands(const std::vector<TeamTasks>& tasks) -> std::vector<Demand> {
  std::vector<Demand> demands;
  for (const auto& it : tasks) {
    if (it.tasks > 0) {
      demands.push_back(Demand{.name = it.team, .tasks = it.tasks});
    }
  }
  return demands;
}

auto ToTeamTasks(const std::vector<Demand>& demands) -> std::vector<TeamTasks> {
  std::vector<TeamTasks> tasks;
  tasks.reserve(demands.size());
  for (const auto& it : demands) {
    tasks.push_back(TeamTasks{.team = it.name, .tasks = it.tasks});
  }
  return tasks;
}

}  // namespace

auto UpdateQuotaShares(EventContext& context) -> void {
  auto& dispatcher = context.dispatcher;
  const auto* configuration = InForce(dispatcher);
  if (configuration == nullptr) {
    return;
  }
  // Making the reports promises the roster. Without a peer no heartbeat is due
  // that would need the reports, so they are made here.
  if (dispatcher.membership.peers.empty()) {
    MakeQuotaReports(context);
  }
  SetShares(dispatcher.quota,
            AllocateQuota(MakePlan(dispatcher, *configuration),
                          dispatcher.quota_state, context.now.boot));
  for (const auto& it : configuration->teams) {
    ApplyQuotaPause(context, it.name);
  }
}

auto MayServeQuotas(const Dispatcher& dispatcher, Instant now) -> bool {
  return dispatcher.quota_state.roster.agreed ||
         now - dispatcher.started.boot >= kAgreementTimeout;
}

auto UpdateQuotaRoster(EventContext& context) -> void {
  auto& dispatcher = context.dispatcher;
  const auto& membership = dispatcher.membership;
  Members listed = {dispatcher.self};
  for (const auto& it : membership.peers) {
    if (it.zone != membership.zone || !it.listed) {
      continue;
    }
    if (it.incarnation.value == 0) {
      listed.push_back(PlaceholderMember(it.address));
      continue;
    }
    RemoveMember(dispatcher.quota_state.roster, PlaceholderMember(it.address));
    listed.push_back(it.incarnation);
  }
  std::sort(listed.begin(), listed.end());
  UpdateRoster(dispatcher.quota_state.roster, listed,
               TerminatedMembers(membership), context.now.boot, RosterDelays());
}

auto DropTerminatedMembers(EventContext& context) -> void {
  auto& dispatcher = context.dispatcher;
  UpdateRoster(dispatcher.quota_state.roster, {},
               TerminatedMembers(dispatcher.membership), context.now.boot,
               RosterDelays());
}

auto MakeQuotaReports(EventContext& context) -> std::vector<AddressedReport> {
  auto& dispatcher = context.dispatcher;
  const auto* configuration = InForce(dispatcher);
  if (configuration == nullptr) {
    return {};
  }
  dispatcher.quota_state.own_demands = OwnDemands(dispatcher, *configuration);
  return MakeReports(MakePlan(dispatcher, *configuration), QuotaTimes(),
                     dispatcher.quota_state, context.now.boot);
}

auto AddQuotaReport(const Dispatcher& dispatcher,
                    const std::vector<AddressedReport>& reports,
                    const PeerInstance& receiver,
                    Heartbeat& heartbeat) -> void {
  const auto it = std::find_if(reports.begin(), reports.end(),
                               [&](const AddressedReport& report) {
                                 return report.receiver == receiver.incarnation;
                               });
  if (it == reports.end()) {
    return;
  }
  heartbeat.roster_digest = it->report.roster_digest;
  heartbeat.quota_claims = it->report.claims;
  EncodeTeamDemands(*InForce(dispatcher), it->report.demands,
                    receiver.teams_digest, heartbeat);
  heartbeat.quota_leases = ToDemands(it->report.leased);
}

auto ApplyQuotaReport(EventContext& context,
                      const PeerInstance& peer,
                      const Heartbeat& heartbeat) -> void {
  auto& dispatcher = context.dispatcher;
  const auto* configuration = InForce(dispatcher);
  if (peer.zone != dispatcher.settings.zone || configuration == nullptr) {
    return;
  }
  QuotaReport report;
  report.sender = peer.incarnation;
  report.roster_digest = heartbeat.roster_digest;
  report.claims = heartbeat.quota_claims;
  report.demands = DecodeTeamDemands(*configuration, heartbeat);
  report.leased = ToTeamTasks(heartbeat.quota_leases);
  ApplyReport(QuotaTimes(), dispatcher.quota_state, report, peer.echoed_sent,
              context.now.boot);
}

}  // namespace boragecroft
