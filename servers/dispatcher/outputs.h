// Defines the commands that the dispatcher issues to the other event loop
// threads.
#ifndef SERVERS_DISPATCHER_OUTPUTS_H_
#define SERVERS_DISPATCHER_OUTPUTS_H_

#include <vector>

#include "peers/endpoint/endpoint_messages.h"
#include "peers/platform/platform_messages.h"
#include "servers/dispatcher/caller_messages.h"
#include "servers/dispatcher/operator_messages.h"
#include "servers/dispatcher/peer_messages.h"

namespace boragecroft {

// Commands in the order in which they were issued. Each list is passed to the
// thread that serves the peers of that kind.
struct Outputs {
  std::vector<CallerReply> callers;
  std::vector<EndpointCommand> endpoints;
  std::vector<PeerCommand> peers;
  std::vector<PlatformCommand> platform;
  std::vector<OperatorReply> operators;
};

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_OUTPUTS_H_
