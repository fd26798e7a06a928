#include "core/base/random.h"

namespace boragecroft {

auto DrawEntropy() -> uint64_t {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32U) | device();
}

auto DrawBelow(Random& random, uint64_t bound) -> uint64_t {
  return std::uniform_int_distribution<uint64_t>(0, bound - 1)(random);
}

auto MixHash(uint64_t a, uint64_t b) -> uint64_t {
  auto mixed = a + 0x9E3779B97F4A7C15ULL * (b + 1);
  mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31U);
}

}  // namespace boragecroft
