// Requests of callers about jobs of this instance, and the choice of who
// answers the others.
#ifndef SERVERS_DISPATCHER_SUBMITTING_H_
#define SERVERS_DISPATCHER_SUBMITTING_H_

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Answers a request about an id of this instance's own, or one that a stopped
// instance handed over to it.
auto ServeOwnRequest(EventContext& context, const CallerRequest& request)
    -> void;

// The id that a call is about; a mint request has none.
auto IdOf(const CallerCall& call) -> JobId;
auto PartnerOf(const CallerCall& call) -> const std::string&;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_SUBMITTING_H_
