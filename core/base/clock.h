// The daemon's clocks: a boot-time clock that also counts the time for which
// the machine is suspended, and wall time for records.
#ifndef CORE_BASE_CLOCK_H_
#define CORE_BASE_CLOCK_H_

#include <chrono>

namespace boragecroft {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Monotonic clock that keeps counting while the machine is suspended.
struct BootClock {
  using duration = microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  // NOLINTNEXTLINE(readability-identifier-naming): required by the standard.
  static constexpr bool is_steady = true;
  static auto now() -> time_point;
};

using Instant = BootClock::time_point;
using WallTime = std::chrono::sys_time<milliseconds>;

// One reading of both clocks. Code that makes decisions receives it as an
// argument and never reads a clock itself.
struct Now {
  Instant boot;
  WallTime wall;
};

// Reads both clocks.
auto ReadClocks() -> Now;

}  // namespace boragecroft

#endif  // CORE_BASE_CLOCK_H_
