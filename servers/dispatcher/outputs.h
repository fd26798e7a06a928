// What the decisions ask the other duty threads to do.
#ifndef SERVERS_DISPATCHER_OUTPUTS_H_
#define SERVERS_DISPATCHER_OUTPUTS_H_

#include <vector>

#include "peers/endpoint/endpoint_messages.h"
#include "peers/platform/platform_messages.h"
#include "servers/dispatcher/caller_messages.h"
#include "servers/dispatcher/operator_messages.h"
#include "servers/dispatcher/peer_messages.h"

namespace boragecroft {

// In order; each list goes to the thread of its peer.
struct Outputs {
  std::vector<CallerReply> callers;
  std::vector<EndpointCommand> endpoints;
  std::vector<PeerCommand> peers;
  std::vector<PlatformCommand> platform;
  std::vector<OperatorReply> operators;
};

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_OUTPUTS_H_
