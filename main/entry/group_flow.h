// The groups of workers that this instance holds: the scheduler's commands, the
// workers' answers, and what other instances ask.
#ifndef MAIN_ENTRY_GROUP_FLOW_H_
#define MAIN_ENTRY_GROUP_FLOW_H_

#include "main/entry/entry_state.h"

namespace boragecroft {

auto RunSchedulerCommands(EntryState& state,
                          const std::string& group,
                          const SchedulerCommands& commands) -> void;
auto BeginGroup(EntryState& state, const std::string& group, uint64_t token)
    -> void;
auto EndGroup(EntryState& state, const std::string& group) -> void;

// The store or a peer told a worker's report.
auto OnWorkerReport(EntryState& state, const WorkerEntry& entry) -> void;
auto OnWorkerReportRemoved(EntryState& state, const std::string& id) -> void;
// Drops the workers whose report has been gone for long enough.
auto RemoveDepartedWorkers(EntryState& state, Instant now) -> void;

auto ConnectWorkers(EntryState& state) -> void;
auto StatusOf(const EntryState& state, const std::string& group) -> GroupStatus;

}  // namespace boragecroft

#endif  // MAIN_ENTRY_GROUP_FLOW_H_
