#include "servers/quota/share_split.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>

namespace boragecroft {
namespace {

auto Total(const std::vector<uint32_t>& parts) -> uint64_t {
  return std::accumulate(parts.begin(), parts.end(), uint64_t{0});
}

RC_GTEST_PROP(SplitByWeightTest,
              AddsUpExactlyAndEachPartIsItsShareRounded,
              (uint32_t total, uint64_t salt)) {
  const auto weights = *rc::gen::nonEmpty<std::vector<uint16_t>>();
  const std::vector<uint32_t> wide(weights.begin(), weights.end());
  const auto sum = Total(wide);
  const auto parts = SplitByWeight(total, wide, salt);
  RC_ASSERT(Total(parts) == (sum == 0 ? 0 : total));
  for (size_t i = 0; i < parts.size() && sum > 0; ++i) {
    const auto share = uint64_t{total} * wide[i] / sum;
    RC_ASSERT(parts[i] == share || parts[i] == share + 1);
  }
}

RC_GTEST_PROP(FillToCapsTest,
              GivesEveryReceiverItsCapOrEqualShare,
              (uint16_t total, uint64_t salt)) {
  const auto drawn = *rc::gen::nonEmpty<std::vector<uint16_t>>();
  const std::vector<uint32_t> caps(drawn.begin(), drawn.end());
  const auto parts = FillToCaps(total, caps, salt);
  RC_ASSERT(Total(parts) == std::min<uint64_t>(total, Total(caps)));
  const auto most = *std::max_element(parts.begin(), parts.end());
  for (size_t i = 0; i < parts.size(); ++i) {
    RC_ASSERT(parts[i] <= caps[i]);
    RC_ASSERT(parts[i] == caps[i] || parts[i] + 1 >= most);
  }
}

}  // namespace
}  // namespace boragecroft
