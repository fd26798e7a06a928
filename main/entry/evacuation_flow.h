// Applies evacuations of availability zones to the groups that this instance
// holds and to the jobs of its callers.
#ifndef MAIN_ENTRY_EVACUATION_FLOW_H_
#define MAIN_ENTRY_EVACUATION_FLOW_H_

#include <string>
#include <vector>

#include "main/entry/entry_state.h"
#include "platform/evacuation_rows.h"

namespace boragecroft {

// Adopts a record and, if it changes the state of its zone, applies it.
auto OnEvacuationRecord(EntryState& state,
                        const Evacuation& record,
                        EvacuationSource source) -> void;
// Handles an operator's row, or its deletion.
auto OnEvacuationRow(EntryState& state,
                     const platform::StoreRow& row,
                     const platform::EvacuationRow& decoded,
                     EvacuationSource source) -> void;
// Handles that the whole table of the operators was read at `version`.
auto OnOperatorRowsRead(EntryState& state, uint64_t version) -> void;

// Withholds the starts of a group that this instance begins to hold if the
// group is evacuated. Must precede the first start of the term.
auto ApplyEvacuationToTerm(EntryState& state,
                           const std::string& group,
                           SchedulerCommands& out) -> void;
// Tells the intake which groups are evacuated. Called when an evacuation or the
// set of known groups may have changed.
auto RefreshEvacuatedGroups(EntryState& state) -> void;

}  // namespace boragecroft

#endif  // MAIN_ENTRY_EVACUATION_FLOW_H_
