#include "servers/dispatcher/membership_flow.h"

#include <utility>

#include "core/log/log.h"
#include "servers/dispatcher/admitting.h"
#include "servers/dispatcher/configuration_flow.h"
#include "servers/dispatcher/owner_routing.h"
#include "servers/dispatcher/quota_flow.h"
#include "servers/dispatcher/record_flow.h"

namespace boragecroft {
namespace {

constexpr milliseconds kShareInterval{250};
constexpr milliseconds kMaxListAge{5000};
// Part of the several hundred writes a second that the platform's table accepts
// from all its users together.
constexpr uint32_t kTableWritesPerSecond = 300;

auto ToListed(const PlatformWorker& worker, const Configuration* configuration)
    -> ListedWorker {
  const auto* service = configuration == nullptr
                            ? nullptr
                            : FindService(*configuration, worker.service);
  ListedWorker listed;
  listed.service = worker.service;
  listed.name = worker.name;
  listed.address = worker.address;
  listed.incarnation = worker.incarnation;
  if (service != nullptr) {
    listed.slots = service->slots_per_worker;
    listed.connections = service->connections_per_worker;
  }
  if (worker.slots > 0) {
    listed.slots = worker.slots;
  }
  listed.capacity = worker.capacity;
  listed.leaving = worker.leaving;
  return listed;
}

auto RemoveWorkers(Dispatcher& dispatcher, const ListChange& change) -> void {
  for (const auto& it : change.removed) {
    RemoveEjections(dispatcher.outlier_detector, it);
  }
}

auto SetPoolSizes(Dispatcher& dispatcher) -> void {
  for (const auto& it : dispatcher.fleet.by_service) {
    SetPoolSize(dispatcher.outlier_detector, it.first,
                static_cast<uint32_t>(it.second.size()));
  }
}

auto ApplyList(EventContext& context, const InstanceList& list) -> void {
  auto& dispatcher = context.dispatcher;
  ApplyInstanceList(dispatcher.membership, list.instances, context.now.boot);
  UpdateQuotaRoster(context);
  WorkerList workers;
  workers.as_of = list.as_of.value_or(context.now.wall);
  for (const auto& it : list.workers) {
    if (it.zone == dispatcher.settings.zone) {
      workers.workers.push_back(ToListed(it, InForce(dispatcher)));
    }
  }
  RemoveWorkers(dispatcher,
                ApplyWorkerList(dispatcher.fleet, workers, context.now));
  SetPoolSizes(dispatcher);
  // New workers have no slots allotted yet.
  dispatcher.next_share_update = context.now.boot;
}

// Applies the last list again. An unchanged list counts as one made now,
// because entries that it lacks are still missing.
auto ApplyUnchanged(EventContext& context) -> void {
  auto& known = context.dispatcher.known_list;
  if (!known) {
    return;
  }
  if (known->as_of) {
    *known->as_of += milliseconds(1);
  }
  ApplyList(context, *known);
}

auto OnListAnswer(EventContext& context, PlatformOutcome& outcome) -> void {
  if (std::holds_alternative<ListUnchanged>(outcome.result)) {
    ApplyUnchanged(context);
    return;
  }
  auto* list = std::get_if<InstanceList>(&outcome.result);
  if (list == nullptr) {
    return;
  }
  ApplyList(context, *list);
  auto& known = context.dispatcher.known_list;
  known.reset();
  if (!list->tag.empty()) {
    std::erase_if(list->workers, [&](const PlatformWorker& it) {
      return it.zone != context.dispatcher.settings.zone;
    });
    known = std::move(*list);
  }
}

auto PollList(EventContext& context) -> void {
  const auto& known = context.dispatcher.known_list;
  ListInstances call;
  call.workers_zone = context.dispatcher.settings.zone;
  call.known_tag = known ? known->tag : std::string();
  CallPlatform(context, std::move(call), OnListAnswer);
}

auto SlotsInUse(const ServiceState& service) -> uint32_t {
  uint64_t tasks = service.queue.backlog.tasks;
  for (uint32_t i = 0; i < service.queue.classes.size(); ++i) {
    tasks += InProgress(service.queue, i);
  }
  return static_cast<uint32_t>(std::min<uint64_t>(tasks, UINT32_MAX));
}

auto ServiceDemands(EventContext& context) -> std::vector<Demand> {
  std::vector<Demand> demands;
  for (auto& [name, service] : context.dispatcher.services) {
    demands.push_back(Demand{
        .name = name,
        .tasks =
            UpdateDemand(service.demand, SlotsInUse(service), context.now)});
  }
  return demands;
}

auto MakeHeartbeat(const Dispatcher& dispatcher,
                   const PeerInstance& peer,
                   std::vector<Demand> demands) -> Heartbeat {
  Heartbeat heartbeat;
  heartbeat.instance = dispatcher.settings.instance;
  heartbeat.zone = dispatcher.settings.zone;
  heartbeat.address = dispatcher.settings.peer_address;
  heartbeat.started = dispatcher.started.wall;
  heartbeat.sequence = peer.sent_sequence;
  heartbeat.configuration_version =
      static_cast<uint64_t>(VersionInForce(dispatcher.configuration));
  heartbeat.leaving =
      dispatcher.drain != DrainPhase::kServing || dispatcher.fenced;
  heartbeat.stopped = dispatcher.drain == DrainPhase::kStopped;
  heartbeat.echo_incarnation = peer.incarnation;
  heartbeat.echo_sequence = peer.received_sequence;
  if (peer.zone == dispatcher.settings.zone) {
    heartbeat.service_demands = std::move(demands);
  }
  return heartbeat;
}

// Reports whether the list was read recently. An outdated list removes no
// instance from the quotas.
auto IsListFresh(const Membership& membership, Instant now) -> bool {
  return membership.list_applied &&
         now - *membership.list_applied <= kMaxListAge;
}

// Returns the workers that this instance ejected, under the names that all
// instances know.
auto OwnEjections(const Dispatcher& dispatcher) -> std::vector<WorkerEjection> {
  std::vector<WorkerEjection> ejections;
  for (const auto& shared : ListSharedEjections(dispatcher.outlier_detector)) {
    for (const auto& it : dispatcher.fleet.workers) {
      if (it.id == shared.subject.worker) {
        ejections.push_back(WorkerEjection{.worker = it.listed.name,
                                           .incarnation = it.listed.incarnation,
                                           .service = shared.service,
                                           .kind = shared.subject.kind,
                                           .sequence = shared.sequence});
      }
    }
  }
  return ejections;
}

auto ApplyEjection(EventContext& context,
                   const std::string& peer,
                   const WorkerEjection& ejection) -> void {
  auto& dispatcher = context.dispatcher;
  for (const auto& it : dispatcher.fleet.workers) {
    if (it.listed.name != ejection.worker ||
        it.listed.incarnation != ejection.incarnation ||
        it.listed.service != ejection.service) {
      continue;
    }
    SharedEjection shared;
    shared.subject = Subject{.worker = it.id, .kind = ejection.kind};
    shared.service = ejection.service;
    shared.sequence = ejection.sequence;
    const auto result = ApplyPeerEjection(dispatcher.outlier_detector, peer,
                                          shared, context.now);
    if (result.kind == EjectionChange::kEjected) {
      ++dispatcher.counters.workers_ejected;
      Log(LogLevel::kWarning, "worker_put_aside",
          {{"worker", ejection.worker},
           {"kind", ejection.kind},
           {"told_by", peer}});
    }
    return;
  }
}

auto SendHeartbeats(EventContext& context) -> void {
  auto& dispatcher = context.dispatcher;
  const auto due = TakeDueHeartbeats(dispatcher.membership, context.now.boot);
  if (due.empty()) {
    return;
  }
  const auto demands = ServiceDemands(context);
  const auto reports = MakeQuotaReports(context);
  const auto ejections = OwnEjections(dispatcher);
  for (const auto index : due) {
    const auto& peer = dispatcher.membership.peers[index];
    PeerMessage message;
    message.from = dispatcher.self;
    auto heartbeat = MakeHeartbeat(dispatcher, peer, demands);
    AddQuotaReport(dispatcher, reports, peer, heartbeat);
    if (peer.zone == dispatcher.settings.zone) {
      heartbeat.verdicts = ejections;
    }
    message.body = std::move(heartbeat);
    context.out.peers.emplace_back(
        SendToPeer{.to = peer.address, .message = std::move(message)});
    ++dispatcher.counters.heartbeats_sent;
  }
}

auto DemandOf(const std::vector<Demand>& demands, const std::string& name)
    -> uint32_t {
  for (const auto& it : demands) {
    if (it.name == name) {
      return it.tasks;
    }
  }
  return 0;
}

// Sets this instance's share of the writes that the table accepts.
auto UpdateWritePace(EventContext& context) -> void {
  auto& dispatcher = context.dispatcher;
  const auto instances =
      static_cast<uint32_t>(dispatcher.membership.peers.size()) + 1;
  SetPace(dispatcher.ledger, PaceFor(instances, kTableWritesPerSecond));
}

// Computes this instance's share of the zone's slots from the demands that the
// instances report.
auto UpdateSlotShares(EventContext& context) -> void {
  auto& dispatcher = context.dispatcher;
  const auto peers =
      ReachableZonePeers(dispatcher.membership, context.now.boot);
  for (auto& [name, service] : dispatcher.services) {
    std::vector<InstanceDemand> demands;
    demands.push_back(InstanceDemand{.instance = dispatcher.settings.instance,
                                     .slots = service.demand.reported});
    for (const auto* it : peers) {
      demands.push_back(InstanceDemand{
          .instance = it->name, .slots = DemandOf(it->service_demands, name)});
    }
    AllotSlots(dispatcher.fleet, name, std::move(demands),
               dispatcher.settings.instance);
  }
  for (auto& it : dispatcher.fleet.workers) {
    it.speed = WorkerSpeed(dispatcher.estimates, it.id) *
               StragglerWeight(dispatcher.outlier_detector, it.id, context.now);
  }
}

auto ResetUnresponsiveConnections(EventContext& context) -> void {
  auto& membership = context.dispatcher.membership;
  for (const auto index :
       TakeUnresponsiveConnections(membership, context.now.boot)) {
    const auto& peer = membership.peers[index];
    Log(LogLevel::kWarning, "peer_connection_silent",
        {{"peer", peer.name}, {"address", ToString(peer.address)}});
    context.out.peers.emplace_back(ResetPeerConnection{.to = peer.address});
  }
}

}  // namespace

auto AdvanceMembership(EventContext& context) -> void {
  auto& dispatcher = context.dispatcher;
  if (context.now.boot >= dispatcher.next_list_poll) {
    dispatcher.next_list_poll =
        context.now.boot + dispatcher.settings.list_poll_interval;
    PollList(context);
  }
  if (context.now.boot >= dispatcher.next_share_update) {
    dispatcher.next_share_update = context.now.boot + kShareInterval;
    UpdateSlotShares(context);
    DropTerminatedMembers(context);
    UpdateQuotaShares(context);
    UpdateWritePace(context);
    ResetUnresponsiveConnections(context);
  }
  SendHeartbeats(context);
}

auto AnnounceStop(EventContext& context) -> void {
  for (auto& it : context.dispatcher.membership.peers) {
    it.next_heartbeat = context.now.boot;
  }
  SendHeartbeats(context);
}

auto OnHeartbeat(EventContext& context,
                 Incarnation from,
                 const Heartbeat& heartbeat) -> void {
  auto& dispatcher = context.dispatcher;
  ++dispatcher.counters.heartbeats_received;
  const auto is_new = FindPeer(dispatcher.membership, from) == nullptr;
  const auto replaced =
      ApplyHeartbeat(dispatcher.membership, from, heartbeat, context.now.boot);
  if (replaced) {
    Log(LogLevel::kInfo, "instance_replaced",
        {{"peer", heartbeat.instance},
         {"old", ToString(*replaced)},
         {"new", ToString(from)}});
  }
  if (const auto* peer = FindPeer(dispatcher.membership, from)) {
    if (is_new && IsListFresh(dispatcher.membership, context.now.boot)) {
      UpdateQuotaRoster(context);
    }
    OnPeerVersion(context, *peer, heartbeat.configuration_version);
    ApplyQuotaReport(context, *peer, heartbeat);
    for (const auto& it : heartbeat.verdicts) {
      ApplyEjection(context, ToString(from), it);
    }
    if (peer->stopped) {
      ResolveRelaysFromRecords(context, from);
    }
  }
}

}  // namespace boragecroft
