// Which configuration is in force on an instance. Offers come in any order from
// the platform's table and from other instances; the version in force only
// rises. An instance serves only after it asked the platform and the instances
// of its zone, at its start and after each pause.
#ifndef SERVERS_CONFIGURATION_CONFIGURATION_STATE_H_
#define SERVERS_CONFIGURATION_CONFIGURATION_STATE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/base/clock.h"
#include "servers/configuration/configuration.h"

namespace boragecroft {

// Who offers a configuration, or answers that it has none.
struct ConfigurationSource {
  enum class Kind : uint8_t { kPlatform, kInstance };

  Kind kind = Kind::kPlatform;
  std::string instance;  // name of the instance; empty for the platform

  auto operator==(const ConfigurationSource&) const -> bool = default;
};

// An accepted configuration; immutable, so that threads can share it.
struct VersionedConfiguration {
  int64_t version = 0;   // the table row's version, strictly rising
  json::value document;  // as it was offered
  uint64_t digest = 0;   // of the document
  Configuration configuration;
};

struct ConfigurationTimings {
  milliseconds max_wait = seconds(2);         // for answers before serving
  milliseconds pause_threshold = seconds(1);  // a longer gap between ticks is a
                                              // pause
};

// Two documents seen under one version.
struct ConfigurationConflict {
  int64_t version = 0;
  uint64_t digest_in_force = 0;
  uint64_t digest_offered = 0;
  ConfigurationSource source;
};

struct ConfigurationState {
  ConfigurationTimings timings;
  std::shared_ptr<const VersionedConfiguration> in_force;  // null: none yet
  std::vector<ConfigurationSource>
      unanswered;  // asked in this round of reading
  Instant round_started;
  Instant last_tick;
  int64_t rejected_version = 0;  // newest version whose document was invalid
  std::optional<ConfigurationConflict> last_conflict;
};

enum class OfferOutcome : uint8_t {
  kAdopted,   // now in force
  kSame,      // already in force
  kOlder,     // ignored: a newer version is in force
  kInvalid,   // breaks the rules for documents; the one in force stays
  kConflict,  // the version in force with another document; the one in force
              // stays
};

struct OfferResult {
  OfferOutcome outcome = OfferOutcome::kSame;
  std::vector<FieldError> errors;  // of an invalid document
};

auto ToString(OfferOutcome outcome) -> std::string_view;

// The state of a fresh process that asks the platform and `zone_instances`.
auto StartConfiguration(const ConfigurationTimings& timings,
                        const std::vector<std::string>& zone_instances,
                        Now now) -> ConfigurationState;
// Call at each tick. After a pause it begins a new round of reading and returns
// true: the caller asks the platform and `zone_instances` again.
auto TickConfiguration(ConfigurationState& state,
                       const std::vector<std::string>& zone_instances,
                       Now now) -> bool;

// Weighs a document that `source` holds under `version`; counts as the answer
// of `source`.
auto Offer(ConfigurationState& state,
           int64_t version,
           const json::value& document,
           const ConfigurationSource& source,
           Now now) -> OfferResult;
// Notes that `source` answered and has nothing newer. A source that cannot be
// reached has not answered: the wait for it is bounded.
auto RecordAnswer(ConfigurationState& state, const ConfigurationSource& source)
    -> void;

// True when an instance that has `version` in force should be asked for its
// document.
auto NeedsFetch(const ConfigurationState& state, int64_t version) -> bool;
// True when a configuration is in force, no pause is unnoticed, and every
// source answered or the wait is over.
auto ReadyToServe(const ConfigurationState& state, Now now) -> bool;
// True when it is this instance's turn to read the table. The instances of a
// zone that hear each other take turns, one each `interval`: the others learn
// of a new version by its heartbeat. `heard` are the zone's instances that this
// one hears; alone it reads each time.
auto IsPollTurn(const std::string& self,
                const std::vector<std::string>& reachable,
                milliseconds interval,
                Now now) -> bool;
// The version in force; 0 when there is none.
auto VersionInForce(const ConfigurationState& state) -> int64_t;

}  // namespace boragecroft

#endif  // SERVERS_CONFIGURATION_CONFIGURATION_STATE_H_
