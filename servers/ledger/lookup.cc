#include "servers/ledger/lookup.h"

#include <algorithm>
#include <utility>

#include "servers/ledger/keys.h"

namespace boragecroft {
namespace {

auto IsClosed(const Lookup& lookup) -> bool {
  return lookup.row && lookup.row->closed;
}

// Continues with the addenda. They matter only when the ledger is closed and
// has no final entry of the job.
auto ContinueWithAddenda(Lookup& lookup) -> void {
  lookup.reads_addenda = true;
  lookup.done = lookup.record.final_entry || !IsClosed(lookup);
  const auto prefix = AddendumPrefix(lookup.ledger);
  lookup.plan =
      LookupPlan{.prefix = prefix, .after = prefix, .last = prefix + "~"};
}

// Limits the range to read, since an accepted job ends within its deadline.
auto LimitPlanToDeadline(Lookup& lookup) -> void {
  if (!lookup.record.accepted) {
    return;
  }
  const auto latest = lookup.record.accepted->accepted +
                      lookup.bounds.max_deadline + lookup.bounds.slack;
  lookup.plan.last =
      std::min(lookup.plan.last, SegmentKey(lookup.ledger, latest));
}

auto ReadRow(Lookup& lookup, const TableRow& row) -> void {
  const auto segment = ParseSegment(row.value);
  if (!segment) {
    lookup.unreadable = true;
    return;
  }
  if (lookup.reads_addenda) {
    FoldAddendum(lookup.record, segment.value());
    return;
  }
  FoldSegment(lookup.record, segment.value());
  LimitPlanToDeadline(lookup);
}

}  // namespace

auto PlanLookup(Incarnation ledger,
                const JobId& job,
                const LookupBounds& bounds) -> LookupPlan {
  const auto latest =
      job.minted + bounds.id_term + bounds.max_deadline + bounds.slack;
  // Keys below the time at which the id was minted hold no entry of the job.
  const auto before = job.minted - milliseconds(1);
  return LookupPlan{.prefix = LedgerPrefix(ledger),
                    .after = before < WallTime{} ? LedgerPrefix(ledger)
                                                 : SegmentKey(ledger, before),
                    .last = SegmentKey(ledger, latest)};
}

auto BeginLookup(Incarnation ledger,
                 const JobId& job,
                 std::optional<IncarnationRow> row,
                 const LookupBounds& bounds) -> Lookup {
  return Lookup{.ledger = ledger,
                .bounds = bounds,
                .row = std::move(row),
                .plan = PlanLookup(ledger, job, bounds),
                .record = JobRecord{.job = job}};
}

auto NextScan(const Lookup& lookup) -> std::optional<TableScan> {
  if (lookup.done) {
    return std::nullopt;
  }
  return TableScan{.prefix = lookup.plan.prefix,
                   .after = lookup.plan.after,
                   .limit = lookup.bounds.page_rows};
}

auto OnScanned(Lookup& lookup, const std::vector<TableRow>& rows) -> void {
  auto is_end = rows.size() < lookup.bounds.page_rows;
  for (const auto& it : rows) {
    if (it.key > lookup.plan.last) {
      is_end = true;
      break;
    }
    ReadRow(lookup, it);
    lookup.plan.after = it.key;
  }
  if (lookup.reads_addenda) {
    lookup.done = is_end;
    return;
  }
  if (is_end || lookup.record.final_entry) {
    ContinueWithAddenda(lookup);
  }
}

auto AnswerOf(const Lookup& lookup) -> JobAnswer {
  if (lookup.unreadable && !lookup.record.final_entry) {
    return JobAnswer{};
  }
  return DeriveAnswer(lookup.record, lookup.row);
}

}  // namespace boragecroft
