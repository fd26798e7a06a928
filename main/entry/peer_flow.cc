#include "main/entry/peer_flow.h"

#include <algorithm>
#include <utility>

#include "main/entry/cancel_flow.h"
#include "main/entry/evacuation_flow.h"
#include "main/entry/group_flow.h"
#include "main/entry/job_flow.h"
#include "main/entry/store_flow.h"
#include "main/entry/succession_flow.h"

namespace boragecroft {
namespace {

// Applies the group statuses that a peer reported: records terms that are newer
// than the known ones. For the groups whose known holder is this peer, marks
// the peer as terminated when it released the group and as unresponsive when it
// no longer lists it.
auto ApplyGroupStatuses(EntryState& state, LinkId link) -> void {
  const auto peer = state.peers.at(link);
  const auto now = BootClock::now();
  for (const auto& it : peer.groups) {
    SuccessionCommands commands;
    OnAnnounced(state.succession, it.group,
                Successor{.instance = peer.peer, .token = it.token}, now,
                commands);
    RunSuccessionCommands(state, commands);
  }
  for (const auto& known : state.succession.groups) {
    const auto& holder = known.second.holder;
    if (!holder || !(holder->instance == peer.peer)) {
      continue;
    }
    const auto listed = std::find_if(
        peer.groups.begin(), peer.groups.end(),
        [&](const GroupStatus& it) { return it.group == known.first; });
    const auto released =
        listed != peer.groups.end() && listed->leaving && !listed->ready;
    if (released) {
      SetHolderStatus(state, peer.peer.address, HolderStatus::kTerminated);
    } else if (listed == peer.groups.end()) {
      SetHolderStatus(state, peer.peer.address, HolderStatus::kUnresponsive);
    } else {
      SetHolderStatus(state, peer.peer.address, HolderStatus::kReachable);
    }
  }
}

auto Handle(EntryState& state, LinkId link, CancelRequest& message) -> void {
  OnPeerCancel(state, link, message);
}

auto Handle(EntryState& state, LinkId link, CancelReply& message) -> void {
  CancelCommands commands;
  OnCancelConfirmed(state.cancellations, link, message.number, message.found,
                    commands);
  RunCancelCommands(state, commands);
}

auto Handle(EntryState& /*state*/, LinkId /*link*/, HelloMessage& /*message*/)
    -> void {}

auto Handle(EntryState& state, LinkId link, HeartbeatMessage& message) -> void {
  // First, so that neither the groups of this message nor later offers on the
  // connection are handled without the evacuations that the peer knows.
  for (const auto& it : message.evacuations) {
    OnEvacuationRecord(state, it, EvacuationSource::kPeer);
  }
  auto& peer = state.peers.at(link);
  if (ShouldRequestRoutes(state.routes_refresh, state.routes.version,
                          message.configuration_version, BootClock::now())) {
    state.link->Send(link,
                     RoutesRequest{.known_version = state.routes.version});
  }
  if (!message.reply) {
    state.link->Send(link, MakeHeartbeat(state, true));
    return;
  }
  peer.groups = std::move(message.groups);
  const auto address = peer.peer.address;
  ApplyGroupStatuses(state, link);
  RefreshViewsOf(state, address);
}

auto Handle(EntryState& state, LinkId link, OfferMessage& message) -> void {
  const auto name = message.offer.name;
  if (IsCancelled(state.cancellations, name, BootClock::now())) {
    ResultMessage reply;
    reply.result = {.name = name,
                    .outcome = JobOutcome::kCancelled,
                    .submission = message.offer.submission};
    reply.status = StatusOf(state, message.group);
    state.link->Send(link, reply);
    return;
  }
  const auto held_group = state.schedulers.find(message.group);
  if (held_group == state.schedulers.end()) {
    // The next heartbeat tells the sender which instance holds the group.
    const auto outcome = message.offer.may_run_elsewhere ? JobOutcome::kStopped
                                                         : JobOutcome::kRefused;
    ResultMessage reply;
    reply.result = {.name = message.offer.name,
                    .outcome = outcome,
                    .submission = message.offer.submission};
    reply.status.group = message.group;
    state.link->Send(link, reply);
    return;
  }
  SchedulerCommands commands;
  OnOffer(held_group->second, link, std::move(message.offer), BootClock::now(),
          commands);
  RunSchedulerCommands(state, message.group, commands);
}

auto Handle(EntryState& state, LinkId link, CancelMessage& message) -> void {
  const auto held_group = state.schedulers.find(message.group);
  if (held_group == state.schedulers.end()) {
    return;
  }
  SchedulerCommands commands;
  OnCancel(held_group->second, link, message.job, BootClock::now(), commands);
  RunSchedulerCommands(state, message.group, commands);
}

auto Handle(EntryState& state, LinkId link, ResultMessage& message) -> void {
  auto& peer = state.peers.at(link);
  const auto token =
      state.succession.groups[message.status.group].holder
          ? state.succession.groups[message.status.group].holder->token
          : 0;
  for (auto& it : peer.groups) {
    if (it.group == message.status.group && it.token == message.status.token) {
      it = message.status;
    }
  }
  RefreshGroupView(state, message.status.group);
  IntakeCommands commands;
  OnResult(state.intake, message.status.group, token, message.result,
           BootClock::now(), commands);
  RunIntakeCommands(state, commands);
}

auto Handle(EntryState& state, LinkId link, RoutesRequest& message) -> void {
  if (state.routes.version > message.known_version) {
    state.link->Send(link, RoutesTransfer{.version = state.routes.version,
                                          .document = state.routes_document});
  }
}

auto Handle(EntryState& state, LinkId /*link*/, RoutesTransfer& message)
    -> void {
  AdoptConfiguration(state, message.document);
}

auto Handle(EntryState& state, LinkId link, SnapshotRequest& /*message*/)
    -> void {
  if (state.succession.rows_known) {
    state.link->Send(link, MakeSnapshot(state));
  }
}

auto Handle(EntryState& state, LinkId /*link*/, SnapshotTransfer& message)
    -> void {
  ApplySnapshot(state, message);
}

auto Handle(EntryState& state, LinkId /*link*/, HolderAnnouncement& message)
    -> void {
  const auto& term = state.succession.groups[message.group];
  const auto newer = !term.holder || message.holder.token > term.holder->token;
  SuccessionCommands commands;
  OnAnnounced(state.succession, message.group, message.holder, BootClock::now(),
              commands);
  RunSuccessionCommands(state, commands);
  if (!newer) {
    return;
  }
  state.link->Connect(message.holder.instance.address);
  state.link->Broadcast(message);
}

}  // namespace

auto OnPeerMessage(EntryState& state, LinkId link, HandoverMessage message)
    -> void {
  std::visit([&](auto& it) { Handle(state, link, it); }, message);
}

auto MakeHeartbeat(const EntryState& state, bool reply) -> HeartbeatMessage {
  HeartbeatMessage out;
  out.configuration_version = state.routes.version;
  out.reply = reply;
  out.evacuations = ListEvacuations(state.evacuations);
  if (reply) {
    for (const auto& [group, scheduler] : state.schedulers) {
      out.groups.push_back(StatusOf(state, group));
    }
  }
  return out;
}

auto SetHolderStatus(EntryState& state,
                     const Address& holder,
                     HolderStatus status) -> void {
  OnHolderStatus(state.succession, holder, status, BootClock::now());
}

auto RefreshViewsOf(EntryState& state, const Address& holder) -> void {
  std::vector<std::string> groups;
  for (const auto& [group, term] : state.succession.groups) {
    if (term.holder && term.holder->instance.address == holder) {
      groups.push_back(group);
    }
  }
  for (const auto& group : groups) {
    RefreshGroupView(state, group);
  }
}

}  // namespace boragecroft
