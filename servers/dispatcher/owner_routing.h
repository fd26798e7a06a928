// Decides who answers a request about an id: this instance, a reachable owner,
// or the records of an owner that has terminated. Routing itself never starts a
// task.
#ifndef SERVERS_DISPATCHER_OWNER_ROUTING_H_
#define SERVERS_DISPATCHER_OWNER_ROUTING_H_

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Serves a request about an id, relays it to the owner, or looks it up in the
// records.
auto RouteRequest(EventContext& context, CallerRequest request) -> void;

// Reports whether this instance received the submission under an id that
// another instance minted before it stopped. All other ids of that instance are
// answered from its records, because only these show which ids were never used.
auto IsInheritedJob(const Dispatcher& dispatcher, const JobId& id) -> bool;

// Answers a request from the records that hold the id.
auto LookUp(EventContext& context, CallerRequest request) -> void;

// Answers a request from the ledger of a given incarnation: the one in the id,
// or a successor, for which `history` contains what was read before.
auto LookUpInLedger(EventContext& context,
                    Incarnation ledger,
                    CallerRequest request,
                    LookupHistory history = {}) -> void;

// Relays a request to a peer and registers it until the reply arrives.
auto RelayTo(EventContext& context,
             const PeerInstance& owner,
             CallerRequest request) -> void;

// Handle a request that another instance relayed to this one, and the reply to
// a request that this instance relayed.
auto OnRelayRequest(EventContext& context,
                    Incarnation from,
                    RelayRequest request) -> void;
auto OnRelayReply(EventContext& context, Incarnation from, RelayReply reply)
    -> void;

// Answers requests that were relayed to an instance that has stopped from its
// records, because its replies may be lost.
auto ResolveRelaysFromRecords(EventContext& context, Incarnation stopped)
    -> void;

// Replies "undecided" to relayed requests whose owner did not answer in time.
auto ExpireRelays(EventContext& context) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_OWNER_ROUTING_H_
