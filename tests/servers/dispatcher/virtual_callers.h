// Simulates the callers of a virtual fleet.
#ifndef TESTS_SERVERS_DISPATCHER_VIRTUAL_CALLERS_H_
#define TESTS_SERVERS_DISPATCHER_VIRTUAL_CALLERS_H_

#include <optional>

#include "tests/servers/dispatcher/virtual_fleet.h"

namespace boragecroft {

// Requests an id from a node and returns it, or nothing when the node gives
// none.
auto FetchId(VirtualFleet& fleet, size_t node) -> std::optional<JobId>;
auto MakeJob(const JobId& id,
             uint32_t tasks,
             const std::string& urgency_class = "confirmations",
             bool repeatable = false) -> std::shared_ptr<Submission>;
// Returns a job to be submitted under a key of the caller.
auto MakeKeyedJob(const std::string& key, uint32_t tasks)
    -> std::shared_ptr<Submission>;
// Sends a request to a node and returns the number under which the replies are
// stored.
auto Ask(VirtualFleet& fleet, size_t node, const CallerCall& call) -> uint64_t;
auto Submit(VirtualFleet& fleet,
            size_t node,
            const std::shared_ptr<const Submission>& submission) -> uint64_t;
auto SubmitKeyed(VirtualFleet& fleet,
                 size_t node,
                 const std::string& key,
                 const std::shared_ptr<const Submission>& submission)
    -> uint64_t;
auto Fetch(VirtualFleet& fleet, size_t node, const JobId& id) -> uint64_t;
// Returns the state in the last reply; kActive when there is no reply or when
// it is undecided.
auto ReportedState(const VirtualFleet& fleet, uint64_t number) -> JobState;

}  // namespace boragecroft

#endif  // TESTS_SERVERS_DISPATCHER_VIRTUAL_CALLERS_H_
