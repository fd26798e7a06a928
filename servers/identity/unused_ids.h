// Lists the ids that an instance has minted but not used when it stops as
// planned, so that its successor knows what was minted and for which partner.
#ifndef SERVERS_IDENTITY_UNUSED_IDS_H_
#define SERVERS_IDENTITY_UNUSED_IDS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "servers/identity/id_mint.h"

namespace boragecroft {

// Limits the size of the row that holds the ranges.
inline constexpr size_t kMaxUnusedRanges = 256;

// Consecutive ids of one partner that have the same minted and expiry times.
struct UnusedRange {
  std::string partner;
  uint64_t first = 0;
  uint64_t last = 0;
  WallTime minted;
  WallTime expires;

  auto operator==(const UnusedRange&) const -> bool = default;
};

struct UnusedIds {
  std::vector<UnusedRange> ranges;  // ordered by sequence
  // Older ranges were omitted to keep within kMaxUnusedRanges. For an id minted
  // up to this time it is unknown whether it was in one of them.
  WallTime dropped_through;

  auto operator==(const UnusedIds&) const -> bool = default;
};

// Returns the ids that are neither used nor expired. Must be called after the
// last minting and the last use of an id.
auto CollectUnused(const IdMint& mint, const Now& now) -> UnusedIds;

// Returns the status of an id of which the stopped instance has no record.
// `time` is the successor's record time. An id that may have been omitted
// counts as expired: no successor will start it.
auto CheckUnused(const UnusedIds& unused,
                 const JobId& id,
                 std::string_view partner,
                 WallTime time) -> IdStatus;

}  // namespace boragecroft

#endif  // SERVERS_IDENTITY_UNUSED_IDS_H_
