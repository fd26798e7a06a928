// What instances tell each other about jobs and groups of workers.
#ifndef PEERS_HANDOVER_HANDOVER_MESSAGES_H_
#define PEERS_HANDOVER_HANDOVER_MESSAGES_H_

#include <string>
#include <variant>
#include <vector>

#include "servers/scheduling/scheduler.h"
#include "servers/succession/succession.h"

namespace boragecroft {

// First message of each side of a connection.
struct HelloMessage {
  InstanceRef sender;
};

struct GroupStatus {
  std::string group;
  uint64_t token = 0;
  bool leaving = false;
  bool ready = false;
  GroupLoad load;
};

// Sent at regular intervals by the side that opened the connection, and
// answered at once by the other.
struct HeartbeatMessage {
  uint64_t configuration_version = 0;
  std::vector<GroupStatus> groups;  // held by the sender
  bool reply = false;
};

struct OfferMessage {
  std::string group;
  JobOffer offer;
};

struct CancelMessage {
  std::string group;
  JobName job;
};

struct ResultMessage {
  JobResult result;
  GroupStatus status;  // of the group that had the job, after its end
};

struct RoutesRequest {
  uint64_t known_version = 0;
};

// The configuration as the store has it.
struct RoutesTransfer {
  uint64_t version = 0;
  std::string document;
};

// A process that starts without the store asks a peer for what it knows.
struct SnapshotRequest {};

struct SnapshotRow {
  std::string table;
  std::string part;
  std::string key;
  std::string value;
  uint64_t version = 0;
};

struct SnapshotTransfer {
  std::vector<SnapshotRow> rows;
};

// Who holds a group, told on when it was learned from a peer.
struct HolderAnnouncement {
  std::string group;
  Successor holder;
};

using HandoverMessage = std::variant<HelloMessage,
                                     HeartbeatMessage,
                                     OfferMessage,
                                     CancelMessage,
                                     ResultMessage,
                                     RoutesRequest,
                                     RoutesTransfer,
                                     SnapshotRequest,
                                     SnapshotTransfer,
                                     HolderAnnouncement>;

}  // namespace boragecroft

#endif  // PEERS_HANDOVER_HANDOVER_MESSAGES_H_
