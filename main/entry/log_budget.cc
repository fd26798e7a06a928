#include "main/entry/log_budget.h"

#include "core/log/log.h"

namespace boragecroft {
auto MayLog(LogBudget& budget, Instant now) -> bool {
  if (now - budget.second_began >= seconds(1)) {
    if (budget.dropped > 0) {
      Log(LogLevel::kWarning, "log_lines_dropped", {{"lines", budget.dropped}});
    }
    budget.second_began = now;
    budget.written = 0;
    budget.dropped = 0;
  }
  if (budget.written >= budget.lines_per_second) {
    ++budget.dropped;
    return false;
  }
  ++budget.written;
  return true;
}

}  // namespace boragecroft
