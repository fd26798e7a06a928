// The platform of a virtual fleet: table, lists and the configuration.
#ifndef TESTS_SERVERS_DISPATCHER_VIRTUAL_PLATFORM_H_
#define TESTS_SERVERS_DISPATCHER_VIRTUAL_PLATFORM_H_

#include "tests/servers/dispatcher/virtual_fleet.h"

namespace boragecroft {

// Answers the command later, as the fleet's fault rates have it.
auto ServePlatform(VirtualFleet& fleet,
                   size_t node,
                   const PlatformCommand& command) -> void;
// Puts a new version of the configuration in force.
auto WriteConfiguration(VirtualFleet& fleet) -> void;

}  // namespace boragecroft

#endif  // TESTS_SERVERS_DISPATCHER_VIRTUAL_PLATFORM_H_
