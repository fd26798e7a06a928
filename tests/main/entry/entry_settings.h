// Settings of an entry instance on loopback addresses, for tests without a
// store.
#ifndef TESTS_MAIN_ENTRY_ENTRY_SETTINGS_H_
#define TESTS_MAIN_ENTRY_ENTRY_SETTINGS_H_

#include "platform/settings.h"

namespace boragecroft {

// Returns a loopback address; the operating system chooses port 0.
inline auto Loopback(uint16_t port = 0) -> Address {
  return Address{.ip = "127.0.0.1", .port = port};
}

inline auto MakeEntrySettings() -> platform::Settings {
  platform::Settings settings;
  settings.instance = "north-1";
  settings.zone = "north";
  settings.zones = {"north"};
  settings.callers = Loopback();
  settings.readiness = Loopback();
  settings.instances = Loopback();
  settings.store = Loopback(1);  // refuses connections
  return settings;
}

}  // namespace boragecroft

#endif  // TESTS_MAIN_ENTRY_ENTRY_SETTINGS_H_
