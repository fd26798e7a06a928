// Delivers commands to the endpoints of a virtual fleet, and their answers
// back.
#ifndef TESTS_SERVERS_DISPATCHER_VIRTUAL_EXCHANGES_H_
#define TESTS_SERVERS_DISPATCHER_VIRTUAL_EXCHANGES_H_

#include "tests/servers/dispatcher/virtual_fleet.h"

namespace boragecroft {

auto CarryToEndpoint(VirtualFleet& fleet,
                     size_t node,
                     const EndpointCommand& command) -> void;

}  // namespace boragecroft

#endif  // TESTS_SERVERS_DISPATCHER_VIRTUAL_EXCHANGES_H_
