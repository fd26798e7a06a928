// The unused ids that an instance leaves behind when it stops as planned, so
// that its successor knows what was minted, and for whom.
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

// Bounds the row that holds them.
inline constexpr size_t kMaxUnusedRanges = 256;

// Consecutive ids of one partner, minted and expiring together.
struct UnusedRange {
  std::string partner;
  uint64_t first = 0;
  uint64_t last = 0;
  WallTime minted;
  WallTime expires;

  auto operator==(const UnusedRange&) const -> bool = default;
};

struct UnusedIds {
  std::vector<UnusedRange> ranges;  // by rising sequence
  // Older ranges were left out for want of room: of an id minted by then it is
  // not known whether it was among them.
  WallTime dropped_through;

  auto operator==(const UnusedIds&) const -> bool = default;
};

// The ids that are neither used nor expired. Call it once nothing is minted or
// used any more.
auto CollectUnused(const IdMint& mint, const Now& now) -> UnusedIds;

// How an id stands that the stopped instance has no record of. `time` is the
// successor's record time. An id that was left out counts as expired: no
// successor will start it.
auto CheckUnused(const UnusedIds& unused,
                 const JobId& id,
                 std::string_view partner,
                 WallTime time) -> IdStatus;

}  // namespace boragecroft

#endif  // SERVERS_IDENTITY_UNUSED_IDS_H_
