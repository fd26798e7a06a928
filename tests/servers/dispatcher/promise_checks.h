// Checks the promises while callers are answered and when a story is over.
#ifndef TESTS_SERVERS_DISPATCHER_PROMISE_CHECKS_H_
#define TESTS_SERVERS_DISPATCHER_PROMISE_CHECKS_H_

#include <string>

#include "tests/servers/dispatcher/virtual_fleet.h"

namespace boragecroft {

// All submissions under one id or key.
struct Submitted {
  std::shared_ptr<const Submission> submission;
  bool all_refused = true;
};

// By id or key.
auto CollectSubmitted(const VirtualFleet& fleet)
    -> std::map<std::string, Submitted>;
// The submitted ids that have an entry in their owner's ledger, or an addendum.
auto RecordedJobs(const VirtualFleet& fleet) -> std::vector<JobId>;
// Takes a reply to a caller and checks what it says.
auto CheckReply(VirtualFleet& fleet, const CallerReply& reply) -> void;
// Checks a refusal that is relayed at the time when it is decided: a submission
// that comes after it may start the job while the refusal is on its way.
auto CheckRelayed(VirtualFleet& fleet, const SendToPeer& send) -> void;
// Checks that an endpoint gets no new work once the node could know for a few
// seconds that it is leaving.
auto CheckLeaving(VirtualFleet& fleet,
                  const VirtualNode& node,
                  const StartAttempt& start) -> void;
// Checks a running node's configuration, and that its ledger is its own.
auto CheckNode(VirtualFleet& fleet, VirtualNode& node) -> void;
auto Starts(const VirtualFleet& fleet, const TaskId& task) -> uint32_t;
// Checks what must hold when all is over; returns all violations.
auto CheckAll(VirtualFleet& fleet) -> std::string;

}  // namespace boragecroft

#endif  // TESTS_SERVERS_DISPATCHER_PROMISE_CHECKS_H_
