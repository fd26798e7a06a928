// The keys of the settings file. The parser and the reference page use the same
// table.
#ifndef MAIN_SETTINGS_SETTINGS_TABLE_H_
#define MAIN_SETTINGS_SETTINGS_TABLE_H_

#include <span>
#include <string_view>
#include <vector>

#include "core/json/object_reader.h"
#include "main/settings/daemon_settings.h"

namespace boragecroft::detail {

struct TextKey {
  std::string_view key;
  std::string DaemonSettings::*member;
  std::string_view meaning;
};

struct AddressKey {
  std::string_view key;
  Address DaemonSettings::*member;
  bool port_zero_allowed;  // port 0: the operating system chooses one
  std::string_view meaning;
};

struct DurationKey {
  std::string_view key;
  milliseconds DaemonSettings::*member;
  Range range;
  std::string_view meaning;
};

struct CountKey {
  std::string_view key;
  uint32_t DaemonSettings::*member;
  Range range;
  std::string_view unit;  // begins with a space
  std::string_view meaning;
};

constexpr std::string_view kSeedInstancesKey = "seed_instances";
constexpr std::string_view kLogLevelKey = "log_level";

auto TextKeys() -> std::span<const TextKey>;
auto AddressKeys() -> std::span<const AddressKey>;
auto DurationKeys() -> std::span<const DurationKey>;
auto CountKeys() -> std::span<const CountKey>;
// Returns the names of the log levels in the order of `LogLevel`.
auto LogLevelNames() -> const std::vector<std::string>&;

}  // namespace boragecroft::detail

#endif  // MAIN_SETTINGS_SETTINGS_TABLE_H_
