// One entry instance on the users' platform.
#ifndef MAIN_ENTRY_ENTRY_INSTANCE_H_
#define MAIN_ENTRY_ENTRY_INSTANCE_H_

#include <memory>

#include "main/entry/entry_state.h"

namespace boragecroft {

// Opens the listening sockets and starts to follow the store; a failure names
// the address.
auto StartEntry(EntryState& state) -> Result<void, std::string>;
// Begins a planned stop: new connections go elsewhere, requests in progress are
// finished, groups are given up. Ends the event loop when all is done.
auto DrainEntry(EntryState& state) -> void;
// The settings file may have changed.
auto ReloadEntry(EntryState& state) -> void;
// Arms the timer for what is due next. Call after each event.
auto ArmDueTimer(EntryState& state) -> void;

}  // namespace boragecroft

#endif  // MAIN_ENTRY_ENTRY_INSTANCE_H_
