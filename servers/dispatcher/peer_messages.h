// Defines the messages that instances exchange.
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

// Number of tasks queued and in progress on one instance, for one service or
// one team.
struct Demand {
  std::string name;
  uint32_t tasks = 0;
};

// A worker that the sender ejected for one kind of work, or for all kinds when
// `kind` is empty.
struct WorkerEjection {
  std::string worker;
  std::string incarnation;  // of the endpoint, as in the platform's list
  std::string service;
  std::string kind;
  uint64_t sequence = 0;
};

struct Heartbeat {
  std::string instance;
  std::string zone;
  Address address;
  // Start of the sender's process: shows which of two incarnations at one
  // address is newer.
  WallTime started;
  uint64_t sequence = 0;
  uint64_t configuration_version = 0;
  bool leaving = false;
  // The sender's last heartbeat: it starts and answers nothing more.
  bool stopped = false;
  std::vector<Demand> service_demands;
  // Demands of the teams: in the order of the sender's configuration when the
  // receiver knows the same teams, otherwise by name.
  uint32_t teams_digest = 0;  // digest of all team names, in order
  std::vector<uint32_t> team_tasks;
  std::vector<Demand> team_demands;
  // Quotas: the roster that the sender promised, whether the sender uses its
  // part of it, and what the sender lends to the receiver.
  uint64_t roster_digest = 0;
  bool quota_claims = false;
  std::vector<Demand> quota_leases;
  std::vector<WorkerEjection> verdicts;
  // The last heartbeat that the sender received from the receiver. It shows the
  // receiver whether its own heartbeats arrive.
  Incarnation echo_incarnation;
  uint64_t echo_sequence = 0;
};

// A caller's request about a job that the receiver owns. Mint requests are
// never relayed.
struct RelayRequest {
  uint64_t number = 0;
  CallerCall call;
};

// Reply to the relayed request with the same number. Mint replies are never
// relayed.
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

// A command that sends a message to an instance.
struct SendToPeer {
  Address to;
  PeerMessage message;
};

// A command that closes the connection to an instance, so that the next message
// opens a new one.
struct ResetPeerConnection {
  Address to;
};

using PeerCommand = std::variant<SendToPeer, ResetPeerConnection>;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_PEER_MESSAGES_H_
