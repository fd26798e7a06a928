// Random numbers. Code that makes decisions receives a generator as an
// argument, so that tests can fix its seed.
#ifndef CORE_BASE_RANDOM_H_
#define CORE_BASE_RANDOM_H_

#include <cstdint>
#include <random>

namespace boragecroft {

using Random = std::mt19937_64;

// Returns 64 bits from the system's entropy source, for incarnations and
// operation ids.
auto DrawEntropy() -> uint64_t;

// Returns a uniformly distributed number from 0 to `bound` - 1. `bound` must be
// positive.
auto DrawBelow(Random& random, uint64_t bound) -> uint64_t;

// Returns an evenly distributed hash of two words. It is the score in
// rendezvous hashing.
auto MixHash(uint64_t a, uint64_t b) -> uint64_t;

}  // namespace boragecroft

#endif  // CORE_BASE_RANDOM_H_
