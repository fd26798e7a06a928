#include "main/entry/succession_flow.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/log/log.h"
#include "main/entry/cancel_flow.h"
#include "main/entry/entry_instance.h"
#include "main/entry/group_flow.h"
#include "main/entry/job_flow.h"
#include "main/entry/peer_flow.h"
#include "main/entry/store_flow.h"
#include "main/entry/suspension.h"
#include "platform/group_rows.h"

namespace boragecroft {
namespace {

// Each holder has a connection from every other instance: 1,025 fit into a
// third of the smallest machine's 3,075 descriptors.
auto MaxInstanceConnections(size_t descriptors) -> size_t {
  return std::min(kDefaultMaxLinks, descriptors / 3);
}

// Time after the start in which the store may deliver the rows of the groups
// before a peer is asked for a snapshot.
constexpr milliseconds kSnapshotRequestDelay{800};
// Interval after which an unanswered request for a snapshot is sent again.
constexpr milliseconds kSnapshotRetryInterval{2000};
// Groups whose jobs have not ended this long after their release began are
// released together with these jobs.
constexpr milliseconds kMaxReleaseTime{1300};

auto ResultOf(const Result<uint64_t, platform::StoreError>& result)
    -> RowWrite {
  if (result.has_value()) {
    return RowWrite::kWritten;
  }
  return result.error().fault == platform::StoreFault::kConflict
             ? RowWrite::kConflict
             : RowWrite::kUnknown;
}

auto Execute(EntryState& state, const WriteGroupRow& command) -> void {
  state.store->Replace(
      platform::EncodeGroupRow(command.row),
      [&state,
       row = command.row](Result<uint64_t, platform::StoreError> result) {
        HandleSuspension(state, BootClock::now());
        if (result.has_error()) {
          Log(LogLevel::kInfo, "group_row_not_written",
              {{"group", row.group}, {"reason", result.error().reason}});
        }
        SuccessionCommands commands;
        OnRowWritten(state.succession, row, ResultOf(result),
                     result.has_value() ? result.value() : 0, BootClock::now(),
                     commands);
        RunSuccessionCommands(state, commands);
        ArmDueTimer(state);
      });
}

auto Execute(EntryState& state, const BeginHolding& command) -> void {
  BeginGroup(state, command.group, command.token);
  FollowWorkersIfNeeded(state, BootClock::now());
  ReadWorkersNow(state);
  state.link->Broadcast(HolderAnnouncement{
      .group = command.group,
      .holder = {.instance = state.self, .token = command.token}});
}

auto Execute(EntryState& state, const EndHolding& command) -> void {
  EndGroup(state, command.group);
}

auto Execute(EntryState& state, const YieldGroup& command) -> void {
  if (!state.yielding_since.try_emplace(command.group, BootClock::now())
           .second) {
    return;
  }
  Log(LogLevel::kInfo, "group_yielded", {{"group", command.group}});
  state.metrics.CountEvent("group_yielded");
  state.schedulers.at(command.group).leaving = true;
}

auto Execute(EntryState& state, const ReportSharedToken& command) -> void {
  Log(LogLevel::kError, "token_shared",
      {{"group", command.group},
       {"token", command.known.token},
       {"holder", command.known.instance.name},
       {"rival", command.rival.name}});
  state.metrics.CountEvent("token_shared");
  for (const auto& it : {command.known.instance, command.rival}) {
    state.link->Broadcast(HolderAnnouncement{
        .group = command.group,
        .holder = {.instance = it, .token = command.known.token}});
  }
}

// Marks the holder of a group as terminated when another incarnation answers at
// its address.
auto MarkReplacedHolders(EntryState& state, LinkId link) -> void {
  const auto& peer = state.peers.at(link);
  for (auto& [group, term] : state.succession.groups) {
    if (!term.holder || term.holder->instance.address != peer.peer.address) {
      continue;
    }
    if (term.holder->instance.incarnation != peer.peer.incarnation) {
      SetHolderStatus(state, peer.peer.address, HolderStatus::kTerminated);
    }
  }
}

auto OnOpen(EntryState& state,
            LinkId link,
            const InstanceRef& peer,
            bool opened) -> void {
  state.peers[link] = PeerLink{.peer = peer, .opened = opened};
  if (!opened) {
    state.succession.connected[peer.address] = peer;
    return;
  }
  SetHolderStatus(state, peer.address, HolderStatus::kReachable);
  MarkReplacedHolders(state, link);
  state.link->Send(link, MakeHeartbeat(state, false));
}

// Returns whether the process has a connection open that it opened itself.
auto HasConnectionFrom(const EntryState& state, const InstanceRef& process)
    -> bool {
  return std::any_of(state.peers.begin(), state.peers.end(),
                     [&](const auto& it) {
                       return !it.second.opened && it.second.peer == process;
                     });
}

auto OnEnd(EntryState& state, LinkId link, LinkEnd end, Instant lost_at)
    -> void {
  const auto it = state.peers.find(link);
  if (it == state.peers.end()) {
    return;
  }
  const auto peer = it->second;
  state.peers.erase(it);
  Log(LogLevel::kInfo, "instance_lost",
      {{"peer", peer.peer.name},
       {"opened_here", peer.opened},
       {"silent", end == LinkEnd::kUnresponsive}});
  for (auto& [group, scheduler] : state.schedulers) {
    OnOriginLost(scheduler, link, lost_at);
  }
  CancelCommands commands;
  OnHolderLost(state.cancellations, link, commands);
  RunCancelCommands(state, commands);
  if (peer.opened) {
    SetHolderStatus(state, peer.peer.address, HolderStatus::kUnresponsive);
    RefreshViewsOf(state, peer.peer.address);
    state.link->Connect(peer.peer.address);
  } else if (!HasConnectionFrom(state, peer.peer)) {
    const auto known = state.succession.connected.find(peer.peer.address);
    if (known != state.succession.connected.end() &&
        known->second == peer.peer) {
      state.succession.connected.erase(known);
    }
  }
}

auto OnConnectFailed(EntryState& state,
                     const Address& address,
                     ConnectFailure failure) -> void {
  SetHolderStatus(state, address,
                  failure == ConnectFailure::kRefused
                      ? HolderStatus::kTerminated
                      : HolderStatus::kUnresponsive);
}

// Requests a snapshot from the seed instances while the rows of the groups are
// not known.
auto RequestSnapshotFromSeeds(EntryState& state, Instant now) -> void {
  if (state.succession.rows_known ||
      now - state.succession.started < kSnapshotRequestDelay) {
    return;
  }
  std::vector<LinkId> connected;
  for (const auto& seed : state.settings.seeds) {
    if (seed == state.self.address) {
      continue;
    }
    const auto id = state.link->LinkTo(seed);
    if (id == 0) {
      state.link->Connect(seed);
    } else {
      connected.push_back(id);
    }
  }
  if (connected.empty() ||
      now - state.snapshot_requested_at < kSnapshotRetryInterval) {
    return;
  }
  // One at a time: several copies would share this instance's link.
  state.snapshot_requested_at = now;
  const auto id = connected[state.snapshot_requests++ % connected.size()];
  state.link->Send(id, SnapshotRequest{});
}

// Returns since when the group is being released; empty when it is kept.
auto ReleasingSince(const EntryState& state, const std::string& group)
    -> std::optional<Instant> {
  const auto it = state.yielding_since.find(group);
  return it == state.yielding_since.end() ? state.draining_since : it->second;
}

}  // namespace

auto RunSuccessionCommands(EntryState& state,
                           const SuccessionCommands& commands) -> void {
  for (const auto& it : commands) {
    std::visit([&](const auto& command) { Execute(state, command); }, it);
  }
}

auto MaintainInstanceLinks(EntryState& state, Instant now) -> void {
  std::set<Address> holders;
  for (const auto& [group, term] : state.succession.groups) {
    if (term.holder && !term.held) {
      holders.insert(term.holder->instance.address);
    }
  }
  for (const auto& it : holders) {
    if (it != state.self.address && state.link->LinkTo(it) == 0) {
      state.link->Connect(it);
    }
  }
  RequestSnapshotFromSeeds(state, now);
  state.link->SendHeartbeats(MakeHeartbeat(state, false));
}

auto ListenForInstances(EntryState& state) -> Result<void, std::string> {
  HandoverLinkCallbacks callbacks;
  callbacks.on_open = [&state](LinkId link, const InstanceRef& peer,
                               bool opened) {
    HandleSuspension(state, BootClock::now());
    if (state.link->LastHeard(link)) {
      OnOpen(state, link, peer, opened);
    }
    ArmDueTimer(state);
  };
  callbacks.on_message = [&state](LinkId link, HandoverMessage message) {
    HandleSuspension(state, BootClock::now());
    if (state.peers.contains(link)) {
      OnPeerMessage(state, link, std::move(message));
      ArmDueTimer(state);
    }
  };
  callbacks.on_end = [&state](LinkId link, LinkEnd end, Instant lost_at) {
    HandleSuspension(state, BootClock::now());
    OnEnd(state, link, end, lost_at);
    ArmDueTimer(state);
  };
  callbacks.on_connect_failed = [&state](const Address& address,
                                         ConnectFailure failure) {
    HandleSuspension(state, BootClock::now());
    OnConnectFailed(state, address, failure);
    ArmDueTimer(state);
  };
  auto link = HandoverLink::Listen(
      state.context, state.self, std::move(callbacks),
      state.settings.advertised,
      MaxInstanceConnections(state.settings.max_descriptors));
  if (link.has_error()) {
    return link.error();
  }
  state.link = std::move(link).value();
  return success();
}

auto ReleaseGroups(EntryState& state, Instant now) -> void {
  HeartbeatMessage released = MakeHeartbeat(state, true);
  std::vector<std::string> groups;
  for (auto& it : released.groups) {
    const auto& scheduler = state.schedulers.at(it.group);
    const auto since = ReleasingSince(state, it.group);
    if (since && (scheduler.jobs.empty() || now - *since >= kMaxReleaseTime)) {
      it.leaving = true;
      it.ready = false;
      groups.push_back(it.group);
    }
  }
  if (groups.empty()) {
    return;
  }
  state.link->Broadcast(released);
  for (const auto& group : groups) {
    OnReleased(state.succession, group, now);
    EndGroup(state, group);
  }
}

}  // namespace boragecroft
