#include "servers/scheduling/retry_advice.h"

#include <algorithm>
#include <cmath>

namespace boragecroft {
namespace {

// Callers receive whole seconds (Retry-After), so no wait is shorter than 1 s.
constexpr milliseconds kMinWait{1000};
// Retries are spread over at least this time, because refusals come in bursts.
constexpr milliseconds kMinSpread{2000};
// Upper bound of the wait, far longer than bursts are known to last.
constexpr milliseconds kMaxWait{15'000};
// Share of the group's slots that is reserved for retries. 3, 5, 10, 20 and 40
// % were tried on replayed bursts, not all with the same spread: with a smaller
// share more of the retries are served, but they wait longer.
constexpr int64_t kRetrySharePercent = 5;
// The fractional parts of the multiples of the golden ratio fill any span
// evenly, and consecutive ones lie far apart.
constexpr double kGoldenRatio = 0.6180339887498949;

}  // namespace

auto AdviseRetry(RetryAdvice& advice,
                 microseconds work,
                 uint32_t slots,
                 Instant now) -> milliseconds {
  const auto reserved_share = std::max<int64_t>(1, slots) * kRetrySharePercent;
  advice.reserved_until =
      std::max(advice.reserved_until, now) + work * 100 / reserved_share;
  advice.reserved_until =
      std::min(advice.reserved_until, now + kMaxWait - kMinWait);
  const auto spread =
      std::max(microseconds(kMinSpread), advice.reserved_until - now);
  advice.spread_position =
      std::fmod(advice.spread_position + kGoldenRatio, 1.0);
  const auto part =
      static_cast<double>(spread.count()) * advice.spread_position;
  return kMinWait + std::chrono::duration_cast<milliseconds>(
                        microseconds(static_cast<int64_t>(part)));
}

}  // namespace boragecroft
