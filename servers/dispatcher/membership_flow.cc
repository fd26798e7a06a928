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
constexpr milliseconds kFreshList{5000};
// Of the several hundred that the platform's table takes for everybody.
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

auto ForgetWorkers(Dispatcher& dispatcher, const ListChange& change) -> void {
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

auto ApplyList(Step& step, const InstanceList& list) -> void {
  auto& dispatcher = step.dispatcher;
  ApplyInstanceList(dispatcher.membership, list.instances, step.now.boot);
  UpdateQuotaRoster(step);
  WorkerList workers;
  workers.as_of = list.as_of.value_or(step.now.wall);
  for (const auto& it : list.workers) {
    if (it.zone == dispatcher.settings.zone) {
      workers.workers.push_back(ToListed(it, InForce(dispatcher)));
    }
  }
  ForgetWorkers(dispatcher,
                ApplyWorkerList(dispatcher.fleet, workers, step.now));
  SetPoolSizes(dispatcher);
  // Workers that are new have no slots allotted yet.
  dispatcher.next_share = step.now.boot;
}

// An unchanged list counts as one made now: what it lacks is still missing.
auto ApplyUnchanged(Step& step) -> void {
  auto& known = step.dispatcher.known_list;
  if (!known) {
    return;
  }
  if (known->as_of) {
    *known->as_of += milliseconds(1);
  }
  ApplyList(step, *known);
}

auto OnListAnswer(Step& step, PlatformOutcome& outcome) -> void {
  if (std::holds_alternative<ListUnchanged>(outcome.result)) {
    ApplyUnchanged(step);
    return;
  }
  auto* list = std::get_if<InstanceList>(&outcome.result);
  if (list == nullptr) {
    return;
  }
  ApplyList(step, *list);
  auto& known = step.dispatcher.known_list;
  known.reset();
  if (!list->tag.empty()) {
    std::erase_if(list->workers, [&](const PlatformWorker& it) {
      return it.zone != step.dispatcher.settings.zone;
    });
    known = std::move(*list);
  }
}

auto PollList(Step& step) -> void {
  const auto& known = step.dispatcher.known_list;
  ListInstances call;
  call.workers_zone = step.dispatcher.settings.zone;
  call.known_tag = known ? known->tag : std::string();
  CallPlatform(step, std::move(call), OnListAnswer);
}

auto SlotsInUse(const ServiceState& service) -> uint32_t {
  uint64_t tasks = service.queue.backlog.tasks;
  for (uint32_t i = 0; i < service.queue.classes.size(); ++i) {
    tasks += InProgress(service.queue, i);
  }
  return static_cast<uint32_t>(std::min<uint64_t>(tasks, UINT32_MAX));
}

auto ServiceDemands(Step& step) -> std::vector<Demand> {
  std::vector<Demand> demands;
  for (auto& [name, service] : step.dispatcher.services) {
    demands.push_back(Demand{
        .name = name,
        .tasks = UpdateDemand(service.demand, SlotsInUse(service), step.now)});
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
      dispatcher.drain != DrainPhase::kServing || dispatcher.deposed;
  heartbeat.stopped = dispatcher.drain == DrainPhase::kStopped;
  heartbeat.echo_incarnation = peer.incarnation;
  heartbeat.echo_sequence = peer.received_sequence;
  if (peer.zone == dispatcher.settings.zone) {
    heartbeat.service_demands = std::move(demands);
  }
  return heartbeat;
}

// A list that is not read any more drops nobody from the quotas.
auto IsListFresh(const Membership& membership, Instant now) -> bool {
  return membership.list_applied &&
         now - *membership.list_applied <= kFreshList;
}

// Workers put aside here, named as every instance knows them.
auto OwnVerdicts(const Dispatcher& dispatcher) -> std::vector<WorkerVerdict> {
  std::vector<WorkerVerdict> verdicts;
  for (const auto& shared : ListSharedEjections(dispatcher.outlier_detector)) {
    for (const auto& it : dispatcher.fleet.workers) {
      if (it.id == shared.subject.worker) {
        verdicts.push_back(WorkerVerdict{.worker = it.listed.name,
                                         .incarnation = it.listed.incarnation,
                                         .service = shared.service,
                                         .kind = shared.subject.kind,
                                         .sequence = shared.sequence});
      }
    }
  }
  return verdicts;
}

auto TakeVerdict(Step& step,
                 const std::string& peer,
                 const WorkerVerdict& verdict) -> void {
  auto& dispatcher = step.dispatcher;
  for (const auto& it : dispatcher.fleet.workers) {
    if (it.listed.name != verdict.worker ||
        it.listed.incarnation != verdict.incarnation ||
        it.listed.service != verdict.service) {
      continue;
    }
    SharedEjection shared;
    shared.subject = Subject{.worker = it.id, .kind = verdict.kind};
    shared.service = verdict.service;
    shared.sequence = verdict.sequence;
    const auto taken =
        ApplyPeerEjection(dispatcher.outlier_detector, peer, shared, step.now);
    if (taken.kind == EjectionChange::kEjected) {
      ++dispatcher.counters.workers_put_aside;
      Log(LogLevel::kWarning, "worker_put_aside",
          {{"worker", verdict.worker},
           {"kind", verdict.kind},
           {"told_by", peer}});
    }
    return;
  }
}

auto SendHeartbeats(Step& step) -> void {
  auto& dispatcher = step.dispatcher;
  const auto due = TakeDueHeartbeats(dispatcher.membership, step.now.boot);
  if (due.empty()) {
    return;
  }
  const auto demands = ServiceDemands(step);
  const auto reports = MakeQuotaReports(step);
  const auto verdicts = OwnVerdicts(dispatcher);
  for (const auto index : due) {
    const auto& peer = dispatcher.membership.peers[index];
    PeerMessage message;
    message.from = dispatcher.self;
    auto heartbeat = MakeHeartbeat(dispatcher, peer, demands);
    PutQuotaReport(dispatcher, reports, peer, heartbeat);
    if (peer.zone == dispatcher.settings.zone) {
      heartbeat.verdicts = verdicts;
    }
    message.body = std::move(heartbeat);
    step.out.peers.emplace_back(
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

// The instances share the writes that the table can take.
auto ShareTableWrites(Step& step) -> void {
  auto& dispatcher = step.dispatcher;
  const auto instances =
      static_cast<uint32_t>(dispatcher.membership.peers.size()) + 1;
  SetPace(dispatcher.ledger, PaceFor(instances, kTableWritesPerSecond));
}

// Derives this instance's share of the zone's slots from what the instances
// report.
auto ShareFleet(Step& step) -> void {
  auto& dispatcher = step.dispatcher;
  const auto peers = ReachableZonePeers(dispatcher.membership, step.now.boot);
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
               StragglerWeight(dispatcher.outlier_detector, it.id, step.now);
  }
}

auto ResetSilentConnections(Step& step) -> void {
  auto& membership = step.dispatcher.membership;
  for (const auto index :
       TakeUnresponsiveConnections(membership, step.now.boot)) {
    const auto& peer = membership.peers[index];
    Log(LogLevel::kWarning, "peer_connection_silent",
        {{"peer", peer.name}, {"address", ToString(peer.address)}});
    step.out.peers.emplace_back(ResetPeerConnection{.to = peer.address});
  }
}

}  // namespace

auto TendMembership(Step& step) -> void {
  auto& dispatcher = step.dispatcher;
  if (step.now.boot >= dispatcher.next_list_poll) {
    dispatcher.next_list_poll =
        step.now.boot + dispatcher.settings.list_poll_interval;
    PollList(step);
  }
  if (step.now.boot >= dispatcher.next_share) {
    dispatcher.next_share = step.now.boot + kShareInterval;
    ShareFleet(step);
    DropEndedMembers(step);
    ShareQuotas(step);
    ShareTableWrites(step);
    ResetSilentConnections(step);
  }
  SendHeartbeats(step);
}

auto AnnounceStop(Step& step) -> void {
  for (auto& it : step.dispatcher.membership.peers) {
    it.next_heartbeat = step.now.boot;
  }
  SendHeartbeats(step);
}

auto OnHeartbeat(Step& step, Incarnation from, const Heartbeat& heartbeat)
    -> void {
  auto& dispatcher = step.dispatcher;
  ++dispatcher.counters.heartbeats_received;
  const auto is_new = FindPeer(dispatcher.membership, from) == nullptr;
  const auto replaced =
      ApplyHeartbeat(dispatcher.membership, from, heartbeat, step.now.boot);
  if (replaced) {
    Log(LogLevel::kInfo, "instance_replaced",
        {{"peer", heartbeat.instance},
         {"old", ToString(*replaced)},
         {"new", ToString(from)}});
  }
  if (const auto* peer = FindPeer(dispatcher.membership, from)) {
    if (is_new && IsListFresh(dispatcher.membership, step.now.boot)) {
      UpdateQuotaRoster(step);
    }
    NotePeerVersion(step, *peer, heartbeat.configuration_version);
    TakeQuotaReport(step, *peer, heartbeat);
    for (const auto& it : heartbeat.verdicts) {
      TakeVerdict(step, ToString(from), it);
    }
    if (peer->stopped) {
      AskRecordsInstead(step, from);
    }
  }
}

}  // namespace boragecroft
