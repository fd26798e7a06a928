// Paces an instance's writes to the platform's table: a token bucket. Writes
// that were not needed are saved up to a small burst, so that an entry which
// someone waits for seldom waits for its turn.
#ifndef SERVERS_LEDGER_WRITE_BUDGET_H_
#define SERVERS_LEDGER_WRITE_BUDGET_H_

#include <cstdint>

#include "core/base/clock.h"

namespace boragecroft {

// One instance makes at most `burst` writes and one more for each full
// `spacing` in any stretch of time.
struct WritePace {
  microseconds spacing = milliseconds(330);
  uint32_t burst = 1;
};

// All instances together stay within the table's writes in any stretch of this
// length.
inline constexpr seconds kWriteWindow{10};

// The pace by which `instances` share the table's writes evenly.
auto PaceFor(uint32_t instances, uint32_t table_writes_per_second) -> WritePace;

struct WriteBudget {
  WritePace pace;
  Instant full_at;  // when as many writes as the burst may follow each other
};

// The budget of an instance that just started: its first write waits for
// nothing, the others for their spacing, so that restarts gain no writes.
auto StartBudget(const WritePace& pace, Instant now) -> WriteBudget;

auto MayWrite(const WriteBudget& budget, Instant now) -> bool;
// Whether a write would leave half of the burst to entries that are more
// urgent. Without a burst, whether a write was left out.
auto HasSpareWrite(const WriteBudget& budget, Instant now) -> bool;
auto TakeWrite(WriteBudget& budget, Instant now) -> void;

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_WRITE_BUDGET_H_
