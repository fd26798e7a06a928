// Follows the store's tables with the configuration, the workers and the
// groups, and exchanges snapshots of these tables with peers.
#ifndef MAIN_ENTRY_STORE_FLOW_H_
#define MAIN_ENTRY_STORE_FLOW_H_

#include "main/entry/entry_state.h"

namespace boragecroft {

// Connects to the store and starts following its tables.
auto FollowStore(EntryState& state) -> void;
// Follows the table of the workers while this instance holds a group or is
// among its first successors, and some time longer. Call it once per heartbeat
// interval and when this instance begins to hold a group.
auto FollowWorkersIfNeeded(EntryState& state, Instant now) -> void;
// Requests the changes of the workers at once, if they are followed. Call it
// when this instance begins to hold a group: its former holder may know workers
// that this instance does not know yet.
auto ReadWorkersNow(EntryState& state) -> void;
// Adopts a configuration document from the store or a peer. Ignores a document
// that is not newer than the present one; logs an error when it cannot be read.
auto AdoptConfiguration(EntryState& state, const std::string& document) -> void;
// Returns the rows of the configuration and of the groups, for a peer that
// starts while the store is unavailable. Such a peer can't take over a group,
// so it does not need the workers.
auto MakeSnapshot(const EntryState& state) -> SnapshotTransfer;
// Applies the rows of a peer's snapshot unless the rows are known already.
auto ApplySnapshot(EntryState& state, const SnapshotTransfer& snapshot) -> void;

}  // namespace boragecroft

#endif  // MAIN_ENTRY_STORE_FLOW_H_
