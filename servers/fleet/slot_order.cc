#include "servers/fleet/slot_order.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <numeric>

#include "core/base/random.h"

namespace boragecroft {

namespace {

// The low bits of a sort key contain the index of the claim.
constexpr uint64_t kPositionMask = (1U << 24U) - 1;

auto HashName(const std::string& name) -> uint64_t {
  return XXH3_64bits(name.data(), name.size());
}

auto Fingerprint(const std::vector<SharedWorker>& workers,
                 const std::vector<std::string>& instances) -> uint64_t {
  auto result = MixHash(workers.size(), instances.size());
  for (const auto& it : workers) {
    result = MixHash(MixHash(result, HashName(it.name)), it.slots);
  }
  for (const auto& it : instances) {
    result = MixHash(result, HashName(it));
  }
  return result;
}

// Returns the indices sorted by `name_of`, so that the claims do not depend on
// the order of the arguments.
template <class NameOf>
auto OrderByName(size_t size, NameOf name_of) -> std::vector<uint32_t> {
  std::vector<uint32_t> order(size);
  std::iota(order.begin(), order.end(), 0U);
  std::sort(order.begin(), order.end(),
            [&](uint32_t a, uint32_t b) { return name_of(a) < name_of(b); });
  return order;
}

auto ListClaims(const std::vector<SharedWorker>& workers,
                const std::vector<uint32_t>& instance_order)
    -> std::vector<SlotClaim> {
  const auto worker_order = OrderByName(
      workers.size(),
      [&](size_t n) -> const std::string& { return workers[n].name; });
  std::vector<SlotClaim> claims;
  for (const auto w : worker_order) {
    for (uint32_t slot = 0; slot < workers[w].slots; ++slot) {
      for (const auto n : instance_order) {
        claims.push_back({w, slot, n});
      }
    }
  }
  return claims;
}

}  // namespace

auto UpdateSlotOrder(SlotOrder& order,
                     const std::vector<SharedWorker>& workers,
                     const std::vector<std::string>& instances) -> void {
  const auto fingerprint = Fingerprint(workers, instances);
  if (fingerprint == order.fingerprint) {
    return;
  }
  const auto instance_order =
      OrderByName(instances.size(),
                  [&](size_t n) -> const std::string& { return instances[n]; });
  const auto claims = ListClaims(workers, instance_order);
  // Integer keys that combine score and position sort faster than structs.
  std::vector<uint64_t> keys;
  keys.reserve(claims.size());
  for (const auto& it : claims) {
    const auto slot = MixHash(HashName(workers[it.worker].name), it.slot);
    const auto score = MixHash(slot, HashName(instances[it.instance]));
    keys.push_back((score & ~kPositionMask) | keys.size());
  }
  std::sort(keys.begin(), keys.end(), std::greater<>());
  order.fingerprint = fingerprint;
  order.claims.clear();
  for (const auto it : keys) {
    order.claims.push_back(claims[it & kPositionMask]);
  }
}

}  // namespace boragecroft
