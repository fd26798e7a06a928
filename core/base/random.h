// Random numbers. Decisions get a generator as an argument so that tests can
// fix its seed.
#ifndef CORE_BASE_RANDOM_H_
#define CORE_BASE_RANDOM_H_

#include <cstdint>
#include <random>

namespace boragecroft {

using Random = std::mt19937_64;

// 64 bits from the system's entropy source: for incarnations and operation ids.
auto DrawEntropy() -> uint64_t;

// A number from 0 to `bound` - 1; `bound` must be positive.
auto DrawBelow(Random& random, uint64_t bound) -> uint64_t;

// Mixes two words into one that is spread evenly: the score of rendezvous
// hashing.
auto MixHash(uint64_t a, uint64_t b) -> uint64_t;

}  // namespace boragecroft

#endif  // CORE_BASE_RANDOM_H_
