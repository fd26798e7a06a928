// Implements a set of sequence numbers as sorted closed ranges that neither
// overlap nor adjoin.
#ifndef SERVERS_IDENTITY_SEQUENCE_RANGES_H_
#define SERVERS_IDENTITY_SEQUENCE_RANGES_H_

#include <cstdint>
#include <vector>

namespace boragecroft {

// A closed range of sequence numbers.
struct SequenceRange {
  uint64_t first = 0;
  uint64_t last = 0;

  auto operator==(const SequenceRange&) const -> bool = default;
};

using SequenceRanges = std::vector<SequenceRange>;

auto Contains(const SequenceRanges& ranges, uint64_t sequence) -> bool;
// Adds each number of `added` and returns how many of them were new.
auto Insert(SequenceRanges& ranges, SequenceRange added) -> uint64_t;
auto CountOf(const SequenceRanges& ranges) -> uint64_t;

}  // namespace boragecroft

#endif  // SERVERS_IDENTITY_SEQUENCE_RANGES_H_
