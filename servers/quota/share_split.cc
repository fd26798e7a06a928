#include "servers/quota/share_split.h"

#include <algorithm>
#include <numeric>

#include "core/base/random.h"

namespace boragecroft {
namespace {

// Places 0 to `count` - 1, starting at `salt` and wrapping around.
auto RotatedPlaces(size_t count, uint64_t salt) -> std::vector<size_t> {
  std::vector<size_t> places(count);
  std::iota(places.begin(), places.end(), size_t{0});
  if (count > 0) {
    const auto first = static_cast<std::ptrdiff_t>(salt % count);
    std::rotate(places.begin(), places.begin() + first, places.end());
  }
  return places;
}

}  // namespace

auto SplitSalt(std::string_view team) -> uint64_t {
  uint64_t salt = team.size();
  for (const auto it : team) {
    salt = MixHash(salt, static_cast<uint8_t>(it));
  }
  return salt;
}

auto SplitByWeight(uint32_t total,
                   const std::vector<uint32_t>& weights,
                   uint64_t salt) -> std::vector<uint32_t> {
  std::vector<uint32_t> parts(weights.size(), 0);
  const auto sum = std::accumulate(weights.begin(), weights.end(), uint64_t{0});
  if (sum == 0) {
    return parts;
  }
  std::vector<uint64_t> remainders(weights.size(), 0);
  auto left = total;
  for (size_t i = 0; i < weights.size(); ++i) {
    const auto product = uint64_t{total} * weights[i];
    parts[i] = static_cast<uint32_t>(product / sum);
    remainders[i] = product % sum;
    left -= parts[i];
  }
  auto places = RotatedPlaces(weights.size(), salt);
  std::stable_sort(places.begin(), places.end(), [&](size_t a, size_t b) {
    return remainders[a] > remainders[b];
  });
  for (size_t i = 0; i < left; ++i) {
    ++parts[places[i]];
  }
  return parts;
}

auto FillToCaps(uint32_t total,
                const std::vector<uint32_t>& caps,
                uint64_t salt) -> std::vector<uint32_t> {
  auto places = RotatedPlaces(caps.size(), salt);
  // Among equal caps the later ones get the odd tasks, whatever their order.
  std::stable_sort(places.begin(), places.end(),
                   [&](size_t a, size_t b) { return caps[a] < caps[b]; });
  std::vector<uint32_t> parts(caps.size(), 0);
  auto left = total;
  auto receivers = static_cast<uint32_t>(caps.size());
  for (const auto it : places) {
    parts[it] = std::min(caps[it], left / receivers);
    left -= parts[it];
    --receivers;
  }
  return parts;
}

}  // namespace boragecroft
