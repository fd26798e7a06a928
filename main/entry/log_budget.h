// Limits the log lines about single requests: under load, writing all of them
// would cost more than serving the requests.
#ifndef MAIN_ENTRY_LOG_BUDGET_H_
#define MAIN_ENTRY_LOG_BUDGET_H_

#include <cstdint>

#include "core/base/clock.h"

namespace boragecroft {

// A line costs about 20 us of processor time on a quarter of a core, so 40
// lines a second use less than 0.4 % of it.
inline constexpr uint32_t kLinesPerSecond = 40;

struct LogBudget {
  uint32_t lines_per_second = kLinesPerSecond;
  Instant second_began;
  uint32_t written = 0;
  uint64_t dropped = 0;  // in the current second
};

// Reports whether one more line may be written now, and counts it. Logs the
// number of dropped lines at most once a second.
auto MayLog(LogBudget& budget, Instant now) -> bool;

}  // namespace boragecroft

#endif  // MAIN_ENTRY_LOG_BUDGET_H_
