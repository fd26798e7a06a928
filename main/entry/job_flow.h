// Passes jobs from callers to the holders of groups, and the results back to
// the callers.
#ifndef MAIN_ENTRY_JOB_FLOW_H_
#define MAIN_ENTRY_JOB_FLOW_H_

#include "main/entry/entry_state.h"

namespace boragecroft {

// Handles a request that arrived on the address for jobs.
auto OnCallerRequest(EntryState& state,
                     const HttpRequest& request,
                     HttpResponder respond) -> void;
// Handles the end of a caller's connection before its request was answered.
auto OnCallerAbandoned(EntryState& state, uint64_t request) -> void;

// Executes the commands that the intake returned.
auto RunIntakeCommands(EntryState& state, const IntakeCommands& commands)
    -> void;
// Updates the intake's view of `group`: its holder's fencing token,
// reachability, readiness and load.
auto RefreshGroupView(EntryState& state, const std::string& group) -> void;

}  // namespace boragecroft

#endif  // MAIN_ENTRY_JOB_FLOW_H_
