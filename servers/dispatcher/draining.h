// The planned stop: leave the balancer, finish what was taken, write the last
// records, hand over the unused ids.
#ifndef SERVERS_DISPATCHER_DRAINING_H_
#define SERVERS_DISPATCHER_DRAINING_H_

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Takes the stop further as far as it can go now; call at each tick.
auto AdvanceDrain(EventContext& context) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_DRAINING_H_
