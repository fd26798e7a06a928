#include "servers/identity/sequence_ranges.h"

#include <algorithm>

namespace boragecroft {
namespace {

auto SizeOf(const SequenceRange& range) -> uint64_t {
  return range.last - range.first + 1;
}

}  // namespace

auto Contains(const SequenceRanges& ranges, uint64_t sequence) -> bool {
  const auto it = std::partition_point(
      ranges.begin(), ranges.end(),
      [&](const SequenceRange& range) { return range.last < sequence; });
  return it != ranges.end() && it->first <= sequence;
}

auto Insert(SequenceRanges& ranges, SequenceRange added) -> uint64_t {
  const auto begin = std::partition_point(
      ranges.begin(), ranges.end(), [&](const SequenceRange& range) {
        return range.last < added.first && added.first - range.last > 1;
      });
  auto merged = added;
  uint64_t present = 0;
  auto end = begin;
  while (end != ranges.end() &&
         (end->first <= added.last || end->first - added.last == 1)) {
    merged.first = std::min(merged.first, end->first);
    merged.last = std::max(merged.last, end->last);
    present += SizeOf(*end);
    ++end;
  }
  const auto inserted = SizeOf(merged) - present;
  if (begin == end) {
    ranges.insert(begin, merged);
    return inserted;
  }
  *begin = merged;
  ranges.erase(begin + 1, end);
  return inserted;
}

auto CountOf(const SequenceRanges& ranges) -> uint64_t {
  uint64_t count = 0;
  for (const auto& it : ranges) {
    count += SizeOf(it);
  }
  return count;
}

}  // namespace boragecroft
