// Totals of each partner and period from the ledger of one incarnation, for
// reconciliation with the partners' own books. Each id counts once.
#ifndef SERVERS_LEDGER_ACCOUNT_H_
#define SERVERS_LEDGER_ACCOUNT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "servers/ledger/incarnation_row.h"
#include "servers/ledger/job_record.h"
#include "servers/ledger/segment.h"

namespace boragecroft {

struct AccountTotals {
  uint64_t submissions = 0;  // the sum of the next four
  uint64_t done = 0;
  uint64_t failed = 0;
  uint64_t refused = 0;
  uint64_t undecided = 0;  // of an open ledger: the owner may still decide

  // Tasks of done and failed submissions. Those of a submission whose owner
  // was deposed are counted as the owner's addendum says.
  uint64_t tasks_done = 0;
  uint64_t tasks_failed = 0;
  uint64_t tasks_not_run = 0;
  uint64_t tasks_may_have_run = 0;
  // Submissions answered as failed that the addendum shows as done.
  uint64_t done_after_all = 0;

  auto operator==(const AccountTotals&) const -> bool = default;
};

struct AccountLine {
  std::string partner;
  // A job counts in the period in which it was finished, or, without a final
  // entry, accepted; a refusal in that of its segment.
  WallTime period_start;
  AccountTotals totals;

  auto operator==(const AccountLine&) const -> bool = default;
};

// Collects the rows of one incarnation; results are not kept.
struct IncarnationAccount {
  std::unordered_map<JobId, JobRecord> jobs;

  struct RefusedIds {
    Incarnation incarnation;
    SequenceRanges ranges;
  };
  std::vector<RefusedIds> refused_ids;

  struct RefusedCount {
    std::string partner;
    WallTime time;
    uint64_t count = 0;
  };
  std::vector<RefusedCount> refused;
};

// Adds a segment, in the order of keys; `time` is that of its key.
auto AddSegment(IncarnationAccount& account,
                const LedgerSegment& segment,
                WallTime time) -> void;
// Adds an addendum, after all segments; its refusals count at `time`.
auto AddAddendum(IncarnationAccount& account,
                 const LedgerSegment& addendum,
                 WallTime time) -> void;
// The totals by partner and period, ordered by both. `row` was read before the
// segments; empty when absent. `period` must be positive.
auto TotalsOf(const IncarnationAccount& account,
              const std::optional<IncarnationRow>& row,
              milliseconds period) -> std::vector<AccountLine>;

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_ACCOUNT_H_
