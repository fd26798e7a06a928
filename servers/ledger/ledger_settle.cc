// The part of the ledger writer that determines whether the transaction in
// flight was applied.
#include <iterator>
#include <utility>

#include "servers/ledger/keys.h"
#include "servers/ledger/ledger_writer.h"
#include "servers/ledger/segment.h"

namespace boragecroft {
namespace {

using detail::InFlightTransaction;
using detail::PendingEntry;
using detail::PendingQueue;
using detail::TransactionKind;
using detail::TransactionState;

auto ReadBackKeys(const LedgerWriter& writer,
                  const InFlightTransaction& in_flight)
    -> std::vector<std::string> {
  const auto key = in_flight.transaction.puts.front().key;
  if (in_flight.kind == TransactionKind::kSegment) {
    return {key, IncarnationKey(writer.row.incarnation)};
  }
  return {key};
}

auto ReportDurable(const PendingEntry& entry,
                   TransactionKind kind,
                   LedgerEvents& events) -> void {
  switch (entry.kind) {
    case PendingEntry::Kind::kAccepted:
    case PendingEntry::Kind::kWatermark:
      events.watermarks.push_back(DurableWatermark{
          .job = entry.job, .started_below = entry.started_below});
      return;
    case PendingEntry::Kind::kFinal:
      (kind == TransactionKind::kAddendum ? events.addendum_finals
                                          : events.finals)
          .push_back(entry.job);
      if (entry.results_dropped) {
        events.without_results.push_back(entry.job);
      }
      return;
    case PendingEntry::Kind::kRefused:
      return;
  }
}

// Completes the transaction in flight, which is certainly in the table.
// `version` is the version of the row that it put.
auto SettleApplied(LedgerWriter& writer,
                   uint64_t version,
                   const Now& now,
                   LedgerEvents& events) -> void {
  const auto in_flight = std::exchange(writer.in_flight, std::nullopt);
  if (!in_flight->entries.empty()) {
    writer.times.writing += now.boot - in_flight->first_sent;
  }
  switch (in_flight->kind) {
    case TransactionKind::kOpen:
      writer.phase = LedgerPhase::kOpen;
      writer.row_version = version;
      events.opened = true;
      return;
    case TransactionKind::kClose:
      writer.phase = LedgerPhase::kClosed;
      events.closed = true;
      return;
    case TransactionKind::kAddendum:
      ++writer.next_addendum;
      break;
    case TransactionKind::kSegment:
      break;
  }
  for (const auto& it : in_flight->entries) {
    ReportDurable(it, in_flight->kind, events);
  }
}

// Returns the entries of the transaction in flight to the front of the queue.
auto Requeue(LedgerWriter& writer) -> void {
  auto in_flight = std::exchange(writer.in_flight, std::nullopt);
  if (!in_flight) {
    return;
  }
  PendingQueue queue;
  for (auto& it : in_flight->entries) {
    queue.entries.push_back(std::move(it));
  }
  for (auto& it : writer.pending.entries) {
    queue.entries.push_back(std::move(it));
  }
  for (const auto& it : queue.entries) {
    queue.bytes += it.text.size();
  }
  writer.pending = std::move(queue);
}

// Enters the fenced phase, since another incarnation closed the ledger. Final
// entries and refusals are kept for the addendum. Accepted entries and
// watermarks are dropped, since no task starts any more.
auto Fence(LedgerWriter& writer, LedgerEvents& events) -> void {
  Requeue(writer);
  PendingQueue queue;
  for (auto& it : writer.pending.entries) {
    if (it.kind == PendingEntry::Kind::kFinal ||
        it.kind == PendingEntry::Kind::kRefused) {
      queue.bytes += it.text.size();
      queue.entries.push_back(std::move(it));
    }
  }
  writer.pending = std::move(queue);
  writer.jobs.clear();
  writer.closing.reset();
  writer.phase = LedgerPhase::kFenced;
  events.fenced = true;
}

// Returns the operation id in a row of any kind, or an empty string when it has
// none.
auto OperationIdOf(const TableRow& row) -> std::string {
  const auto parsed = ParseJson(row.value);
  if (!parsed || !parsed.value().is_object()) {
    return {};
  }
  const auto* id = parsed.value().get_object().if_contains("operation_id");
  return id != nullptr && id->is_string() ? std::string(id->get_string())
                                          : std::string();
}

auto IsOwnWrite(const TableRow& row, const InFlightTransaction& in_flight)
    -> bool {
  return row.version != 0 &&
         OperationIdOf(row) == in_flight.transaction.operation_id;
}

auto Resend(LedgerWriter& writer, Instant at) -> void {
  writer.in_flight->state = TransactionState::kResend;
  writer.in_flight->resend_at = at;
}

auto VersionOf(const std::vector<TableCheck>& versions, const std::string& key)
    -> uint64_t {
  for (const auto& it : versions) {
    if (it.key == key) {
      return it.version;
    }
  }
  // A row of the ledger's own is always absent before its first write.
  return 1;
}

auto FindRow(const std::vector<TableRow>& rows, const std::string& key)
    -> const TableRow* {
  for (const auto& it : rows) {
    if (it.key == key) {
      return &it;
    }
  }
  return nullptr;
}

// Settles a conflict on either the segment's row or the incarnation's row. A
// segment that was applied before the ledger was closed is valid, so its row is
// checked first.
auto SettleSegment(LedgerWriter& writer,
                   const TableRow& segment,
                   const TableRow& incarnation,
                   const Now& now,
                   LedgerEvents& events) -> void {
  const auto is_closed = incarnation.version != writer.row_version;
  if (IsOwnWrite(segment, *writer.in_flight)) {
    SettleApplied(writer, segment.version, now, events);
    if (is_closed) {
      Fence(writer, events);
    }
    return;
  }
  if (is_closed || segment.version != 0) {
    Fence(writer, events);
    return;
  }
  Resend(writer, now.boot + writer.settings.retry_delay);
}

// Settles a conflict of a transaction that puts and checks a single row.
auto SettleSingleRow(LedgerWriter& writer,
                     const TableRow& row,
                     const Now& now,
                     LedgerEvents& events) -> void {
  if (IsOwnWrite(row, *writer.in_flight)) {
    SettleApplied(writer, row.version, now, events);
    return;
  }
  if (row.version == writer.in_flight->transaction.checks.front().version) {
    Resend(writer, now.boot + writer.settings.retry_delay);
    return;
  }
  if (writer.in_flight->kind == TransactionKind::kAddendum) {
    ++writer.next_addendum;
    Requeue(writer);
    return;
  }
  Fence(writer, events);
}

}  // namespace

auto OnOutcome(LedgerWriter& writer,
               const TableOutcome& outcome,
               const Now& now) -> LedgerEvents {
  LedgerEvents events;
  if (!writer.in_flight ||
      writer.in_flight->transaction.operation_id != outcome.operation_id) {
    return events;
  }
  const auto key = writer.in_flight->transaction.puts.front().key;
  const auto is_reading =
      writer.in_flight->state == TransactionState::kReadBack;
  if (outcome.kind == TableOutcomeKind::kApplied) {
    SettleApplied(writer, VersionOf(outcome.versions, key), now, events);
  } else if (outcome.kind == TableOutcomeKind::kConflict && !is_reading) {
    writer.in_flight->state = TransactionState::kReadBack;
    events.read_back = ReadBackKeys(writer, *writer.in_flight);
  } else if (writer.in_flight->state == TransactionState::kWaiting) {
    Resend(writer, now.boot + writer.settings.retry_delay);
  }
  return events;
}

auto PendingReadBack(const LedgerWriter& writer) -> std::vector<std::string> {
  if (!writer.in_flight ||
      writer.in_flight->state != TransactionState::kReadBack) {
    return {};
  }
  return ReadBackKeys(writer, *writer.in_flight);
}

auto OnReadBack(LedgerWriter& writer,
                const std::vector<TableRow>& rows,
                const Now& now) -> LedgerEvents {
  LedgerEvents events;
  const auto keys = PendingReadBack(writer);
  if (keys.empty()) {
    return events;
  }
  const auto* first = FindRow(rows, keys.front());
  const auto* last = FindRow(rows, keys.back());
  if (first == nullptr || last == nullptr) {
    return events;
  }
  if (writer.in_flight->kind == TransactionKind::kSegment) {
    SettleSegment(writer, *first, *last, now, events);
  } else {
    SettleSingleRow(writer, *first, now, events);
  }
  return events;
}

}  // namespace boragecroft
