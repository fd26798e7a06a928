#include "servers/scheduling/return_advice.h"

#include <algorithm>
#include <cmath>

namespace boragecroft {
namespace {

// Callers are told whole seconds, so nothing below one.
constexpr milliseconds kLeastWait{1000};
// Returns are spread over at least this time: refusals come in clumps.
constexpr milliseconds kLeastSpread{2000};
// Nobody is told to wait longer than bursts are known to last, by far.
constexpr milliseconds kMostWait{15'000};
// Room that is kept for returns, in percent. Tried 3, 5, 10, 20 and 40 on
// replayed bursts, not all with the same spread: less is served more surely
// and waits longer.
constexpr int64_t kReturnShare = 5;
// The golden section: its multiples fill any span evenly, and neighbours lie
// far apart.
constexpr double kGolden = 0.6180339887498949;

}  // namespace

auto AdviseReturn(ReturnAdvice& advice,
                  microseconds work,
                  uint32_t places,
                  Instant now) -> milliseconds {
  const auto room = std::max<int64_t>(1, places) * kReturnShare;
  advice.booked = std::max(advice.booked, now) + work * 100 / room;
  advice.booked = std::min(advice.booked, now + kMostWait - kLeastWait);
  const auto spread = std::max(microseconds(kLeastSpread), advice.booked - now);
  advice.turn = std::fmod(advice.turn + kGolden, 1.0);
  const auto part = static_cast<double>(spread.count()) * advice.turn;
  return kLeastWait + std::chrono::duration_cast<milliseconds>(
                          microseconds(static_cast<int64_t>(part)));
}

}  // namespace boragecroft
