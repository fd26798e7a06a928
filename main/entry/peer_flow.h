// What other instances say: heartbeats, jobs handed over and their results,
// configurations, and who holds which group.
#ifndef MAIN_ENTRY_PEER_FLOW_H_
#define MAIN_ENTRY_PEER_FLOW_H_

#include "main/entry/entry_state.h"

namespace boragecroft {

auto OnPeerMessage(EntryState& state, LinkId link, HandoverMessage message)
    -> void;

// `reply`: with the groups that this instance holds.
auto MakeHeartbeat(const EntryState& state, bool reply) -> HeartbeatMessage;
auto SetSight(EntryState& state, const Address& holder, HolderStatus status)
    -> void;
// Brings the intake's views of the groups of one holder up to date.
auto RefreshViewsOf(EntryState& state, const Address& holder) -> void;

}  // namespace boragecroft

#endif  // MAIN_ENTRY_PEER_FLOW_H_
