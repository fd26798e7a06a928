// Limits the rate of an instance's writes to the platform's table with a token
// bucket. Unused writes are saved up to a small burst, so that an entry for
// which a caller waits is rarely delayed.
#ifndef SERVERS_LEDGER_WRITE_BUDGET_H_
#define SERVERS_LEDGER_WRITE_BUDGET_H_

#include <cstdint>

#include "core/base/clock.h"

namespace boragecroft {

// In any period of time, one instance makes at most `burst` writes plus one for
// each full `spacing` in the period.
struct WritePace {
  microseconds spacing = milliseconds(330);
  uint32_t burst = 1;
};

// All instances together stay within the table's write limit in any period of
// this length.
inline constexpr seconds kWriteWindow{10};

// Returns the pace at which `instances` instances share the table's writes
// evenly.
auto PaceFor(uint32_t instances, uint32_t table_writes_per_second) -> WritePace;

struct WriteBudget {
  WritePace pace;
  Instant full_at;  // when the full burst is available again
};

// Returns the budget of an instance that has just started. Its first write may
// be sent immediately, further ones only after their spacing, so that a restart
// gains no writes.
auto StartBudget(const WritePace& pace, Instant now) -> WriteBudget;

auto MayWrite(const WriteBudget& budget, Instant now) -> bool;
// Reports whether half of the burst remains for more urgent entries after a
// write. Without a burst (a burst of 1) it reports whether a write was left
// unused.
auto HasSpareWrite(const WriteBudget& budget, Instant now) -> bool;
auto TakeWrite(WriteBudget& budget, Instant now) -> void;

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_WRITE_BUDGET_H_
