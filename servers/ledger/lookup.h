// Reads one job's record from the ledger: which rows to scan, and when enough
// was read.
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

// How far after its minting an id can have entries.
struct LookupBounds {
  milliseconds id_term{};
  milliseconds max_deadline{};
  // Lease, span of a segment and differences between clocks.
  milliseconds slack = std::chrono::minutes(2);
  uint32_t page_rows = 16;
};

// Which range of a ledger to read for an id.
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
  bool reads_addenda = false;  // the segments are read
  bool done = false;
  // A row could not be read: written by a newer version, or damaged.
  bool unreadable = false;
};

// `ledger` is the incarnation whose ledger is read: the id's own, or a
// successor.
auto PlanLookup(Incarnation ledger,
                const JobId& job,
                const LookupBounds& bounds) -> LookupPlan;
// `row` is the incarnation's row, read just before; empty when absent.
auto BeginLookup(Incarnation ledger,
                 const JobId& job,
                 std::optional<IncarnationRow> row,
                 const LookupBounds& bounds) -> Lookup;
// The next page to read; empty when enough was read.
auto NextScan(const Lookup& lookup) -> std::optional<TableScan>;
auto OnScanned(Lookup& lookup, const std::vector<TableRow>& rows) -> void;
// The answer once NextScan is empty. Undecided when a row was unreadable: what
// it holds may change the answer.
auto AnswerOf(const Lookup& lookup) -> JobAnswer;

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_LOOKUP_H_
