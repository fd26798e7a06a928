// Checks the guarantees to callers while they are answered and at the end of a
// scenario.
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

// Returns the submissions by id or key.
auto CollectSubmitted(const VirtualFleet& fleet)
    -> std::map<std::string, Submitted>;
// Returns the submitted ids that have an entry in their owner's ledger, or an
// addendum.
auto RecordedJobs(const VirtualFleet& fleet) -> std::vector<JobId>;
// Stores a reply to a caller and checks its contents.
auto CheckReply(VirtualFleet& fleet, const CallerReply& reply) -> void;
// Checks a relayed refusal at the time of the decision. A submission that
// arrives later may start the job while the refusal is still on its way.
auto CheckRelayed(VirtualFleet& fleet, const SendToPeer& send) -> void;
// Checks that an endpoint gets no new work when the node could have known for a
// few seconds that the endpoint is leaving.
auto CheckLeaving(VirtualFleet& fleet,
                  const VirtualNode& node,
                  const StartAttempt& start) -> void;
// Checks that a running node's configuration version does not decrease, and
// that no other instance has closed its ledger.
auto CheckNode(VirtualFleet& fleet, VirtualNode& node) -> void;
auto Starts(const VirtualFleet& fleet, const TaskId& task) -> uint32_t;
// Checks the conditions that must hold at the end, and returns all violations.
auto CheckAll(VirtualFleet& fleet) -> std::string;

}  // namespace boragecroft

#endif  // TESTS_SERVERS_DISPATCHER_PROMISE_CHECKS_H_
