#include "servers/ledger/write_budget.h"

#include <algorithm>

namespace boragecroft {
namespace {

constexpr uint32_t kMaxBurst = 16;
// The burst is an instance's share of the table's writes during one eighth of a
// second.
constexpr uint64_t kBurstsPerSecond = 8;

}  // namespace

auto PaceFor(uint32_t instances, uint32_t table_writes_per_second)
    -> WritePace {
  const auto sharing = std::max<uint64_t>(instances, 1);
  const auto writes = std::max<uint64_t>(table_writes_per_second, 1);
  WritePace pace;
  pace.burst = static_cast<uint32_t>(std::clamp<uint64_t>(
      writes / (sharing * kBurstsPerSecond), 1, kMaxBurst));
  const auto window = microseconds(kWriteWindow).count();
  const auto in_window = static_cast<int64_t>(
      writes * static_cast<uint64_t>(kWriteWindow.count()) / sharing);
  const auto left =
      std::max<int64_t>(in_window - static_cast<int64_t>(pace.burst), 0);
  // The divisor is one more than `left`, so that a window holds at most `left`
  // full spacings.
  pace.spacing = microseconds(window / (left + 1) + 1);
  return pace;
}

auto StartBudget(const WritePace& pace, Instant now) -> WriteBudget {
  return WriteBudget{.pace = pace,
                     .full_at = now + pace.spacing * (pace.burst - 1)};
}

auto MayWrite(const WriteBudget& budget, Instant now) -> bool {
  return budget.full_at - now <= budget.pace.spacing * (budget.pace.burst - 1);
}

auto HasSpareWrite(const WriteBudget& budget, Instant now) -> bool {
  const auto burst = static_cast<int64_t>(budget.pace.burst);
  const auto reserved = std::max<int64_t>(burst / 2, 1);
  return budget.full_at - now <= budget.pace.spacing * (burst - 1 - reserved);
}

auto TakeWrite(WriteBudget& budget, Instant now) -> void {
  budget.full_at = std::max(budget.full_at, now) + budget.pace.spacing;
}

}  // namespace boragecroft
