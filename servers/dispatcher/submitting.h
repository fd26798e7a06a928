// Serves requests of callers about jobs of this instance, and passes on
// requests about other jobs.
#ifndef SERVERS_DISPATCHER_SUBMITTING_H_
#define SERVERS_DISPATCHER_SUBMITTING_H_

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Answers a request about an id that this instance minted, or about one that a
// stopped instance handed over to it.
auto ServeOwnRequest(EventContext& context, const CallerRequest& request)
    -> void;

// Returns the id that a call is about; the default id for a mint request.
auto IdOf(const CallerCall& call) -> JobId;
auto PartnerOf(const CallerCall& call) -> const std::string&;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_SUBMITTING_H_
