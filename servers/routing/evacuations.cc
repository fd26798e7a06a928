#include "servers/routing/evacuations.h"

#include <algorithm>

namespace boragecroft {
namespace {

// A silent store connection delays a record by up to 2.4 s, the way through a
// peer by 0.4 s, and the lease of an order that is carried out late by 0.55 s.
// With this grace the sum stays under the platform's 5 s. Most begun jobs have
// started all their tasks within it.
constexpr milliseconds kMaxGrace{1000};
constexpr int kGracePartOfBound = 4;

// Drops the oldest ended evacuations beyond the number that is remembered.
auto DropOldestEnded(Evacuations& state) -> void {
  std::vector<Evacuation> ended;
  for (const auto& [zone, it] : state.zones) {
    if (!it.active) {
      ended.push_back(it);
    }
  }
  if (ended.size() <= kMaxEndedEvacuations) {
    return;
  }
  std::sort(ended.begin(), ended.end(),
            [](const auto& a, const auto& b) { return a.version < b.version; });
  ended.resize(ended.size() - kMaxEndedEvacuations);
  for (const auto& it : ended) {
    state.dropped_version = std::max(state.dropped_version, it.version);
    state.zones.erase(it.zone);
  }
}

}  // namespace

auto SourceName(EvacuationSource source) -> const char* {
  switch (source) {
    case EvacuationSource::kStore:
      return "store";
    case EvacuationSource::kPeer:
      return "peer";
    case EvacuationSource::kSnapshot:
      return "snapshot";
  }
  return "unknown";
}

auto AdoptEvacuation(Evacuations& state,
                     const Evacuation& record,
                     EvacuationSource source) -> bool {
  if (record.zone.empty()) {
    return false;
  }
  // The record of a peer may be older than the end of its evacuation, which is
  // not remembered any more. The store does not report ended ones.
  if (source != EvacuationSource::kStore &&
      record.version <= state.dropped_version) {
    return false;
  }
  const auto it = state.zones.find(record.zone);
  if (it != state.zones.end() && it->second.version >= record.version) {
    return false;
  }
  state.zones[record.zone] = record;
  DropOldestEnded(state);
  return true;
}

auto UnlistedEvacuations(const Evacuations& state,
                         const std::set<std::string>& listed,
                         uint64_t version) -> std::vector<Evacuation> {
  std::vector<Evacuation> out;
  for (const auto& [zone, it] : state.zones) {
    // The version of the deletion is not known. It lies between that of the row
    // and that of the read; the row can only be written again with a higher
    // one.
    if (it.active && it.version < version && !listed.contains(zone)) {
      out.push_back({.zone = zone, .version = version, .active = false});
    }
  }
  return out;
}

auto IsEvacuated(const Evacuations& state, const std::string& zone) -> bool {
  const auto it = state.zones.find(zone);
  return it != state.zones.end() && it->second.active;
}

auto EvacuatedZones(const Evacuations& state) -> std::set<std::string> {
  std::set<std::string> out;
  for (const auto& [zone, it] : state.zones) {
    if (it.active) {
      out.insert(zone);
    }
  }
  return out;
}

auto ListEvacuations(const Evacuations& state) -> std::vector<Evacuation> {
  std::vector<Evacuation> out;
  out.reserve(state.zones.size());
  for (const auto& [zone, it] : state.zones) {
    out.push_back(it);
  }
  return out;
}

auto GraceForStartedJobs(milliseconds bound) -> milliseconds {
  return std::min(kMaxGrace, bound / kGracePartOfBound);
}

}  // namespace boragecroft
