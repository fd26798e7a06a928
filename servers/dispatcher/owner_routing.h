// Finds who answers a request about an id: this instance, the owner that can be
// reached, or the records of an owner that is gone. Never starts anything by
// itself.
#ifndef SERVERS_DISPATCHER_OWNER_ROUTING_H_
#define SERVERS_DISPATCHER_OWNER_ROUTING_H_

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Serves, relays or looks up a request about an id.
auto RouteRequest(Step& step, CallerRequest request) -> void;

// True when this instance took the submission under an id that another one
// minted before it stopped. The other ids of that one stay with its records:
// only they say which were never used.
auto IsTakenOver(const Dispatcher& dispatcher, const JobId& id) -> bool;

// Answers a request from the records that hold the id.
auto LookUp(Step& step, CallerRequest request) -> void;

// The same from the ledger of a given incarnation: the id's own, or a
// successor. `passed` are the ledgers that led to it.
auto LookUpIn(Step& step,
              Incarnation ledger,
              CallerRequest request,
              std::vector<Incarnation> passed = {}) -> void;

// Sends a request to a peer and waits for its reply.
auto RelayTo(Step& step, const PeerInstance& owner, CallerRequest request)
    -> void;

// A request that another instance relayed here, and the reply to one that was
// relayed from here.
auto OnRelayRequest(Step& step, Incarnation from, RelayRequest request) -> void;
auto OnRelayReply(Step& step, Incarnation from, RelayReply reply) -> void;

// Ends relayed requests whose owner did not answer in time.
auto ExpireRelays(Step& step) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_OWNER_ROUTING_H_
