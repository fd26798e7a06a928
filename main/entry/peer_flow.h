// Handles messages of other instances: heartbeats, jobs handed over and their
// results, configurations, snapshots, and announcements of group holders.
#ifndef MAIN_ENTRY_PEER_FLOW_H_
#define MAIN_ENTRY_PEER_FLOW_H_

#include "main/entry/entry_state.h"

namespace boragecroft {

// Handles a message that arrived on the connection `link`.
auto OnPeerMessage(EntryState& state, LinkId link, HandoverMessage message)
    -> void;

// Returns a heartbeat. A reply also lists the groups that this instance holds.
auto MakeHeartbeat(const EntryState& state, bool reply) -> HeartbeatMessage;
// Records the status of the group holder at the address `holder`.
auto SetHolderStatus(EntryState& state,
                     const Address& holder,
                     HolderStatus status) -> void;
// Updates the intake's views of the groups whose holder has the address
// `holder`.
auto RefreshViewsOf(EntryState& state, const Address& holder) -> void;

}  // namespace boragecroft

#endif  // MAIN_ENTRY_PEER_FLOW_H_
