// Bounds the log lines about single requests: under load they would cost more
// than the work.
#ifndef MAIN_ENTRY_LOG_BUDGET_H_
#define MAIN_ENTRY_LOG_BUDGET_H_

#include <cstdint>

#include "core/base/clock.h"

namespace boragecroft {

// A line costs about 20 us of a quarter of a core: 40 a second under 0.4 %.
inline constexpr uint32_t kLinesPerSecond = 40;

struct LogBudget {
  uint32_t lines_per_second = kLinesPerSecond;
  Instant second_began;
  uint32_t written = 0;
  uint64_t dropped = 0;  // in this second
};

// True when one more line may be written now. Reports what was dropped once a
// second.
auto MayLog(LogBudget& budget, Instant now) -> bool;

}  // namespace boragecroft

#endif  // MAIN_ENTRY_LOG_BUDGET_H_
