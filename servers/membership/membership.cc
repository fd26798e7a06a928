#include "servers/membership/membership.h"

#include <algorithm>

namespace boragecroft {
namespace {

constexpr size_t kMaxEndedIncarnations = 4096;
constexpr size_t kMaxUnechoedHeartbeats = 32;
constexpr milliseconds kMaxClockDifference{2000};

auto FindByAddress(Membership& membership, const Address& address)
    -> PeerInstance* {
  const auto it = std::find_if(
      membership.peers.begin(), membership.peers.end(),
      [&](const PeerInstance& peer) { return peer.address == address; });
  return it == membership.peers.end() ? nullptr : &*it;
}

auto AddPeer(Membership& membership, const Address& address, Instant now)
    -> PeerInstance& {
  auto& peer = membership.peers.emplace_back();
  peer.address = address;
  peer.last_listed = now;
  peer.next_heartbeat = now;
  peer.echo_progress = now;
  return peer;
}

auto HasEnded(const Membership& membership, Incarnation incarnation) -> bool {
  return std::any_of(membership.ended.begin(), membership.ended.end(),
                     [&](const EndedIncarnation& it) {
                       return it.incarnation == incarnation;
                     });
}

auto RecordTermination(Membership& membership,
                       Incarnation incarnation,
                       Instant now) -> void {
  if (HasEnded(membership, incarnation)) {
    return;
  }
  if (membership.ended.size() >= kMaxEndedIncarnations) {
    membership.ended.erase(membership.ended.begin());
  }
  membership.ended.push_back(
      EndedIncarnation{.incarnation = incarnation, .since = now});
}

auto Replace(Membership& membership,
             PeerInstance& peer,
             Incarnation incarnation,
             Instant now) -> std::optional<Incarnation> {
  const auto old = peer.incarnation;
  peer.incarnation = incarnation;
  peer.received_sequence = 0;
  peer.echoed_sequence = 0;
  peer.unechoed.clear();
  peer.echoed_sent = Instant();
  peer.echo_progress = now;
  if (old.value == 0) {
    return std::nullopt;
  }
  RecordTermination(membership, old, now);
  return old;
}

auto RecordEcho(PeerInstance& peer, uint64_t sequence, Instant now) -> void {
  peer.echoed_sequence = sequence;
  peer.echo_progress = now;
  while (!peer.unechoed.empty() && peer.unechoed.front().sequence <= sequence) {
    peer.echoed_sent = peer.unechoed.front().sent;
    peer.unechoed.pop_front();
  }
}

// Reports whether the peer was neither listed nor heard from for so long that
// further heartbeats to it are useless.
auto IsRemovable(const Membership& membership,
                 const PeerInstance& peer,
                 Instant now) -> bool {
  const auto limit = membership.settings.dead_after;
  const auto not_received =
      !peer.last_received_at || now - *peer.last_received_at > limit;
  return !peer.listed && not_received && now - peer.last_listed > limit;
}

// Reports whether a heartbeat of another incarnation was received from each
// address where this incarnation, which had started by `started`, may be. The
// clocks of two instances may differ by kMaxClockDifference.
auto IsReplacedAtEveryAddress(const Membership& membership,
                              Incarnation incarnation,
                              WallTime started,
                              const Now& now) -> bool {
  const auto age = now.wall - started - kMaxClockDifference;
  return std::all_of(membership.peers.begin(), membership.peers.end(),
                     [&](const PeerInstance& it) {
                       return it.incarnation != incarnation &&
                              ((it.last_received_at &&
                                now.boot - *it.last_received_at < age) ||
                               IsRemovable(membership, it, now.boot));
                     });
}

}  // namespace

auto AddSeedPeers(Membership& membership,
                  const std::vector<Address>& seeds,
                  Instant now) -> void {
  for (const auto& it : seeds) {
    if (it != membership.address && FindByAddress(membership, it) == nullptr) {
      AddPeer(membership, it, now);
    }
  }
}

auto ApplyInstanceList(Membership& membership,
                       const std::vector<PlatformInstance>& list,
                       Instant now) -> void {
  const auto own = std::find_if(
      list.begin(), list.end(),
      [&](const PlatformInstance& it) { return it.name == membership.name; });
  if (own == list.end()) {
    return;
  }
  membership.list_applied = now;
  membership.leaving_by_list = own->leaving;
  for (auto& it : membership.peers) {
    it.listed = false;
  }
  for (const auto& it : list) {
    if (it.name == membership.name || it.address == membership.address) {
      continue;
    }
    auto* peer = FindByAddress(membership, it.address);
    auto& entry =
        peer != nullptr ? *peer : AddPeer(membership, it.address, now);
    entry.name = it.name;
    entry.zone = it.zone;
    entry.leaving = it.leaving;
    entry.listed = true;
    entry.last_listed = now;
  }
  std::erase_if(membership.peers, [&](const PeerInstance& it) {
    return IsRemovable(membership, it, now);
  });
}

auto ApplyHeartbeat(Membership& membership,
                    Incarnation from,
                    const Heartbeat& heartbeat,
                    Instant now) -> std::optional<Incarnation> {
  if (from == membership.self || heartbeat.address == membership.address ||
      HasEnded(membership, from)) {
    return std::nullopt;
  }
  auto* known = FindByAddress(membership, heartbeat.address);
  auto& peer =
      known != nullptr ? *known : AddPeer(membership, heartbeat.address, now);
  std::optional<Incarnation> replaced;
  if (peer.incarnation != from) {
    // A late heartbeat of an older process must not replace the living process.
    if (peer.incarnation.value != 0 && heartbeat.started <= peer.started) {
      return std::nullopt;
    }
    peer.started = heartbeat.started;
    replaced = Replace(membership, peer, from, now);
    // The new process does not know this instance yet, and may receive queries
    // about this instance's ids.
    peer.next_heartbeat = now;
  } else if (heartbeat.sequence <= peer.received_sequence) {
    return std::nullopt;
  }
  peer.name = heartbeat.instance;
  peer.zone = heartbeat.zone;
  peer.last_received_at = now;
  peer.received_sequence = heartbeat.sequence;
  peer.leaving = heartbeat.leaving;
  peer.stopped = heartbeat.stopped;
  if (peer.stopped) {
    RecordTermination(membership, from, now);
  }
  peer.configuration_version = heartbeat.configuration_version;
  peer.service_demands = heartbeat.service_demands;
  peer.teams_digest = heartbeat.teams_digest;
  if (heartbeat.echo_incarnation == membership.self &&
      heartbeat.echo_sequence > peer.echoed_sequence) {
    RecordEcho(peer, heartbeat.echo_sequence, now);
  }
  return replaced;
}

auto TakeDueHeartbeats(Membership& membership, Instant now)
    -> std::vector<size_t> {
  std::vector<size_t> due;
  for (size_t i = 0; i < membership.peers.size(); ++i) {
    auto& peer = membership.peers[i];
    if (now < peer.next_heartbeat) {
      continue;
    }
    const auto local = peer.zone.empty() || peer.zone == membership.zone;
    const auto& settings = membership.settings;
    peer.next_heartbeat = now + (local ? settings.zone_heartbeat_interval
                                       : settings.remote_heartbeat_interval);
    ++peer.sent_sequence;
    peer.unechoed.push_back(
        SentHeartbeat{.sequence = peer.sent_sequence, .sent = now});
    if (peer.unechoed.size() > kMaxUnechoedHeartbeats) {
      peer.unechoed.pop_front();
    }
    due.push_back(i);
  }
  return due;
}

auto TakeUnresponsiveConnections(Membership& membership, Instant now)
    -> std::vector<size_t> {
  std::vector<size_t> unresponsive;
  for (size_t i = 0; i < membership.peers.size(); ++i) {
    auto& peer = membership.peers[i];
    const auto local = peer.zone == membership.zone;
    const auto& settings = membership.settings;
    const auto limit =
        settings.unresponsive_after +
        (local ? milliseconds(0) : settings.remote_heartbeat_interval * 2);
    if (!peer.stopped && now - peer.echo_progress > limit) {
      peer.echo_progress = now;
      unresponsive.push_back(i);
    }
  }
  return unresponsive;
}

auto FindPeer(const Membership& membership, Incarnation incarnation)
    -> const PeerInstance* {
  const auto it = std::find_if(membership.peers.begin(), membership.peers.end(),
                               [&](const PeerInstance& peer) {
                                 return peer.incarnation == incarnation;
                               });
  return it == membership.peers.end() ? nullptr : &*it;
}

auto IsReachable(const Membership& membership,
                 const PeerInstance& peer,
                 Instant now) -> bool {
  if (!peer.last_received_at || peer.stopped) {
    return false;
  }
  const auto& settings = membership.settings;
  const auto local = peer.zone == membership.zone;
  const auto limit =
      settings.unresponsive_after +
      (local ? milliseconds(0) : settings.remote_heartbeat_interval);
  return now - *peer.last_received_at <= limit;
}

auto ReachableZonePeers(const Membership& membership, Instant now)
    -> std::vector<const PeerInstance*> {
  std::vector<const PeerInstance*> peers;
  for (const auto& it : membership.peers) {
    if (it.zone == membership.zone && !it.leaving &&
        IsReachable(membership, it, now)) {
      peers.push_back(&it);
    }
  }
  return peers;
}

auto IsTerminated(const Membership& membership,
                  Incarnation incarnation,
                  const RecordedInstance& recorded,
                  const Now& now) -> bool {
  const auto& [name, address, started] = recorded;
  if (HasEnded(membership, incarnation)) {
    return true;
  }
  if (name == membership.name || address == membership.address) {
    return incarnation != membership.self;
  }
  const auto limit = membership.settings.dead_after;
  const auto list_is_fresh =
      membership.list_applied && now.boot - *membership.list_applied < limit;
  const auto watched_long_enough = now.boot - membership.started > limit;
  if (name.empty()) {
    return list_is_fresh && watched_long_enough &&
           IsReplacedAtEveryAddress(membership, incarnation, started, now);
  }
  for (const auto& it : membership.peers) {
    if (it.address != address && it.name != name) {
      continue;
    }
    const auto received_recently =
        it.last_received_at && now.boot - *it.last_received_at < limit;
    if (received_recently && it.incarnation != incarnation &&
        it.started > started) {
      return true;
    }
    const auto listed = now.boot - it.last_listed < limit;
    return !received_recently && !listed && list_is_fresh &&
           watched_long_enough;
  }
  return list_is_fresh && watched_long_enough;
}

}  // namespace boragecroft
