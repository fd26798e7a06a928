#include "servers/ledger/claim.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <optional>
#include <tuple>

#include "tests/servers/ledger/fake_table.h"

namespace boragecroft {
namespace {

struct Caller {
  ClaimAttempt claim;
  std::optional<TableOutcome> outcome;
};

auto Step(FakeTable& table, Caller& caller, Delivery delivery) -> void {
  if (caller.outcome) {
    OnOutcome(caller.claim, *caller.outcome);
    caller.outcome.reset();
  } else if (caller.claim.phase == ClaimPhase::kReadBack) {
    const auto& key = caller.claim.transaction.puts.front().key;
    OnReadBack(caller.claim, Read(table, key));
  } else if (const auto it = NextTransaction(caller.claim)) {
    caller.outcome = Send(table, *it, delivery);
  }
}

RC_GTEST_PROP(ClaimTest, GivesConcurrentCallersTheSameJob, ()) {
  using Steps = std::vector<std::pair<uint8_t, uint8_t>>;
  const auto steps = *rc::gen::resize(200, rc::gen::arbitrary<Steps>());
  FakeTable table;
  std::vector<Caller> callers;
  for (uint64_t n = 0; n < 4; ++n) {
    callers.push_back({.claim = MakeClaim("bank", "run/1", JobId{.sequence = n},
                                          "op" + std::to_string(n))});
  }
  std::optional<JobId> settled;
  const auto check = [&] {
    size_t winners = 0;
    for (const auto& it : callers) {
      winners += it.claim.phase == ClaimPhase::kWon ? 1 : 0;
      if (it.claim.phase == ClaimPhase::kWon ||
          it.claim.phase == ClaimPhase::kLost) {
        settled = settled.value_or(it.claim.job);
        RC_ASSERT(it.claim.job == *settled);
      }
    }
    RC_ASSERT(winners <= 1U);
  };
  for (const auto& [a, b] : steps) {
    if (a % 8 == 0 && !table.late.empty()) {
      Release(table, b % table.late.size());
    } else {
      Step(table, callers[a % callers.size()], static_cast<Delivery>(b % 5));
    }
    check();
  }
  for (auto n = 0; n < 40; ++n) {
    Step(table, callers[n % callers.size()], Delivery::kAnswered);
  }
  check();
  for (const auto& it : callers) {
    RC_ASSERT((it.claim.phase == ClaimPhase::kWon ||
               it.claim.phase == ClaimPhase::kLost));
  }
}

TEST(ClaimOnUnreadableRowTest, EndsAsUnreadable) {
  auto claim = MakeClaim("bank", "k", JobId{}, "op");
  const auto sent = NextTransaction(claim);
  OnOutcome(claim, {.operation_id = "op", .kind = TableOutcomeKind::kConflict});
  OnReadBack(claim,
             {.key = sent->puts.front().key, .version = 1, .value = "{"});
  EXPECT_EQ(claim.phase, ClaimPhase::kUnreadable);
}

}  // namespace
}  // namespace boragecroft
