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
// Room that is kept for returns, in percent. In replayed bursts 10 and 20 let
// fewer returns find room, 3 made callers wait a second longer.
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
