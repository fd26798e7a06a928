#include "servers/ledger/write_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>
#include <tuple>
#include <vector>

#include "servers/ledger/ledger_writer.h"
#include "tests/servers/ledger/fake_table.h"

namespace boragecroft {
namespace {

constexpr uint32_t kTableWrites = 300;

// Returns the largest number of writes in any period of length `stretch`.
auto MostWithin(const std::vector<Instant>& writes, microseconds stretch)
    -> size_t {
  size_t most = 0;
  size_t first = 0;
  for (size_t last = 0; last < writes.size(); ++last) {
    while (writes[last] - writes[first] > stretch) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

TEST(WriteBudgetTest, KeepsAllInstancesWithinTableWriteLimit) {
  const auto in_window =
      kTableWrites * static_cast<uint64_t>(kWriteWindow.count());
  for (uint32_t n = 1; n <= in_window; ++n) {
    const auto pace = PaceFor(n, kTableWrites);
    const auto refilled =
        static_cast<uint64_t>(microseconds(kWriteWindow) / pace.spacing);
    ASSERT_LE(n * (pace.burst + refilled), in_window) << n;
    // A single second may also contain the bursts, which still adds up to
    // several hundred writes.
    if (n <= 100) {
      const auto in_second = microseconds(seconds(1)) / pace.spacing;
      ASSERT_LE(n * (pace.burst + in_second), 400U) << n;
    }
  }
  EXPECT_EQ(PaceFor(8, kTableWrites).burst, 4U);
  EXPECT_EQ(PaceFor(98, kTableWrites).burst, 1U);
}

// A writer must keep within its pace whatever is added at whatever time,
// however long the table takes to answer and even when its answers are lost.
RC_GTEST_PROP(WriteBudgetTest, IsNeverExceededUnderAnyLoad, ()) {
  using Steps = std::vector<std::tuple<uint8_t, uint8_t, uint8_t>>;
  const auto instances = *rc::gen::inRange<uint32_t>(1, 120);
  const auto steps = *rc::gen::resize(600, rc::gen::arbitrary<Steps>());
  const auto pace = PaceFor(instances, kTableWrites);
  Now now{.boot = Instant(seconds(9)), .wall = WallTime(seconds(99))};
  FakeTable table;
  auto writer = MakeLedgerWriter({.pace = pace}, {.incarnation = {0xA}}, now);
  const auto settle = [&](Delivery delivery) {
    const auto transaction = NextTransaction(writer, now);
    return transaction
               ? OnOutcome(writer, Send(table, *transaction, delivery), now)
               : LedgerEvents();
  };
  RC_ASSERT(settle(Delivery::kAnswered).opened);
  std::vector<Instant> writes;
  std::optional<TableTransaction> open;
  uint64_t sequence = 0;
  for (const auto& [kind, urgency, pause] : steps) {
    // Entries arrive in quick succession, with occasional long pauses.
    now.boot += milliseconds(pause % 16 == 0 ? pause * 8 : pause % 4);
    Add(writer,
        FinalEntry{.job = {.incarnation = {0xA}, .sequence = ++sequence}},
        static_cast<Urgency>(urgency % 3), now);
    if (open && kind % 2 == 0) {
      const auto delivery =
          kind % 32 == 0 ? Delivery::kLost : Delivery::kAnswered;
      OnOutcome(writer, Send(table, *open, delivery), now);
      open.reset();
    }
    if (!open) {
      open = NextTransaction(writer, now);
      if (open) {
        writes.push_back(now.boot);
      }
    }
  }
  for (const auto& it :
       {milliseconds(100), milliseconds(1000), milliseconds(kWriteWindow)}) {
    RC_ASSERT(MostWithin(writes, it) <=
              pace.burst + static_cast<size_t>(it / pace.spacing));
  }
}

}  // namespace
}  // namespace boragecroft
