#include "servers/scheduling/retry_advice.h"

#include <algorithm>
#include <cmath>

namespace boragecroft {
namespace {

// Callers are told whole seconds, so nothing below one.
constexpr milliseconds kMinWait{1000};
// Returns are spread over at least this time: refusals come in clumps.
constexpr milliseconds kMinSpread{2000};
// Nobody is told to wait longer than bursts are known to last, by far.
constexpr milliseconds kMaxWait{15'000};
// Room that is kept for returns, in percent. Tried 3, 5, 10, 20 and 40 on
// replayed bursts, not all with the same spread: less is served more surely
// and waits longer.
constexpr int64_t kRetrySharePercent = 5;
// The golden section: its multiples fill any span evenly, and neighbours lie
// far apart.
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
