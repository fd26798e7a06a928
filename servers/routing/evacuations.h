// Keeps which availability zones an operator has evacuated.
//
// Records reach an instance from several sources and in any order. The store's
// version decides which of two records of one zone holds, so that instances
// which have received the same records agree, and no zone goes back to an
// earlier state.
#ifndef SERVERS_ROUTING_EVACUATIONS_H_
#define SERVERS_ROUTING_EVACUATIONS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/base/clock.h"

namespace boragecroft {

// Number of ended evacuations that are remembered, so that a late message of a
// peer can't start one of them again. Each takes some 30 bytes of every
// heartbeat.
inline constexpr size_t kMaxEndedEvacuations = 64;

// State of one zone as of a version of the store.
struct Evacuation {
  std::string zone;      // never empty
  uint64_t version = 0;  // of the operator's row or of its deletion
  bool active = false;   // set while the row exists

  auto operator==(const Evacuation&) const -> bool = default;
};

struct Evacuations {
  std::map<std::string, Evacuation> zones;
  // Highest version of the ended evacuations that are no longer remembered; 0
  // when none was dropped.
  uint64_t dropped_version = 0;

  auto operator==(const Evacuations&) const -> bool = default;
};

enum class EvacuationSource : uint8_t {
  kStore,
  kPeer,      // a heartbeat
  kSnapshot,  // the snapshot that a starting instance requested
};

// Returns the name of a source as used in logs.
auto SourceName(EvacuationSource source) -> const char*;

// Adopts the record if it is newer than the known one of its zone. Returns
// whether the known record changed.
auto AdoptEvacuation(Evacuations& state,
                     const Evacuation& record,
                     EvacuationSource source) -> bool;

// Returns the records that end the evacuations which the store no longer lists:
// the active ones up to `version` whose zone is not in `listed`, the zones that
// a complete read of the operator's rows at `version` has found. Their
// deletions were not reported one by one.
auto UnlistedEvacuations(const Evacuations& state,
                         const std::set<std::string>& listed,
                         uint64_t version) -> std::vector<Evacuation>;

auto IsEvacuated(const Evacuations& state, const std::string& zone) -> bool;

// Returns the zones that are evacuated.
auto EvacuatedZones(const Evacuations& state) -> std::set<std::string>;

// Returns all records, for peers.
auto ListEvacuations(const Evacuations& state) -> std::vector<Evacuation>;

// Returns for how long a holder may still start tasks of jobs that have begun,
// measured from the time at which it learned of the evacuation. `bound` is the
// time from the store's acknowledgement within which starts must have ended; 0
// when it is not known.
auto GraceForStartedJobs(milliseconds bound) -> milliseconds;

}  // namespace boragecroft

#endif  // SERVERS_ROUTING_EVACUATIONS_H_
