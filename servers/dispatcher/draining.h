// Performs a planned stop: the instance leaves the load balancer, finishes the
// accepted jobs, writes the last records and hands over the unused ids.
#ifndef SERVERS_DISPATCHER_DRAINING_H_
#define SERVERS_DISPATCHER_DRAINING_H_

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Advances the stop as far as is possible now. Call at each tick.
auto AdvanceDrain(EventContext& context) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_DRAINING_H_
