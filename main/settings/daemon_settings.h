// The settings of one daemon process, read from a file of JSON with comments.
// Settings of the whole deployment are declared elsewhere
// (servers/configuration).
#ifndef MAIN_SETTINGS_DAEMON_SETTINGS_H_
#define MAIN_SETTINGS_DAEMON_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/address.h"
#include "core/base/clock.h"
#include "core/base/result.h"
#include "core/log/log.h"

namespace boragecroft {

struct DaemonSettings {
  std::string instance;
  std::string availability_zone;
  std::string deployment;
  Address listen_callers;
  Address listen_instances;
  Address listen_operators;
  Address platform;
  std::vector<Address> seed_instances;
  LogLevel log_level = LogLevel::kInfo;

  milliseconds heartbeat_interval{500};
  milliseconds configuration_poll_interval{1000};
  milliseconds configuration_max_wait{2000};
  milliseconds list_poll_interval{1000};
  milliseconds ledger_flush_interval{20};
  milliseconds platform_timeout{1000};
  milliseconds peer_timeout{500};
  milliseconds query_timeout{500};
  milliseconds dead_after{30000};
  milliseconds pause_threshold{1000};
  milliseconds drain_timeout{30000};
  milliseconds balancer_grace{3000};

  uint32_t answer_memory_mb = 32;
  uint32_t caller_ring_size = 4096;
  uint32_t endpoint_ring_size = 16384;
  uint32_t instance_ring_size = 4096;
  uint32_t platform_ring_size = 1024;
  uint32_t operator_ring_size = 256;
};

// One error in a settings file: its place, the value that was found, and what
// is allowed.
struct SettingsError {
  std::string file;
  std::string key;
  std::string found;
  std::string allowed;
};

// Returns "FILE: KEY: found ..., allowed: ...".
auto ToString(const SettingsError& error) -> std::string;

// Parses and checks the whole text; `file_name` is only used in errors. A key
// that this build does not know is an error.
auto ParseSettings(std::string_view text, const std::string& file_name)
    -> Result<DaemonSettings, std::vector<SettingsError>>;

}  // namespace boragecroft

#endif  // MAIN_SETTINGS_DAEMON_SETTINGS_H_
