// Reads the record of one job from the ledger: decides which rows to scan and
// when enough rows have been read.
#ifndef SERVERS_LEDGER_LOOKUP_H_
#define SERVERS_LEDGER_LOOKUP_H_

#include <optional>
#include <string>
#include <vector>

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "servers/ledger/job_record.h"
#include "servers/ledger/table.h"

namespace boragecroft {

// Limits that determine how long after its minting an id can have entries.
struct LookupBounds {
  milliseconds id_term{};
  milliseconds max_deadline{};
  // Margin for the lease, the time span of a segment and differences between
  // clocks.
  milliseconds slack = std::chrono::minutes(2);
  uint32_t page_rows = 16;
};

// The range of a ledger's keys to read for an id.
struct LookupPlan {
  std::string prefix;
  std::string after;  // exclusive
  std::string last;   // inclusive
};

struct Lookup {
  Incarnation ledger;
  LookupBounds bounds;
  std::optional<IncarnationRow> row;
  LookupPlan plan;
  JobRecord record;
  bool reads_addenda = false;  // set once all segments are read
  bool done = false;
  // True when a row could not be parsed, because a newer version wrote it or
  // because it is damaged.
  bool unreadable = false;
};

// Returns the keys to read. `ledger` is the incarnation whose ledger is read:
// the one that minted the id, or a successor.
auto PlanLookup(Incarnation ledger,
                const JobId& job,
                const LookupBounds& bounds) -> LookupPlan;
// Returns a lookup that has read nothing yet. `row` is the incarnation's row,
// which must have been read just before, or empty when absent.
auto BeginLookup(Incarnation ledger,
                 const JobId& job,
                 std::optional<IncarnationRow> row,
                 const LookupBounds& bounds) -> Lookup;
// Returns the next page to read, or empty when enough was read.
auto NextScan(const Lookup& lookup) -> std::optional<TableScan>;
auto OnScanned(Lookup& lookup, const std::vector<TableRow>& rows) -> void;
// Returns the answer; valid once NextScan returns empty. The answer is
// undecided when a row was unreadable, since its content could change the
// answer.
auto AnswerOf(const Lookup& lookup) -> JobAnswer;

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_LOOKUP_H_
