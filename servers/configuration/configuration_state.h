// Decides which configuration is in force on an instance. Configurations are
// offered in any order by the platform's table and by other instances, and the
// version in force only rises. At its start and after each pause, an instance
// serves only after it has asked the platform and the instances of its zone.
#ifndef SERVERS_CONFIGURATION_CONFIGURATION_STATE_H_
#define SERVERS_CONFIGURATION_CONFIGURATION_STATE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/base/clock.h"
#include "servers/configuration/configuration.h"

namespace boragecroft {

// The sender of a configuration, or of the answer that it has none.
struct ConfigurationSource {
  enum class Kind : uint8_t { kPlatform, kInstance };

  Kind kind = Kind::kPlatform;
  std::string instance;  // name of the instance; empty for the platform

  auto operator==(const ConfigurationSource&) const -> bool = default;
};

// An accepted configuration. It is immutable, so that threads can share it.
struct VersionedConfiguration {
  int64_t version = 0;   // the table row's version, strictly rising
  json::value document;  // as it was offered
  uint64_t digest = 0;   // digest of the document
  Configuration configuration;
};

struct ConfigurationTimings {
  // Longest wait for answers before serving.
  milliseconds max_wait = seconds(2);
  // A longer gap between ticks counts as a pause.
  milliseconds pause_threshold = seconds(1);
};

// Two different documents with the same version.
struct ConfigurationConflict {
  int64_t version = 0;
  uint64_t digest_in_force = 0;
  uint64_t digest_offered = 0;
  ConfigurationSource source;
};

struct ConfigurationState {
  ConfigurationTimings timings;
  // Null when there is none yet.
  std::shared_ptr<const VersionedConfiguration> in_force;
  // Asked in this round of reading, without an answer so far.
  std::vector<ConfigurationSource> unanswered;
  Instant round_started;
  Instant last_tick;
  int64_t rejected_version = 0;  // newest version whose document was invalid
  std::optional<ConfigurationConflict> last_conflict;
};

enum class OfferOutcome : uint8_t {
  kAdopted,  // the offered configuration is now in force
  kSame,     // the offered configuration was already in force
  kOlder,    // ignored, since a newer version is in force
  kInvalid,  // the document is invalid; the configuration in force stays
  // The version in force, but with another document; the configuration in force
  // stays.
  kConflict,
};

struct OfferResult {
  OfferOutcome outcome = OfferOutcome::kSame;
  std::vector<FieldError> errors;  // only for an invalid document
};

auto ToString(OfferOutcome outcome) -> std::string_view;

// Returns the state of a process that has just started and asks the platform
// and `zone_instances`.
auto StartConfiguration(const ConfigurationTimings& timings,
                        const std::vector<std::string>& zone_instances,
                        Now now) -> ConfigurationState;
// Must be called at each tick. After a pause, begins a new round of reading and
// returns true; the caller must then ask the platform and `zone_instances`
// again.
auto TickConfiguration(ConfigurationState& state,
                       const std::vector<std::string>& zone_instances,
                       Now now) -> bool;

// Puts a document that `source` holds as `version` in force if it is valid and
// newer. Counts as the answer of `source`.
auto Offer(ConfigurationState& state,
           int64_t version,
           const json::value& document,
           const ConfigurationSource& source,
           Now now) -> OfferResult;
// Records that `source` answered and has nothing newer. A source that can't be
// reached does not count as having answered; the wait for it is limited.
auto RecordAnswer(ConfigurationState& state, const ConfigurationSource& source)
    -> void;

// Reports whether an instance that has `version` in force should be asked for
// its document.
auto NeedsFetch(const ConfigurationState& state, int64_t version) -> bool;
// Reports whether the instance may serve: a configuration is in force, no pause
// is unhandled, and every source has answered or the longest wait is over.
auto ReadyToServe(const ConfigurationState& state, Now now) -> bool;
// Reports whether it is this instance's turn to read the table. The instances
// of a zone that reach each other take turns, one in each `interval`, and the
// others learn of a new version from its heartbeat. `reachable` lists the other
// instances of the zone from which this one receives heartbeats. When the list
// is empty, the instance reads in every interval.
auto IsPollTurn(const std::string& self,
                const std::vector<std::string>& reachable,
                milliseconds interval,
                Now now) -> bool;
// Returns the version in force, or 0 when there is none.
auto VersionInForce(const ConfigurationState& state) -> int64_t;

}  // namespace boragecroft

#endif  // SERVERS_CONFIGURATION_CONFIGURATION_STATE_H_
