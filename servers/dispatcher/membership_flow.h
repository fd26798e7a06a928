// Heartbeats, the platform's list, and what the instances of a zone share:
// slots and quotas.
#ifndef SERVERS_DISPATCHER_MEMBERSHIP_FLOW_H_
#define SERVERS_DISPATCHER_MEMBERSHIP_FLOW_H_

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Polls the list, sends due heartbeats and renews the shares; call at each
// tick.
auto AdvanceMembership(EventContext& context) -> void;

// Tells every peer that this instance has stopped. Peers ask it nothing from
// then on and leave it out of the quotas.
auto AnnounceStop(EventContext& context) -> void;

auto OnHeartbeat(EventContext& context,
                 Incarnation from,
                 const Heartbeat& heartbeat) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_MEMBERSHIP_FLOW_H_
