// Converts the daemon's settings to those of the dispatcher and of its rings.
#ifndef MAIN_DAEMON_SETTINGS_MAP_H_
#define MAIN_DAEMON_SETTINGS_MAP_H_

#include "main/daemon/dispatcher_thread.h"
#include "main/settings/daemon_settings.h"

namespace boragecroft {

// Returns the dispatcher's settings. `peer_address` is the address at which
// other instances reach this one.
auto ToDispatcherSettings(const DaemonSettings& settings,
                          const Address& peer_address) -> DispatcherSettings;
// Returns the capacities of the rings to the dispatcher's thread.
auto ToRingSizes(const DaemonSettings& settings) -> RingSizes;

}  // namespace boragecroft

#endif  // MAIN_DAEMON_SETTINGS_MAP_H_
