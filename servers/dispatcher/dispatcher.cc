#include "servers/dispatcher/dispatcher.h"

#include <algorithm>
#include <utility>

#include "servers/dispatcher/admitting.h"
#include "servers/dispatcher/configuration_flow.h"
#include "servers/dispatcher/draining.h"
#include "servers/dispatcher/job_table.h"
#include "servers/dispatcher/membership_flow.h"
#include "servers/dispatcher/owner_routing.h"
#include "servers/dispatcher/quota_flow.h"
#include "servers/dispatcher/record_flow.h"
#include "servers/dispatcher/task_flow.h"

namespace boragecroft {
namespace {

constexpr milliseconds kTickInterval{10};

auto MakeRow(const DispatcherSettings& settings,
             Incarnation self,
             const Now& now) -> IncarnationRow {
  IncarnationRow row;
  row.incarnation = self;
  row.instance = settings.instance;
  row.zone = settings.zone;
  row.address = ToString(settings.peer_address);
  row.started = now.wall;
  row.operation_id = ToString(self) + "-open";
  return row;
}

auto MakeMembership(const DispatcherSettings& settings,
                    Incarnation self,
                    const Now& now) -> Membership {
  Membership membership;
  membership.settings = settings.membership;
  membership.name = settings.instance;
  membership.zone = settings.zone;
  membership.address = settings.peer_address;
  membership.self = self;
  membership.started = now.boot;
  AddSeedPeers(membership, settings.seed_peers, now.boot);
  return membership;
}

auto IsFailure(const PlatformOutcome& outcome) -> bool {
  if (const auto* table = std::get_if<TableOutcome>(&outcome.result)) {
    return table->kind == TableOutcomeKind::kUnavailable ||
           table->kind == TableOutcomeKind::kUnknown;
  }
  return std::holds_alternative<PlatformError>(outcome.result);
}

auto HandlePeerMessage(EventContext& context,
                       Incarnation from,
                       Heartbeat& heartbeat) -> void {
  OnHeartbeat(context, from, heartbeat);
}

auto HandlePeerMessage(EventContext& context,
                       Incarnation from,
                       RelayRequest& request) -> void {
  OnRelayRequest(context, from, std::move(request));
}

auto HandlePeerMessage(EventContext& context,
                       Incarnation from,
                       RelayReply& reply) -> void {
  OnRelayReply(context, from, std::move(reply));
}

auto HandlePeerMessage(EventContext& context,
                       Incarnation from,
                       ConfigurationRequest& request) -> void {
  OnConfigurationRequest(context, from, request);
}

auto HandlePeerMessage(EventContext& context,
                       Incarnation from,
                       ConfigurationTransfer& transfer) -> void {
  OnConfigurationTransfer(context, from, transfer);
}

auto HasSlots(const Fleet& fleet) -> bool {
  return std::any_of(
      fleet.workers.begin(), fleet.workers.end(),
      [](const FleetWorker& it) { return it.allotted_slots > 0; });
}

}  // namespace

auto InForce(const Dispatcher& dispatcher) -> const Configuration* {
  const auto& in_force = dispatcher.configuration.in_force;
  return in_force == nullptr ? nullptr : &in_force->configuration;
}

auto MakeDispatcher(DispatcherSettings settings,
                    Incarnation self,
                    uint64_t seed,
                    const Now& now) -> std::unique_ptr<Dispatcher> {
  auto dispatcher = std::make_unique<Dispatcher>();
  dispatcher->self = self;
  dispatcher->started = now;
  dispatcher->quota_state.roster.self = self;
  dispatcher->random.seed(seed);
  // Relay numbers of an earlier incarnation at this address must not occur
  // again, so the first number is random.
  dispatcher->next_relay = dispatcher->random();
  dispatcher->mint.incarnation = self;
  dispatcher->mint.started = now;
  dispatcher->mint.newest_minted = now.wall;
  dispatcher->ledger =
      MakeLedgerWriter(settings.ledger, MakeRow(settings, self, now), now);
  dispatcher->membership = MakeMembership(settings, self, now);
  std::vector<std::string> sources;
  for (const auto& it : settings.seed_peers) {
    sources.push_back(ToString(it));
  }
  dispatcher->configuration =
      StartConfiguration(settings.configuration, sources, now);
  dispatcher->next_configuration_poll = now.boot;
  dispatcher->next_list_poll = now.boot;
  dispatcher->next_share_update = now.boot;
  dispatcher->last_tick = now.boot;
  dispatcher->settings = std::move(settings);
  return dispatcher;
}

auto OnPeerMessage(EventContext& context, PeerMessage message) -> void {
  std::visit(
      [&](auto& body) { HandlePeerMessage(context, message.from, body); },
      message.body);
}

auto OnPlatformOutcome(EventContext& context, PlatformOutcome outcome) -> void {
  auto& dispatcher = context.dispatcher;
  const auto it = dispatcher.platform_calls.find(outcome.token);
  if (it == dispatcher.platform_calls.end()) {
    return;
  }
  if (IsFailure(outcome)) {
    ++dispatcher.counters.platform_failures;
  }
  const auto continuation = std::move(it->second);
  dispatcher.platform_calls.erase(it);
  continuation(context, outcome);
}

auto Advance(EventContext& context) -> void {
  auto& dispatcher = context.dispatcher;
  // Leases and the configuration are updated before any task is started,
  // because this may be the first call after a pause of the process.
  if (context.now.boot - dispatcher.last_tick >= kTickInterval) {
    dispatcher.last_tick = context.now.boot;
    AdvanceConfiguration(context);
    AdvanceMembership(context);
    ExpireJobs(context);
    ExpireRelays(context);
    DropExpiredRefusals(context);
    ReleaseUnrecordedJobs(context);
    AdvanceAttempts(context);
    AdvanceDrain(context);
    DropSettled(dispatcher.mint,
                RecordedThrough(dispatcher.ledger, context.now), context.now);
  }
  StartTasks(context);
  FlushLedger(context);
}

auto MakeCallerView(const Dispatcher& dispatcher, const Now& now)
    -> std::shared_ptr<const CallerView> {
  auto view = std::make_shared<CallerView>();
  const auto& in_force = dispatcher.configuration.in_force;
  if (in_force != nullptr) {
    view->configuration = std::shared_ptr<const Configuration>(
        in_force, &in_force->configuration);
  }
  view->ready =
      !dispatcher.fenced && dispatcher.drain == DrainPhase::kServing &&
      !dispatcher.membership.leaving_by_list &&
      ReadyToServe(dispatcher.configuration, now) &&
      HasSlots(dispatcher.fleet) && MayServeQuotas(dispatcher, now.boot);
  return view;
}

}  // namespace boragecroft
