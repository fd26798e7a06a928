// Finds who answers a request about an id: this instance, the owner that can be
// reached, or the records of an owner that is gone. Never starts anything by
// itself.
#ifndef SERVERS_DISPATCHER_OWNER_ROUTING_H_
#define SERVERS_DISPATCHER_OWNER_ROUTING_H_

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Serves, relays or looks up a request about an id.
auto RouteRequest(EventContext& context, CallerRequest request) -> void;

// True when this instance took the submission under an id that another one
// minted before it stopped. The other ids of that one stay with its records:
// only they say which were never used.
auto IsInheritedJob(const Dispatcher& dispatcher, const JobId& id) -> bool;

// Answers a request from the records that hold the id.
auto LookUp(EventContext& context, CallerRequest request) -> void;

// The same from the ledger of a given incarnation: the id's own, or a
// successor, for which `trail` says what was read before.
auto LookUpInLedger(EventContext& context,
                    Incarnation ledger,
                    CallerRequest request,
                    LookupHistory history = {}) -> void;

// Sends a request to a peer and waits for its reply.
auto RelayTo(EventContext& context,
             const PeerInstance& owner,
             CallerRequest request) -> void;

// A request that another instance relayed here, and the reply to one that was
// relayed from here.
auto OnRelayRequest(EventContext& context,
                    Incarnation from,
                    RelayRequest request) -> void;
auto OnRelayReply(EventContext& context, Incarnation from, RelayReply reply)
    -> void;

// Answers what was relayed to an instance that has stopped from its records:
// the replies may be lost with it.
auto ResolveRelaysFromRecords(EventContext& context, Incarnation stopped)
    -> void;

// Ends relayed requests whose owner did not answer in time.
auto ExpireRelays(EventContext& context) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_OWNER_ROUTING_H_
