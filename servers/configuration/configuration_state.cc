#include "servers/configuration/configuration_state.h"

#include <algorithm>
#include <utility>

#include "servers/configuration/configuration_row.h"

namespace boragecroft {
namespace {

auto BeginRound(ConfigurationState& state,
                const std::vector<std::string>& zone_instances,
                Instant now) -> void {
  state.round_started = now;
  state.unanswered.assign(1, ConfigurationSource{});
  for (const auto& it : zone_instances) {
    state.unanswered.push_back(ConfigurationSource{
        .kind = ConfigurationSource::Kind::kInstance, .instance = it});
  }
}

auto IsWaitOver(const ConfigurationState& state, Instant now) -> bool {
  return state.unanswered.empty() ||
         now - state.round_started >= state.timings.max_wait;
}

// Compares an offer of the version in force with the document in force.
auto CompareSameVersion(ConfigurationState& state,
                        const json::value& document,
                        const ConfigurationSource& source) -> OfferOutcome {
  const auto digest = DigestOf(document);
  if (digest == state.in_force->digest) {
    return OfferOutcome::kSame;
  }
  state.last_conflict =
      ConfigurationConflict{.version = state.in_force->version,
                            .digest_in_force = state.in_force->digest,
                            .digest_offered = digest,
                            .source = source};
  return OfferOutcome::kConflict;
}

auto Adopt(ConfigurationState& state,
           int64_t version,
           const json::value& document,
           Configuration configuration,
           Instant now) -> void {
  // When the first configuration arrives only after the wait is over, it may
  // come from a source that is behind. The other sources then get the same time
  // again to answer.
  if (state.in_force == nullptr && IsWaitOver(state, now)) {
    state.round_started = now;
  }
  VersionedConfiguration adopted;
  adopted.version = version;
  adopted.document = document;
  adopted.digest = DigestOf(document);
  adopted.configuration = std::move(configuration);
  state.in_force =
      std::make_shared<const VersionedConfiguration>(std::move(adopted));
}

}  // namespace

auto ToString(OfferOutcome outcome) -> std::string_view {
  switch (outcome) {
    case OfferOutcome::kAdopted:
      return "adopted";
    case OfferOutcome::kSame:
      return "same";
    case OfferOutcome::kOlder:
      return "older";
    case OfferOutcome::kInvalid:
      return "invalid";
    case OfferOutcome::kConflict:
      return "conflict";
  }
  return "unknown";
}

auto StartConfiguration(const ConfigurationTimings& timings,
                        const std::vector<std::string>& zone_instances,
                        Now now) -> ConfigurationState {
  ConfigurationState state;
  state.timings = timings;
  state.last_tick = now.boot;
  BeginRound(state, zone_instances, now.boot);
  return state;
}

auto TickConfiguration(ConfigurationState& state,
                       const std::vector<std::string>& zone_instances,
                       Now now) -> bool {
  const auto gap = now.boot - state.last_tick;
  state.last_tick = now.boot;
  if (gap <= state.timings.pause_threshold) {
    return false;
  }
  BeginRound(state, zone_instances, now.boot);
  return true;
}

auto Offer(ConfigurationState& state,
           int64_t version,
           const json::value& document,
           const ConfigurationSource& source,
           Now now) -> OfferResult {
  RecordAnswer(state, source);
  if (version <= 0) {
    return {.outcome = OfferOutcome::kInvalid,
            .errors = {{.field = "version",
                        .found = std::to_string(version),
                        .allowed = "a positive number"}}};
  }
  const auto current = VersionInForce(state);
  if (version < current) {
    return {.outcome = OfferOutcome::kOlder, .errors = {}};
  }
  if (version == current) {
    return {.outcome = CompareSameVersion(state, document, source),
            .errors = {}};
  }
  auto configuration = ReadConfiguration(document, Strictness::kLenient);
  if (configuration.has_error()) {
    state.rejected_version = std::max(state.rejected_version, version);
    return {.outcome = OfferOutcome::kInvalid,
            .errors = std::move(configuration.error())};
  }
  Adopt(state, version, document, std::move(configuration.value()), now.boot);
  return {.outcome = OfferOutcome::kAdopted, .errors = {}};
}

auto RecordAnswer(ConfigurationState& state, const ConfigurationSource& source)
    -> void {
  std::erase(state.unanswered, source);
}

auto NeedsFetch(const ConfigurationState& state, int64_t version) -> bool {
  return version > VersionInForce(state) && version != state.rejected_version;
}

auto ReadyToServe(const ConfigurationState& state, Now now) -> bool {
  if (state.in_force == nullptr) {
    return false;
  }
  if (now.boot - state.last_tick > state.timings.pause_threshold) {
    return false;
  }
  return IsWaitOver(state, now.boot);
}

auto IsPollTurn(const std::string& self,
                const std::vector<std::string>& reachable,
                milliseconds interval,
                Now now) -> bool {
  const auto rank = std::count_if(reachable.begin(), reachable.end(),
                                  [&](const auto& it) { return it < self; });
  const auto round = now.wall.time_since_epoch() / interval;
  return round % static_cast<int64_t>(reachable.size() + 1) == rank;
}

auto VersionInForce(const ConfigurationState& state) -> int64_t {
  return state.in_force == nullptr ? 0 : state.in_force->version;
}

}  // namespace boragecroft
