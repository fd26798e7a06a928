// Cancels jobs for callers: asks the holders of all groups, and answers such
// requests of other instances.
#ifndef MAIN_ENTRY_CANCEL_FLOW_H_
#define MAIN_ENTRY_CANCEL_FLOW_H_

#include "main/entry/entry_state.h"

namespace boragecroft {

// Handles a caller's request to cancel a job and answers it.
auto OnCallerCancel(EntryState& state, JobName job, HttpResponder respond)
    -> void;
// Handles the request of another instance.
auto OnPeerCancel(EntryState& state, LinkId link, const CancelRequest& request)
    -> void;
auto RunCancelCommands(EntryState& state, const CancelCommands& commands)
    -> void;

}  // namespace boragecroft

#endif  // MAIN_ENTRY_CANCEL_FLOW_H_
