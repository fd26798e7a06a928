// Simulates the platform of a virtual fleet: table, lists and configuration.
#ifndef TESTS_SERVERS_DISPATCHER_VIRTUAL_PLATFORM_H_
#define TESTS_SERVERS_DISPATCHER_VIRTUAL_PLATFORM_H_

#include "tests/servers/dispatcher/virtual_fleet.h"

namespace boragecroft {

// Answers the command later, with faults according to the fleet's fault rates.
auto ServePlatform(VirtualFleet& fleet,
                   size_t node,
                   const PlatformCommand& command) -> void;
// Writes a new version of the configuration to the table.
auto WriteConfiguration(VirtualFleet& fleet) -> void;

}  // namespace boragecroft

#endif  // TESTS_SERVERS_DISPATCHER_VIRTUAL_PLATFORM_H_
