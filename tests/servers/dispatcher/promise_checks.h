// Checks the promises while callers are answered and when a story is over.
#ifndef TESTS_SERVERS_DISPATCHER_PROMISE_CHECKS_H_
#define TESTS_SERVERS_DISPATCHER_PROMISE_CHECKS_H_

#include <string>

#include "tests/servers/dispatcher/virtual_fleet.h"

namespace boragecroft {

// Takes a reply to a caller and checks what it says.
auto NoteReply(VirtualFleet& fleet, const CallerReply& reply) -> void;
// Checks that an endpoint known to be leaving gets no new work.
auto CheckLeaving(VirtualFleet& fleet,
                  Incarnation self,
                  const StartAttempt& start) -> void;
// Checks the configuration of a running node, and notes its deposition.
auto CheckNode(VirtualFleet& fleet, VirtualNode& node) -> void;
auto Starts(const VirtualFleet& fleet, const TaskId& task) -> uint32_t;
// Checks what must hold when all is over; returns all violations.
auto CheckAll(VirtualFleet& fleet) -> std::string;

}  // namespace boragecroft

#endif  // TESTS_SERVERS_DISPATCHER_PROMISE_CHECKS_H_
