#include "core/net/connection_pressure.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace boragecroft {
namespace {

using Phase = ConnectionPhase;

auto At(int n) -> Instant {
  return Instant(microseconds(n));
}

auto Use(uint64_t id, Phase phase, int began, size_t held = 0)
    -> ConnectionUse {
  return {
      .id = id, .phase = phase, .phase_began = At(began), .held_bytes = held};
}

// Guards against ordinary callers that lose their connections to a crowd.
TEST(ConnectionPressure, ClosesConnectionsInOrderOfTheirUse) {
  std::vector<ConnectionUse> uses = {
      Use(1, Phase::kIdle, 10),   Use(2, Phase::kInProgress, 1),
      Use(3, Phase::kIdle, 5),    Use(4, Phase::kReading, 7),
      Use(5, Phase::kReading, 6), Use(6, Phase::kWriting, 2),
      Use(7, Phase::kClosing, 9)};
  std::vector<uint64_t> order;
  while (const auto chosen = ChooseForRoom(uses, 0)) {
    order.push_back(*chosen);
    uses.erase(std::find_if(uses.begin(), uses.end(),
                            [&](const auto& it) { return it.id == *chosen; }));
  }
  // Closing, the newest idle, the slowest reading, writing; never the work in
  // progress.
  EXPECT_EQ(order, (std::vector<uint64_t>{7, 3, 1, 5, 4, 6}));
  EXPECT_EQ(uses.size(), 1U);
}

// Guards against closing connections that free no memory.
TEST(ConnectionPressure, FreesMemoryOnlyWhereItIsHeld) {
  const std::vector<ConnectionUse> uses = {Use(1, Phase::kIdle, 1),
                                           Use(2, Phase::kReading, 3, 10),
                                           Use(3, Phase::kReading, 2, 10)};
  EXPECT_EQ(ChooseForMemory(uses, 0), 3U);
  EXPECT_EQ(ChooseForMemory(uses, 3), 2U);
  EXPECT_EQ(ChooseForMemory({uses[0]}, 0), std::nullopt);
}

TEST(ConnectionPressure, NeverClosesWorkInProgressOrTheExemptOne) {
  rc::check([] {
    std::vector<ConnectionUse> uses(*rc::gen::inRange<size_t>(0, 8));
    for (size_t i = 0; i < uses.size(); ++i) {
      uses[i] = Use(i + 1, static_cast<Phase>(*rc::gen::inRange(0, 5)),
                    *rc::gen::inRange(0, 9), *rc::gen::inRange(0U, 2U));
    }
    const auto exempt = *rc::gen::inRange<uint64_t>(0, 9);
    for (const auto chosen :
         {ChooseForRoom(uses, exempt), ChooseForMemory(uses, exempt)}) {
      if (chosen) {
        RC_ASSERT(*chosen != exempt);
        RC_ASSERT(uses[*chosen - 1].phase != Phase::kInProgress);
      }
    }
  });
}

// Guards against listeners that together take every descriptor of the process,
// so that it can neither reach the store nor accept.
TEST(ConnectionPressure, LeavesDescriptorsForOtherUses) {
  for (const size_t n : {64U, 512U, 3075U, 20000U}) {
    const auto counts = DivideDescriptors(n);
    EXPECT_LE(counts.callers + counts.instances + counts.operators, n - n / 8);
  }
  EXPECT_EQ(DivideDescriptors(20000).callers, 4096U);
}

}  // namespace
}  // namespace boragecroft
