// Starts, drains and reloads one entry instance on the users' platform.
#ifndef MAIN_ENTRY_ENTRY_INSTANCE_H_
#define MAIN_ENTRY_ENTRY_INSTANCE_H_

#include <memory>

#include "main/entry/entry_state.h"

namespace boragecroft {

// Opens the listening sockets and starts following the store's tables. An error
// names the address that could not be opened.
auto StartEntry(EntryState& state) -> Result<void, std::string>;
// Applies the limits of the configuration in force to the requests of callers.
auto ApplyRequestLimits(EntryState& state) -> void;
// Begins a planned stop: new connections go to other instances, requests in
// progress are finished, and groups are released. Ends the event loop when all
// of this is done, at the latest after 5 s.
auto DrainEntry(EntryState& state) -> void;
// Reads the settings file again and adopts its list of seed instances. Logs an
// error and keeps the present list when the file is invalid.
auto ReloadEntry(EntryState& state) -> void;
// Arms the timer for the earliest time at which a module has work to do. Call
// it after each event.
auto ArmDueTimer(EntryState& state) -> void;

}  // namespace boragecroft

#endif  // MAIN_ENTRY_ENTRY_INSTANCE_H_
