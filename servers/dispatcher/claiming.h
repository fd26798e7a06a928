// Handles submissions under a key of the caller: the key is claimed in the
// platform's table before anything starts.
#ifndef SERVERS_DISPATCHER_CLAIMING_H_
#define SERVERS_DISPATCHER_CLAIMING_H_

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Claims the key of the submission for a new id, or finds the id that already
// belongs to the key, and serves the request under that id.
auto ClaimCallerKey(EventContext& context, CallerRequest request) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_CLAIMING_H_
