// Exchanges heartbeats, polls the platform's list, and computes this instance's
// shares of the zone's slots and quotas.
#ifndef SERVERS_DISPATCHER_MEMBERSHIP_FLOW_H_
#define SERVERS_DISPATCHER_MEMBERSHIP_FLOW_H_

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Polls the list, sends due heartbeats and renews the shares. Call at each
// tick.
auto AdvanceMembership(EventContext& context) -> void;

// Informs every peer that this instance has stopped. From then on peers send it
// no requests and leave it out of the quotas.
auto AnnounceStop(EventContext& context) -> void;

auto OnHeartbeat(EventContext& context,
                 Incarnation from,
                 const Heartbeat& heartbeat) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_MEMBERSHIP_FLOW_H_
