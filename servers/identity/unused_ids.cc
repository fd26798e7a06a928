#include "servers/identity/unused_ids.h"

#include <algorithm>

#include "servers/identity/record_clock.h"

namespace boragecroft {
namespace {

auto Continues(const UnusedRange& range, const UnusedRange& next) -> bool {
  return range.last + 1 == next.first && range.partner == next.partner &&
         range.minted == next.minted && range.expires == next.expires;
}

auto Append(std::vector<UnusedRange>& ranges, UnusedRange next) -> void {
  if (!ranges.empty() && Continues(ranges.back(), next)) {
    ranges.back().last = next.last;
    return;
  }
  ranges.push_back(std::move(next));
}

// Appends the gaps between the used ids of a batch.
auto AppendUnused(std::vector<UnusedRange>& ranges, const IdBatch& batch)
    -> void {
  const auto end = batch.first + batch.count;
  UnusedRange range;
  range.partner = batch.partner;
  range.minted = batch.minted;
  range.expires = batch.expires;
  range.first = batch.first;
  for (const auto& it : batch.used) {
    if (it.first > range.first) {
      range.last = it.first - 1;
      Append(ranges, range);
    }
    range.first = it.last + 1;
  }
  if (range.first < end) {
    range.last = end - 1;
    Append(ranges, range);
  }
}

}  // namespace

auto CollectUnused(const IdMint& mint, const Now& now) -> UnusedIds {
  UnusedIds unused;
  const auto time = RecordTime(mint.started, now);
  for (const auto& it : mint.batches) {
    if (time <= it.expires) {
      AppendUnused(unused.ranges, it);
    }
  }
  if (unused.ranges.size() > kMaxUnusedRanges) {
    const auto kept = unused.ranges.end() - kMaxUnusedRanges;
    unused.dropped_through = (kept - 1)->minted;
    unused.ranges.erase(unused.ranges.begin(), kept);
  }
  return unused;
}

auto CheckUnused(const UnusedIds& unused,
                 const JobId& id,
                 std::string_view partner,
                 WallTime time) -> IdStatus {
  const auto it = std::partition_point(
      unused.ranges.begin(), unused.ranges.end(),
      [&](const UnusedRange& range) { return range.last < id.sequence; });
  if (it == unused.ranges.end() || it->first > id.sequence ||
      it->minted != id.minted) {
    return id.minted <= unused.dropped_through ? IdStatus::kExpired
                                               : IdStatus::kNotMinted;
  }
  if (it->partner != partner) {
    return IdStatus::kWrongPartner;
  }
  return time > it->expires ? IdStatus::kExpired : IdStatus::kFresh;
}

}  // namespace boragecroft
