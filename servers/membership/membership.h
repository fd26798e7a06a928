// Tracks which other instances exist, which of them are reachable now, and
// which incarnations have certainly terminated. The platform's list determines
// which instances exist; heartbeats determine which are reachable. Whether a
// task may start is never decided here.
#ifndef SERVERS_MEMBERSHIP_MEMBERSHIP_H_
#define SERVERS_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "core/base/address.h"
#include "core/base/clock.h"
#include "core/base/ids.h"
#include "servers/dispatcher/peer_messages.h"
#include "servers/model/worker.h"

namespace boragecroft {

struct MembershipSettings {
  milliseconds zone_heartbeat_interval{500};
  milliseconds remote_heartbeat_interval{
      4000};  // to instances in other availability zones
  milliseconds unresponsive_after{2000};  // time without heartbeats after which
                                          // a peer of the zone is unreachable
  // An instance that neither sent a heartbeat nor was listed for this long is
  // treated as terminated where records are concerned.
  milliseconds dead_after{30000};
};

// Time at which a heartbeat was sent.
struct SentHeartbeat {
  uint64_t sequence = 0;
  Instant sent;
};

struct PeerInstance {
  std::string name;  // empty until the list or a heartbeat names it
  std::string zone;
  Address address;
  Incarnation incarnation;  // zero until a heartbeat was received
  WallTime started;         // of that incarnation
  bool leaving = false;
  bool stopped = false;  // that incarnation reported that it has stopped
  bool listed = false;
  Instant last_listed;
  std::optional<Instant> last_received_at;
  Instant next_heartbeat;
  uint64_t sent_sequence = 0;
  uint64_t received_sequence = 0;
  // Newest heartbeat of this instance that the peer has confirmed.
  uint64_t echoed_sequence = 0;
  Instant echo_progress;  // time at which `echoed_sequence` last increased
  // Newest heartbeats that the peer has not confirmed.
  std::deque<SentHeartbeat> unechoed;
  Instant echoed_sent;  // time at which the newest confirmed heartbeat was sent
  uint64_t configuration_version = 0;
  std::vector<Demand> service_demands;
  uint32_t teams_digest = 0;  // digest of the teams that it knows
};

// Incarnation that reported that it has stopped, or that a newer one replaced
// at the same address.
struct EndedIncarnation {
  Incarnation incarnation;
  Instant since;
};

struct Membership {
  MembershipSettings settings;
  std::string name;
  std::string zone;
  Address address;
  Incarnation self;
  Instant started;
  // Time of the last list that named this instance.
  std::optional<Instant> list_applied;
  bool leaving_by_list = false;
  std::vector<PeerInstance> peers;
  std::vector<EndedIncarnation> ended;
};

auto AddSeedPeers(Membership& membership,
                  const std::vector<Address>& seeds,
                  Instant now) -> void;

// Applies the platform's list. Ignores a list that is empty or does not name
// this instance, because such a list is faulty or far behind.
auto ApplyInstanceList(Membership& membership,
                       const std::vector<PlatformInstance>& list,
                       Instant now) -> void;

// Applies a heartbeat. Returns the incarnation that the heartbeat shows to be
// replaced, if any. Ignores a heartbeat that was overtaken by a newer one of
// the same incarnation, and a heartbeat from an incarnation that has ended.
auto ApplyHeartbeat(Membership& membership,
                    Incarnation from,
                    const Heartbeat& heartbeat,
                    Instant now) -> std::optional<Incarnation>;

// Returns the indices of the peers that are due a heartbeat, and schedules the
// next heartbeat to each.
auto TakeDueHeartbeats(Membership& membership, Instant now)
    -> std::vector<size_t>;

// Returns the indices of peers that have not confirmed a heartbeat of this
// instance for too long. The connection to such a peer may have failed without
// a reset; if the connections in both directions have failed, no heartbeat of
// the peer is received either. Each peer is returned again after the same time.
auto TakeUnresponsiveConnections(Membership& membership, Instant now)
    -> std::vector<size_t>;

auto FindPeer(const Membership& membership, Incarnation incarnation)
    -> const PeerInstance*;
auto IsReachable(const Membership& membership,
                 const PeerInstance& peer,
                 Instant now) -> bool;

// Returns the peers of the own availability zone that are reachable and not
// leaving.
auto ReachableZonePeers(const Membership& membership, Instant now)
    -> std::vector<const PeerInstance*>;

// Data of an incarnation from the records. If the incarnation has no row, name
// and address are empty, and it started at `started` or earlier.
struct RecordedInstance {
  std::string name;
  Address address;
  WallTime started;
};

// Reports whether an incarnation has certainly terminated or is to be treated
// so in the records: it reported that it has stopped, a newer incarnation
// replaced it at its address, or neither the list nor a heartbeat has shown its
// instance for `dead_after`. An older incarnation at its address proves
// nothing, because this instance may not have received a heartbeat of the newer
// one yet. An incarnation without a row has no known address: it is terminated
// once a heartbeat of another incarnation was received, after it had started,
// from each address that it may have.
auto IsTerminated(const Membership& membership,
                  Incarnation incarnation,
                  const RecordedInstance& recorded,
                  const Now& now) -> bool;

}  // namespace boragecroft

#endif  // SERVERS_MEMBERSHIP_MEMBERSHIP_H_
