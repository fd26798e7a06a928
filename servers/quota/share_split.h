// Divides a number of tasks into integer parts, by weights or up to caps.
#ifndef SERVERS_QUOTA_SHARE_SPLIT_H_
#define SERVERS_QUOTA_SHARE_SPLIT_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace boragecroft {

// Returns a salt that gives the indivisible tasks of different teams to
// different receivers. The salt is the same in every process.
auto SplitSalt(std::string_view team) -> uint64_t;

// Splits `total` in proportion to the weights by the largest-remainder method;
// equal remainders are ranked by position, starting at `salt`. The parts sum up
// to exactly `total`, or to 0 if no weight is positive.
auto SplitByWeight(uint32_t total,
                   const std::vector<uint32_t>& weights,
                   uint64_t salt) -> std::vector<uint32_t>;

// Divides `total` by max-min fairness (water-filling): each part is at most its
// cap, and no part could grow except at the cost of a smaller one. The parts
// sum up to `total` or to the sum of the caps, whichever is less.
auto FillToCaps(uint32_t total,
                const std::vector<uint32_t>& caps,
                uint64_t salt) -> std::vector<uint32_t>;

}  // namespace boragecroft

#endif  // SERVERS_QUOTA_SHARE_SPLIT_H_
