// What instances say to each other.
#ifndef SERVERS_DISPATCHER_PEER_MESSAGES_H_
#define SERVERS_DISPATCHER_PEER_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "core/base/address.h"
#include "core/base/ids.h"
#include "servers/dispatcher/caller_messages.h"

namespace boragecroft {

// Tasks queued and in progress of one service or one team on one instance.
struct Demand {
  std::string name;
  uint32_t tasks = 0;
};

// A worker that the sender put aside for one kind of work, or for all when
// `kind` is empty.
struct WorkerEjection {
  std::string worker;
  std::string incarnation;  // of the endpoint, as the platform's list names it
  std::string service;
  std::string kind;
  uint64_t sequence = 0;
};

struct Heartbeat {
  std::string instance;
  std::string zone;
  Address address;
  WallTime started;  // of the sender's process: tells which of two incarnations
                     // at one address is the newer
  uint64_t sequence = 0;
  uint64_t configuration_version = 0;
  bool leaving = false;
  bool stopped = false;  // the last one: the sender starts and answers nothing
                         // any more
  std::vector<Demand> service_demands;
  // Demands of the teams: in the order of the sender's configuration when the
  // receiver knows the same teams, else by name.
  uint32_t teams_digest = 0;  // of the names of all teams, in order
  std::vector<uint32_t> team_tasks;
  std::vector<Demand> team_demands;
  // Quotas: the roster that the sender promised, whether it uses its part of
  // it, and what it lends to the receiver.
  uint64_t roster_digest = 0;
  bool quota_claims = false;
  std::vector<Demand> quota_leases;
  std::vector<WorkerEjection> verdicts;
  // The last heartbeat that the sender heard from the receiver: shows the
  // receiver whether its own arrive.
  Incarnation echo_incarnation;
  uint64_t echo_sequence = 0;
};

// A caller's request about a job that the receiver owns. Mint requests are
// never relayed.
struct RelayRequest {
  uint64_t number = 0;
  CallerCall call;
};

// The number is that of the request. Mint replies are never relayed.
struct RelayReply {
  uint64_t number = 0;
  CallerReplyBody body;
};

struct ConfigurationRequest {
  uint64_t known_version = 0;
};

struct ConfigurationTransfer {
  uint64_t version = 0;
  std::string document;
};

using PeerMessageBody = std::variant<Heartbeat,
                                     RelayRequest,
                                     RelayReply,
                                     ConfigurationRequest,
                                     ConfigurationTransfer>;

struct PeerMessage {
  Incarnation from;
  PeerMessageBody body;
};

// Sends a message to an instance.
struct SendToPeer {
  Address to;
  PeerMessage message;
};

// Ends the connection to an instance, so that the next message opens a new one.
struct ResetPeerConnection {
  Address to;
};

using PeerCommand = std::variant<SendToPeer, ResetPeerConnection>;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_PEER_MESSAGES_H_
