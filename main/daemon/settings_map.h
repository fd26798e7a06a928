// From the settings file to what the dispatcher takes.
#ifndef MAIN_DAEMON_SETTINGS_MAP_H_
#define MAIN_DAEMON_SETTINGS_MAP_H_

#include "main/daemon/dispatcher_thread.h"
#include "main/settings/daemon_settings.h"

namespace boragecroft {

// `peer_address` is where other instances reach this one.
auto ToDispatcherSettings(const DaemonSettings& settings,
                          const Address& peer_address) -> DispatcherSettings;
auto ToRingSizes(const DaemonSettings& settings) -> RingSizes;

}  // namespace boragecroft

#endif  // MAIN_DAEMON_SETTINGS_MAP_H_
