// Runs the schedulers of the groups of workers that this instance holds:
// executes their commands, passes workers' reports and answers to them, and
// reports their status to other instances.
#ifndef MAIN_ENTRY_GROUP_FLOW_H_
#define MAIN_ENTRY_GROUP_FLOW_H_

#include <functional>

#include "main/entry/entry_state.h"

namespace boragecroft {

// Executes the commands that the scheduler of `group` returned.
auto RunSchedulerCommands(EntryState& state,
                          const std::string& group,
                          const SchedulerCommands& commands) -> void;
// Passes an event to the scheduler of each held group and executes the commands
// that it returns. They may end the holding of groups.
auto ForEachHeldGroup(
    EntryState& state,
    const std::function<void(Scheduler&, SchedulerCommands&)>& event) -> void;
// Starts scheduling for `group` after this instance became its holder with the
// fencing token `token`.
auto BeginGroup(EntryState& state, const std::string& group, uint64_t token)
    -> void;
// Stops scheduling for `group` and discards the state of its scheduler.
auto EndGroup(EntryState& state, const std::string& group) -> void;

// Handles a worker's report that came from the store or from a peer.
auto OnWorkerReport(EntryState& state, WorkerEntry entry) -> void;
// Handles the removal of a worker's row from the store. The worker is kept
// until RemoveDepartedWorkers finds its grace period over.
auto OnWorkerReportRemoved(EntryState& state, const std::string& id) -> void;
// Handles that all changes of workers' rows before `known_until` were reported.
auto OnWorkersRead(EntryState& state, Instant known_until) -> void;
// Removes the workers whose row has been missing for the grace period.
auto RemoveDepartedWorkers(EntryState& state, Instant now) -> void;

// Creates the client that sends orders to workers.
auto ConnectWorkers(EntryState& state) -> void;
// Returns the status of `group` that is reported to other instances. Only the
// name is set when this instance does not hold the group.
auto StatusOf(const EntryState& state, const std::string& group) -> GroupStatus;

}  // namespace boragecroft

#endif  // MAIN_ENTRY_GROUP_FLOW_H_
