// Compares the account that operators get with what endpoints ran and what
// callers were told.
#ifndef TESTS_SERVERS_DISPATCHER_ACCOUNT_CHECKS_H_
#define TESTS_SERVERS_DISPATCHER_ACCOUNT_CHECKS_H_

#include <string>

#include "tests/servers/dispatcher/virtual_fleet.h"

namespace boragecroft {

// Requests the account of all time from a node, waits for it, and adds
// differences to the violations. Call when every submission is settled.
auto CheckAccount(VirtualFleet& fleet, size_t node) -> void;

}  // namespace boragecroft

#endif  // TESTS_SERVERS_DISPATCHER_ACCOUNT_CHECKS_H_
