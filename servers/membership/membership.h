// Which other instances exist, which of them can be reached now, and which
// incarnations are certainly gone. The platform's list says who exists;
// heartbeats say who can be reached. Nothing here decides whether a task may
// start.
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
  milliseconds unresponsive_after{2000};  // missed heartbeats before a peer of
                                          // the zone counts as out of reach
  milliseconds dead_after{30000};  // unheard and unlisted for so long: gone for
                                   // good, as far as records go
};

// When a heartbeat was sent.
struct SentHeartbeat {
  uint64_t sequence = 0;
  Instant sent;
};

struct PeerInstance {
  std::string name;  // empty until the list or a heartbeat names it
  std::string zone;
  Address address;
  Incarnation incarnation;  // zero until heard
  WallTime started;         // of that incarnation
  bool leaving = false;
  bool stopped = false;  // that incarnation said that it has stopped
  bool listed = false;
  Instant last_listed;
  std::optional<Instant> last_received_at;
  Instant next_heartbeat;
  uint64_t sent_sequence = 0;
  uint64_t received_sequence = 0;
  uint64_t echoed_sequence =
      0;  // the newest of our heartbeats that the peer says it heard
  Instant echo_progress;  // when that last grew
  std::deque<SentHeartbeat>
      unechoed;         // the newest that the peer has not confirmed
  Instant echoed_sent;  // when the newest confirmed one was sent
  uint64_t configuration_version = 0;
  std::vector<Demand> service_demands;
  uint32_t teams_digest = 0;  // of the teams that it knows
};

// An incarnation that said that it has stopped, or that a newer one replaced at
// the same address.
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
  std::optional<Instant>
      list_applied;  // the last list that named this instance
  bool leaving_by_list = false;
  std::vector<PeerInstance> peers;
  std::vector<EndedIncarnation> ended;
};

auto AddSeedPeers(Membership& membership,
                  const std::vector<Address>& seeds,
                  Instant now) -> void;

// Takes the platform's list. An empty one, or one that does not name this
// instance, changes nothing: it is broken or far behind.
auto ApplyInstanceList(Membership& membership,
                       const std::vector<PlatformInstance>& list,
                       Instant now) -> void;

// Takes a heartbeat. Returns the incarnation that it shows to be replaced, if
// any. A heartbeat that was overtaken by a newer one of the same incarnation,
// or that comes from an incarnation that ended, changes nothing.
auto ApplyHeartbeat(Membership& membership,
                    Incarnation from,
                    const Heartbeat& heartbeat,
                    Instant now) -> std::optional<Incarnation>;

// Indices of the peers that are due a heartbeat; marks them as served.
auto TakeDueHeartbeats(Membership& membership, Instant now)
    -> std::vector<size_t>;

// Indices of peers that have not shown for too long that they hear this
// instance: the connection to them may have gone silent, and when both
// directions have, nothing is heard of them either. Each is reported again
// after as long a wait.
auto TakeUnresponsiveConnections(Membership& membership, Instant now)
    -> std::vector<size_t>;

auto FindPeer(const Membership& membership, Incarnation incarnation)
    -> const PeerInstance*;
auto IsReachable(const Membership& membership,
                 const PeerInstance& peer,
                 Instant now) -> bool;

// The peers of the own availability zone that can be reached and are not
// leaving.
auto ReachableZonePeers(const Membership& membership, Instant now)
    -> std::vector<const PeerInstance*>;

// What the records say of an incarnation. Without a row, name and address are
// empty, and it started at `started` or earlier.
struct RecordedInstance {
  std::string name;
  Address address;
  WallTime started;
};

// Whether an incarnation has certainly ended or will be treated so in the
// records: it said that it has stopped, a newer one stands at its address, or
// neither the list nor a heartbeat has shown its instance for `dead_after`. An
// older one at its address says nothing: this instance may not have heard the
// newer one yet. Without a row its address is unknown: it is gone once another
// one was heard, after it had started, at each address that it may have.
auto IsTerminated(const Membership& membership,
                  Incarnation incarnation,
                  const RecordedInstance& recorded,
                  const Now& now) -> bool;

}  // namespace boragecroft

#endif  // SERVERS_MEMBERSHIP_MEMBERSHIP_H_
