#include "tests/servers/ledger/fake_table.h"

namespace boragecroft {

auto Decide(FakeTable& table, const TableTransaction& transaction)
    -> TableOutcome {
  TableOutcome outcome{.operation_id = transaction.operation_id,
                       .kind = TableOutcomeKind::kApplied};
  for (const auto& it : transaction.checks) {
    const auto version = Read(table, it.key).version;
    if (version != it.version) {
      outcome.kind = TableOutcomeKind::kConflict;
      outcome.versions.push_back({.key = it.key, .version = version});
    }
  }
  if (outcome.kind == TableOutcomeKind::kConflict) {
    return outcome;
  }
  for (const auto& it : transaction.puts) {
    auto& row = table.rows[it.key];
    row =
        TableRow{.key = it.key, .version = row.version + 1, .value = it.value};
    outcome.versions.push_back({.key = it.key, .version = row.version});
  }
  return outcome;
}

auto Send(FakeTable& table,
          const TableTransaction& transaction,
          Delivery delivery) -> TableOutcome {
  TableOutcome outcome{.operation_id = transaction.operation_id,
                       .kind = TableOutcomeKind::kUnknown};
  switch (delivery) {
    case Delivery::kAnswered:
      return Decide(table, transaction);
    case Delivery::kAnswerLost:
      Decide(table, transaction);
      return outcome;
    case Delivery::kLate:
      table.late.push_back(transaction);
      return outcome;
    case Delivery::kLost:
      return outcome;
    case Delivery::kRefused:
      outcome.kind = TableOutcomeKind::kUnavailable;
      return outcome;
  }
  return outcome;
}

auto Release(FakeTable& table, size_t index) -> void {
  const auto it = table.late.begin() + static_cast<ptrdiff_t>(index);
  Decide(table, *it);
  table.late.erase(it);
}

auto Read(const FakeTable& table, const std::string& key) -> TableRow {
  const auto it = table.rows.find(key);
  return it == table.rows.end() ? TableRow{.key = key} : it->second;
}

auto Scan(const FakeTable& table, const TableScan& scan)
    -> std::vector<TableRow> {
  std::vector<TableRow> rows;
  auto it = table.rows.lower_bound(scan.prefix);
  for (; it != table.rows.end() && it->first.starts_with(scan.prefix) &&
         rows.size() < scan.limit;
       ++it) {
    if (it->first > scan.after) {
      rows.push_back(it->second);
    }
  }
  return rows;
}

auto SegmentsBelow(const FakeTable& table, const std::string& prefix)
    -> std::vector<LedgerSegment> {
  std::vector<LedgerSegment> segments;
  for (const auto& it : Scan(table, {.prefix = prefix, .limit = UINT32_MAX})) {
    segments.push_back(ParseSegment(it.value).value());
  }
  return segments;
}

}  // namespace boragecroft
