// Checks the account that operators get against what endpoints ran and callers
// were told.
#ifndef TESTS_SERVERS_DISPATCHER_ACCOUNT_CHECKS_H_
#define TESTS_SERVERS_DISPATCHER_ACCOUNT_CHECKS_H_

#include <string>

#include "tests/servers/dispatcher/virtual_fleet.h"

namespace boragecroft {

// Asks a node for the account of all time and waits for it. Called once every
// submission is settled; adds to the violations.
auto CheckAccount(VirtualFleet& fleet, size_t node) -> void;

}  // namespace boragecroft

#endif  // TESTS_SERVERS_DISPATCHER_ACCOUNT_CHECKS_H_
