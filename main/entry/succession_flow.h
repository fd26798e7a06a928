// Tracks which instance holds which group, as reported by the store and by
// other instances, and maintains the connections to the holders.
#ifndef MAIN_ENTRY_SUCCESSION_FLOW_H_
#define MAIN_ENTRY_SUCCESSION_FLOW_H_

#include "main/entry/entry_state.h"

namespace boragecroft {

// Executes the commands that the succession module returned.
auto RunSuccessionCommands(EntryState& state,
                           const SuccessionCommands& commands) -> void;
// Opens missing connections to the holders of groups, requests a snapshot from
// the seed instances if one is needed, and sends heartbeats. Call it once per
// heartbeat interval.
auto MaintainInstanceLinks(EntryState& state, Instant now) -> void;
// Starts to listen for connections of other instances. An error names the
// address.
auto ListenForInstances(EntryState& state) -> Result<void, std::string>;
// Releases the groups that are being given up, each once it has no unfinished
// job or after 1.3 s, and announces this to all connected peers. Call it once
// per heartbeat interval.
auto ReleaseGroups(EntryState& state, Instant now) -> void;

}  // namespace boragecroft

#endif  // MAIN_ENTRY_SUCCESSION_FLOW_H_
