// Exact integer division of a number of tasks: by weights, and up to caps.
#ifndef SERVERS_QUOTA_SHARE_SPLIT_H_
#define SERVERS_QUOTA_SHARE_SPLIT_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace boragecroft {

// Spreads the odd tasks of different teams over different receivers; the same
// in every process.
auto SplitSalt(std::string_view team) -> uint64_t;

// Splits `total` in proportion to the weights by largest remainder; equal
// remainders are ranked by position, starting at `salt`. The parts add up to
// `total` exactly, or to 0 when no weight is positive.
auto SplitByWeight(uint32_t total,
                   const std::vector<uint32_t>& weights,
                   uint64_t salt) -> std::vector<uint32_t>;

// Max-min fair (water-filling) division: each part is at most its cap, and no
// part could grow but at the cost of a smaller one. The parts add up to `total`
// or to the sum of the caps, whichever is less.
auto FillToCaps(uint32_t total,
                const std::vector<uint32_t>& caps,
                uint64_t salt) -> std::vector<uint32_t>;

}  // namespace boragecroft

#endif  // SERVERS_QUOTA_SHARE_SPLIT_H_
