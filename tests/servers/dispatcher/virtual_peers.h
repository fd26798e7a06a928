// Delivers messages between the instances of a virtual fleet.
#ifndef TESTS_SERVERS_DISPATCHER_VIRTUAL_PEERS_H_
#define TESTS_SERVERS_DISPATCHER_VIRTUAL_PEERS_H_

#include "tests/servers/dispatcher/virtual_fleet.h"

namespace boragecroft {

// Delivers a message, with faults, even when its sender has been killed since.
auto CarryToPeer(VirtualFleet& fleet, size_t node, const SendToPeer& send)
    -> void;

}  // namespace boragecroft

#endif  // TESTS_SERVERS_DISPATCHER_VIRTUAL_PEERS_H_
