// What the platform's store tells: configuration, workers, groups.
#ifndef MAIN_ENTRY_STORE_FLOW_H_
#define MAIN_ENTRY_STORE_FLOW_H_

#include "main/entry/entry_state.h"

namespace boragecroft {

auto FollowStore(EntryState& state) -> void;
// Adopts a configuration that the store or a peer told, unless it is no newer.
auto AdoptConfiguration(EntryState& state, const std::string& document) -> void;
// What this instance knows, for one that starts without the store.
auto MakeSnapshot(const EntryState& state) -> SnapshotTransfer;
auto ApplySnapshot(EntryState& state, const SnapshotTransfer& snapshot) -> void;

}  // namespace boragecroft

#endif  // MAIN_ENTRY_STORE_FLOW_H_
