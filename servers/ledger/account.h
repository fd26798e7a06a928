// Computes the totals of each partner and period from the ledger of one
// incarnation, for reconciliation with the partners' own accounts. Each id is
// counted once.
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
  uint64_t submissions = 0;  // sum of done, failed, refused and undecided
  uint64_t done = 0;
  uint64_t failed = 0;
  uint64_t refused = 0;
  uint64_t undecided = 0;  // only in an open ledger: the owner may still decide

  // Tasks of done and failed submissions. The tasks of a submission whose owner
  // was fenced are counted as the owner's addendum reports them.
  uint64_t tasks_done = 0;
  uint64_t tasks_failed = 0;
  uint64_t tasks_not_run = 0;
  uint64_t tasks_may_have_run = 0;
  // Submissions that were answered as failed and that an addendum shows as
  // done.
  uint64_t done_after_all = 0;

  auto operator==(const AccountTotals&) const -> bool = default;
};

struct AccountLine {
  std::string partner;
  // A job counts in the period in which it finished or, without a final entry,
  // in which it was accepted. A refusal counts in the period of its segment.
  WallTime period_start;
  AccountTotals totals;

  auto operator==(const AccountLine&) const -> bool = default;
};

// The entries of one incarnation, collected from its rows. Results are not
// kept.
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

// Adds a segment whose key has the time `time`. Segments must be added in the
// order of their keys.
auto AddSegment(IncarnationAccount& account,
                const LedgerSegment& segment,
                WallTime time) -> void;
// Adds an addendum. Addenda must be added after all segments. Their refusals
// count at `time`.
auto AddAddendum(IncarnationAccount& account,
                 const LedgerSegment& addendum,
                 WallTime time) -> void;
// Returns the totals by partner and period, ordered by both. `row` must have
// been read before the segments and is empty when absent. `period` must be
// positive.
auto TotalsOf(const IncarnationAccount& account,
              const std::optional<IncarnationRow>& row,
              milliseconds period) -> std::vector<AccountLine>;

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_ACCOUNT_H_
