#include "servers/quota/share_split.h"

#include <algorithm>
#include <numeric>

#include "core/base/random.h"

namespace boragecroft {
namespace {

// Returns the indices 0 to `count` - 1, starting at `salt` and wrapping around.
auto RotatedIndices(size_t count, uint64_t salt) -> std::vector<size_t> {
  std::vector<size_t> indices(count);
  std::iota(indices.begin(), indices.end(), size_t{0});
  if (count > 0) {
    const auto first = static_cast<std::ptrdiff_t>(salt % count);
    std::rotate(indices.begin(), indices.begin() + first, indices.end());
  }
  return indices;
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
  auto remaining = total;
  for (size_t i = 0; i < weights.size(); ++i) {
    const auto product = uint64_t{total} * weights[i];
    parts[i] = static_cast<uint32_t>(product / sum);
    remainders[i] = product % sum;
    remaining -= parts[i];
  }
  auto indices = RotatedIndices(weights.size(), salt);
  std::stable_sort(indices.begin(), indices.end(), [&](size_t a, size_t b) {
    return remainders[a] > remainders[b];
  });
  for (size_t i = 0; i < remaining; ++i) {
    ++parts[indices[i]];
  }
  return parts;
}

auto FillToCaps(uint32_t total,
                const std::vector<uint32_t>& caps,
                uint64_t salt) -> std::vector<uint32_t> {
  auto indices = RotatedIndices(caps.size(), salt);
  // Among equal caps, the later ones get the indivisible tasks, whatever the
  // order of the caps.
  std::stable_sort(indices.begin(), indices.end(),
                   [&](size_t a, size_t b) { return caps[a] < caps[b]; });
  std::vector<uint32_t> parts(caps.size(), 0);
  auto remaining = total;
  auto receivers = static_cast<uint32_t>(caps.size());
  for (const auto it : indices) {
    parts[it] = std::min(caps[it], remaining / receivers);
    remaining -= parts[it];
    --receivers;
  }
  return parts;
}

}  // namespace boragecroft
