// Who holds which group, as this instance learns it from the store and from
// other instances, and the connections that follow from it.
#ifndef MAIN_ENTRY_SUCCESSION_FLOW_H_
#define MAIN_ENTRY_SUCCESSION_FLOW_H_

#include "main/entry/entry_state.h"

namespace boragecroft {

auto RunSuccessionCommands(EntryState& state,
                           const SuccessionCommands& commands) -> void;
// Opens the connections to the holders of groups and tells peers that this
// instance is there. Call at each beat.
auto MaintainInstanceLinks(EntryState& state, Instant now) -> void;
auto ListenForInstances(EntryState& state) -> Result<void, std::string>;
// Gives up the groups that have no job left, or all when `force`.
auto ReleaseGroups(EntryState& state, bool force) -> void;

}  // namespace boragecroft

#endif  // MAIN_ENTRY_SUCCESSION_FLOW_H_
