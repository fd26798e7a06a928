// Defines the messages that instances send to each other about jobs and groups
// of workers.
#ifndef PEERS_HANDOVER_HANDOVER_MESSAGES_H_
#define PEERS_HANDOVER_HANDOVER_MESSAGES_H_

#include <string>
#include <variant>
#include <vector>

#include "servers/routing/evacuations.h"
#include "servers/scheduling/scheduler.h"
#include "servers/succession/succession.h"

namespace boragecroft {

// The first message that each side sends on a connection.
struct HelloMessage {
  InstanceRef sender;
};

// The state of one group of workers, as its holder reports it.
struct GroupStatus {
  std::string group;
  uint64_t token = 0;
  bool leaving = false;
  bool ready = false;
  GroupLoad load;
};

// Sent at regular intervals by the side that opened the connection. The other
// side replies immediately with a heartbeat of its own.
struct HeartbeatMessage {
  uint64_t configuration_version = 0;
  std::vector<GroupStatus> groups;  // the groups that the sender holds
  bool reply = false;
  std::vector<Evacuation> evacuations;  // all that the sender knows
};

// Hands a job over to the holder of a group.
struct OfferMessage {
  std::string group;
  JobOffer offer;
};

// Asks the holder of a group to cancel a job.
struct CancelMessage {
  std::string group;
  JobName job;
};

// Tells the holder of groups that a caller cancelled a job. The holder replies
// when it no longer starts tasks of the job.
struct CancelRequest {
  JobName job;
  uint64_t number = 0;  // copied to the reply
};

struct CancelReply {
  uint64_t number = 0;
  bool found = false;  // set when the holder had the job
};

// Reports the outcome of a job to its origin instance.
struct ResultMessage {
  JobResult result;
  GroupStatus status;  // of the group that ran the job, after the job ended
};

// Asks a peer for its configuration document if that is newer than
// `known_version`.
struct RoutesRequest {
  uint64_t known_version = 0;
};

// The configuration document with its version, as the store holds it.
struct RoutesTransfer {
  uint64_t version = 0;
  std::string document;
};

// Asks a peer for the rows that it knows. Sent by a process that starts while
// the store is unavailable.
struct SnapshotRequest {};

// One row of the store.
struct SnapshotRow {
  std::string table;
  std::string part;
  std::string key;
  std::string value;
  uint64_t version = 0;
};

// The rows that the sender knows.
struct SnapshotTransfer {
  std::vector<SnapshotRow> rows;
};

// Announces which instance holds a group, so that the receiver learns it from a
// peer and not only from the store.
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
                                     HolderAnnouncement,
                                     CancelRequest,
                                     CancelReply>;

}  // namespace boragecroft

#endif  // PEERS_HANDOVER_HANDOVER_MESSAGES_H_
