#include "core/base/clock.h"

#include <ctime>

namespace boragecroft {

auto BootClock::now() -> time_point {
  timespec spec{};
  clock_gettime(CLOCK_BOOTTIME, &spec);
  const auto since_boot = std::chrono::seconds(spec.tv_sec) +
                          std::chrono::nanoseconds(spec.tv_nsec);
  return time_point(std::chrono::duration_cast<microseconds>(since_boot));
}

auto ReadClocks() -> Now {
  const auto wall = std::chrono::time_point_cast<milliseconds>(
      std::chrono::system_clock::now());
  return Now{.boot = BootClock::now(), .wall = wall};
}

}  // namespace boragecroft
