#include "servers/ledger/ledger_writer.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "servers/identity/record_clock.h"
#include "servers/ledger/keys.h"
#include "servers/ledger/segment.h"

namespace boragecroft {
namespace {

using detail::InFlightTransaction;
using detail::PendingEntry;
using detail::TransactionKind;
using detail::TransactionState;

// Upper bound in bytes for a segment's own members apart from its entries.
constexpr size_t kSegmentHeadBytes = 256;

auto NextOperationId(LedgerWriter& writer) -> std::string {
  return ToString(writer.row.incarnation) + "-" +
         std::to_string(writer.next_operation++);
}

auto InFlightBytes(const LedgerWriter& writer) -> size_t {
  return writer.in_flight ? writer.in_flight->bytes : 0;
}

auto IsClosingOrEnded(const LedgerWriter& writer) -> bool {
  return writer.phase == LedgerPhase::kClosing ||
         writer.phase == LedgerPhase::kClosed ||
         writer.phase == LedgerPhase::kFenced;
}

auto MakePending(const LedgerWriter& writer,
                 PendingEntry::Kind kind,
                 const JobId& job,
                 const Now& now) -> PendingEntry {
  const auto collected = RecordTime(writer.started, now);
  return PendingEntry{.kind = kind,
                      .job = job,
                      .collected = collected,
                      .key_time = std::max(collected, job.minted),
                      .added = now.boot};
}

// Drops results, the oldest first, until the bytes that wait are within their
// limit.
auto DropResults(LedgerWriter& writer) -> void {
  auto& queue = writer.pending;
  const auto end = queue.front_position + queue.entries.size();
  while (IsOverPendingLimit(writer) && queue.droppable_begin < end) {
    auto& it = queue.entries[queue.droppable_begin - queue.front_position];
    if (!it.text_without_results.empty()) {
      queue.bytes -= it.text.size() - it.text_without_results.size();
      it.text = std::exchange(it.text_without_results, {});
      it.results_dropped = true;
      ++writer.dropped_results;
    }
    ++queue.droppable_begin;
  }
}

auto RaiseUrgency(detail::PendingQueue& queue,
                  uint64_t position,
                  Urgency urgency) -> void {
  if (urgency == Urgency::kUrgent) {
    queue.urgent_end = std::max(queue.urgent_end, position + 1);
    queue.entries[position - queue.front_position].urgent = true;
  } else if (urgency == Urgency::kPrompt) {
    queue.prompt_end = std::max(queue.prompt_end, position + 1);
  }
}

auto Push(LedgerWriter& writer, PendingEntry entry, Urgency urgency)
    -> AddResult {
  auto& queue = writer.pending;
  queue.bytes += entry.text.size();
  queue.entries.push_back(std::move(entry));
  RaiseUrgency(queue, queue.front_position + queue.entries.size() - 1, urgency);
  DropResults(writer);
  return IsOverPendingLimit(writer) ? AddResult::kOverPendingLimit
                                    : AddResult::kAdded;
}

// Replaces the job's watermark that is still pending, so that each segment
// holds at most one watermark of a job.
auto RaisePendingWatermark(LedgerWriter& writer,
                           uint64_t position,
                           const WatermarkEntry& entry,
                           Urgency urgency) -> AddResult {
  auto& queue = writer.pending;
  auto& it = queue.entries[position - queue.front_position];
  queue.bytes -= it.text.size();
  it.text = EntryToJsonText(entry, kLedgerSchema);
  queue.bytes += it.text.size();
  it.started_below = entry.started_below;
  RaiseUrgency(queue, position, urgency);
  return IsOverPendingLimit(writer) ? AddResult::kOverPendingLimit
                                    : AddResult::kAdded;
}

auto IsDue(const LedgerWriter& writer, const Now& now) -> bool {
  const auto& queue = writer.pending;
  const auto& settings = writer.settings;
  if (queue.entries.empty()) {
    return false;
  }
  if (writer.phase == LedgerPhase::kClosing) {
    return true;
  }
  if (!MayWrite(writer.budget, now.boot)) {
    return false;
  }
  if (queue.urgent_end > queue.front_position ||
      queue.bytes >= settings.max_segment_bytes) {
    return true;
  }
  const auto is_prompt = queue.prompt_end > queue.front_position;
  return HasSpareWrite(writer.budget, now.boot) &&
         (is_prompt || now.boot - writer.last_built >= settings.interval);
}

// Removes as many entries from the queue as fit into one segment, at least one.
auto TakeEntries(LedgerWriter& writer) -> std::vector<PendingEntry> {
  auto& queue = writer.pending;
  const auto oldest = queue.entries.front().collected;
  std::vector<PendingEntry> taken;
  auto bytes = kSegmentHeadBytes;
  while (!queue.entries.empty()) {
    auto& it = queue.entries.front();
    bytes += it.text.size() + 1;
    if (!taken.empty() &&
        (bytes > writer.settings.max_segment_bytes ||
         it.collected - oldest > writer.settings.segment_span)) {
      break;
    }
    queue.bytes -= it.text.size();
    it.text_without_results.clear();
    taken.push_back(std::move(it));
    queue.entries.pop_front();
    ++queue.front_position;
  }
  queue.droppable_begin = std::max(queue.droppable_begin, queue.front_position);
  return taken;
}

auto NextSegmentKey(LedgerWriter& writer,
                    const std::vector<PendingEntry>& entries) -> std::string {
  writer.last_key += milliseconds(1);
  for (const auto& it : entries) {
    writer.last_key = std::max(writer.last_key, it.key_time);
  }
  return SegmentKey(writer.row.incarnation, writer.last_key);
}

// Adds to the statistics of what is being sent. When a pending watermark was
// raised, its wait counts from when it was first added.
auto RecordSending(LedgerWriter& writer,
                   const InFlightTransaction& in_flight,
                   const Now& now) -> void {
  ++writer.times.segments;
  for (const auto& it : in_flight.entries) {
    if (it.urgent) {
      ++writer.times.urgent_entries;
      writer.times.urgent_waiting += now.boot - it.added;
    }
  }
}

auto BuildSegment(LedgerWriter& writer) -> InFlightTransaction {
  const auto is_addendum = writer.phase == LedgerPhase::kFenced;
  InFlightTransaction in_flight{.kind = is_addendum ? TransactionKind::kAddendum
                                                    : TransactionKind::kSegment,
                                .entries = TakeEntries(writer)};
  std::vector<std::string> texts;
  for (auto& it : in_flight.entries) {
    in_flight.bytes += it.text.size();
    texts.push_back(it.text);
  }
  auto& transaction = in_flight.transaction;
  transaction.operation_id = NextOperationId(writer);
  const auto key =
      is_addendum ? AddendumKey(writer.row.incarnation, writer.next_addendum)
                  : NextSegmentKey(writer, in_flight.entries);
  transaction.checks.push_back(TableCheck{.key = key, .version = 0});
  if (!is_addendum) {
    transaction.checks.push_back(
        TableCheck{.key = IncarnationKey(writer.row.incarnation),
                   .version = writer.row_version});
  }
  transaction.puts.push_back(TablePut{
      .key = key, .value = JoinSegment(transaction.operation_id, texts)});
  return in_flight;
}

auto BuildClosing(LedgerWriter& writer) -> InFlightTransaction {
  writer.closing->operation_id = NextOperationId(writer);
  const TableRow row{.key = IncarnationKey(writer.row.incarnation),
                     .version = writer.row_version,
                     .value = ToJsonText(writer.row)};
  auto transaction =
      CloseTransaction(writer.row.incarnation, row, *writer.closing);
  return InFlightTransaction{.kind = TransactionKind::kClose,
                             .transaction = std::move(transaction.value())};
}

auto BuildTransaction(LedgerWriter& writer, const Now& now)
    -> std::optional<InFlightTransaction> {
  if (writer.phase == LedgerPhase::kOpening) {
    return InFlightTransaction{.kind = TransactionKind::kOpen,
                               .transaction = OpenTransaction(writer.row)};
  }
  if (IsDue(writer, now)) {
    writer.last_built = now.boot;
    TakeWrite(writer.budget, now.boot);
    auto in_flight = BuildSegment(writer);
    RecordSending(writer, in_flight, now);
    return in_flight;
  }
  if (writer.phase == LedgerPhase::kClosing) {
    return BuildClosing(writer);
  }
  return std::nullopt;
}

}  // namespace

auto MakeLedgerWriter(const LedgerSettings& settings,
                      IncarnationRow row,
                      const Now& started) -> LedgerWriter {
  LedgerWriter writer{
      .settings = settings, .row = std::move(row), .started = started};
  writer.row.started = started.wall;
  writer.row.operation_id = NextOperationId(writer);
  // Lets the first entry be sent without waiting for the interval.
  writer.last_built = started.boot - settings.interval;
  writer.budget = StartBudget(settings.pace, started.boot);
  return writer;
}

auto SetPace(LedgerWriter& writer, const WritePace& pace) -> void {
  writer.budget.pace = pace;
}

auto Add(LedgerWriter& writer,
         const AcceptedEntry& entry,
         Urgency urgency,
         const Now& now) -> AddResult {
  if (IsClosingOrEnded(writer)) {
    return AddResult::kEnded;
  }
  const auto added = writer.jobs.try_emplace(
      entry.job, detail::RecordedJob{.started_below = entry.started_below});
  if (!added.second) {
    return AddResult::kRepeated;
  }
  auto pending =
      MakePending(writer, PendingEntry::Kind::kAccepted, entry.job, now);
  pending.started_below = entry.started_below;
  pending.text = EntryToJsonText(entry, kLedgerSchema);
  return Push(writer, std::move(pending), urgency);
}

auto Add(LedgerWriter& writer,
         const WatermarkEntry& entry,
         Urgency urgency,
         const Now& now) -> AddResult {
  if (IsClosingOrEnded(writer)) {
    return AddResult::kEnded;
  }
  const auto job = writer.jobs.find(entry.job);
  if (job == writer.jobs.end()) {
    return AddResult::kUnrecordedJob;
  }
  if (entry.started_below <= job->second.started_below) {
    return AddResult::kRepeated;
  }
  job->second.started_below = entry.started_below;
  const auto waiting = job->second.pending_watermark;
  if (waiting && *waiting >= writer.pending.front_position) {
    return RaisePendingWatermark(writer, *waiting, entry, urgency);
  }
  job->second.pending_watermark =
      writer.pending.front_position + writer.pending.entries.size();
  auto pending =
      MakePending(writer, PendingEntry::Kind::kWatermark, entry.job, now);
  pending.started_below = entry.started_below;
  pending.text = EntryToJsonText(entry, kLedgerSchema);
  return Push(writer, std::move(pending), urgency);
}

auto Add(LedgerWriter& writer,
         const FinalEntry& entry,
         Urgency urgency,
         const Now& now) -> AddResult {
  if (IsClosingOrEnded(writer) && writer.phase != LedgerPhase::kFenced) {
    return AddResult::kEnded;
  }
  writer.jobs.erase(entry.job);
  auto pending =
      MakePending(writer, PendingEntry::Kind::kFinal, entry.job, now);
  pending.text = EntryToJsonText(entry, kLedgerSchema);
  if (!entry.results.empty()) {
    auto stripped = entry;
    stripped.results.clear();
    stripped.results_dropped = true;
    pending.text_without_results = EntryToJsonText(stripped, kLedgerSchema);
  }
  const auto max_bytes = writer.settings.max_segment_bytes;
  if (pending.text.size() + kSegmentHeadBytes > max_bytes &&
      !pending.text_without_results.empty()) {
    pending.text = std::exchange(pending.text_without_results, {});
    pending.results_dropped = true;
    ++writer.dropped_results;
  }
  return Push(writer, std::move(pending), urgency);
}

auto Add(LedgerWriter& writer,
         const RefusedEntry& entry,
         Urgency urgency,
         const Now& now) -> AddResult {
  if (IsClosingOrEnded(writer) && writer.phase != LedgerPhase::kFenced) {
    return AddResult::kEnded;
  }
  auto pending =
      MakePending(writer, PendingEntry::Kind::kRefused, JobId{}, now);
  pending.text = EntryToJsonText(entry, kLedgerSchema);
  return Push(writer, std::move(pending), urgency);
}

auto RequestClose(LedgerWriter& writer,
                  std::optional<Incarnation> successor,
                  UnusedIds unused) -> bool {
  if (writer.phase != LedgerPhase::kOpen || !writer.jobs.empty()) {
    return false;
  }
  writer.phase = LedgerPhase::kClosing;
  writer.closing = Closing{.closed_by = writer.row.incarnation,
                           .clean = true,
                           .successor = successor};
  if (successor) {
    writer.closing->unused = std::move(unused);
  }
  return true;
}

auto NextTransaction(LedgerWriter& writer, const Now& now)
    -> std::optional<TableTransaction> {
  if (writer.in_flight) {
    auto& in_flight = *writer.in_flight;
    if (in_flight.state != TransactionState::kResend ||
        now.boot < in_flight.resend_at || !MayWrite(writer.budget, now.boot)) {
      return std::nullopt;
    }
    in_flight.state = TransactionState::kWaiting;
    TakeWrite(writer.budget, now.boot);
    return in_flight.transaction;
  }
  writer.in_flight = BuildTransaction(writer, now);
  if (!writer.in_flight) {
    return std::nullopt;
  }
  writer.in_flight->first_sent = now.boot;
  return writer.in_flight->transaction;
}

auto IsPlatformSuspect(const LedgerWriter& writer, const Now& now) -> bool {
  return writer.in_flight && now.boot - writer.in_flight->first_sent >
                                 writer.settings.suspect_after;
}

auto IsOverPendingLimit(const LedgerWriter& writer) -> bool {
  return writer.pending.bytes + InFlightBytes(writer) >
         writer.settings.max_pending_bytes;
}

auto RecordedThrough(const LedgerWriter& writer, const Now& now) -> WallTime {
  auto through = RecordTime(writer.started, now);
  if (!writer.pending.entries.empty()) {
    through = std::min(through, writer.pending.entries.front().collected);
  }
  if (writer.in_flight && !writer.in_flight->entries.empty()) {
    through = std::min(through, writer.in_flight->entries.front().collected);
  }
  return through;
}

}  // namespace boragecroft
