// Writes the ledger of one incarnation: collects entries, sends one transaction
// at a time and determines whether each was applied. An entry is reported as
// durable only when the table holds it.
//
// The caller sends each transaction that NextTransaction returns and passes its
// outcome to OnOutcome. After an outcome that asks for it, the caller reads the
// rows that PendingReadBack lists and passes them to OnReadBack.
#ifndef SERVERS_LEDGER_LEDGER_WRITER_H_
#define SERVERS_LEDGER_LEDGER_WRITER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "servers/ledger/entries.h"
#include "servers/ledger/incarnation_row.h"
#include "servers/ledger/table.h"
#include "servers/ledger/write_budget.h"

namespace boragecroft {

struct LedgerSettings {
  // Between writes, unless an entry is urgent.
  milliseconds interval = milliseconds(500);
  WritePace pace;  // initial pace; SetPace changes it
  milliseconds retry_delay = milliseconds(500);
  milliseconds suspect_after = seconds(2);  // see IsPlatformSuspect
  // Largest age difference of the entries in one segment.
  milliseconds segment_span = seconds(30);
  size_t max_segment_bytes = size_t{256} << 10U;
  size_t max_pending_bytes = size_t{16} << 20U;
};

enum class LedgerPhase : uint8_t {
  kOpening,  // the incarnation's row is not known to be durable
  kOpen,
  kClosing,  // the last segments and the closed row are being written
  kClosed,   // closed by the owner
  kFenced,   // closed by another incarnation: no task may be started any more
};

enum class Urgency : uint8_t {
  kNormal,  // no job waits for the entry: it is written after the interval
  // A job waits for the entry: it is written when the budget has a spare write.
  kPrompt,
  // A job of the most urgent class waits for the entry: it may use any write of
  // the budget.
  kUrgent,
};

// Totals of the time that entries took, since the start.
struct LedgerTimes {
  uint64_t segments = 0;
  // From the first sending of a segment until it was durable.
  microseconds writing{};
  uint64_t urgent_entries = 0;
  // From the adding of an urgent entry until it was first sent.
  microseconds urgent_waiting{};
};

enum class AddResult : uint8_t {
  kAdded,
  // Added, but too many bytes wait to be written: accept no more jobs for now.
  kOverPendingLimit,
  kUnrecordedJob,  // not added: a watermark of a job without an accepted entry
  // Not added: a second accepted entry, or a watermark that is not higher.
  kRepeated,
  kEnded,  // not added: the ledger is closing, closed or fenced
};

// A durable watermark: tasks of `job` with an index below `started_below` may
// be started from now on.
struct DurableWatermark {
  JobId job;
  uint32_t started_below = 0;

  auto operator==(const DurableWatermark&) const -> bool = default;
};

// The changes that a call brought about.
struct LedgerEvents {
  bool opened = false;
  bool closed = false;
  // Another incarnation closed the ledger. The caller must stop starting tasks
  // and add what really ran as final entries, which are then written to the
  // addendum.
  bool fenced = false;
  std::vector<DurableWatermark> watermarks;
  // Final entries that are now durable in the ledger.
  std::vector<JobId> finals;
  // Those of the durable final entries whose results were dropped.
  std::vector<JobId> without_results;
  // Final entries that are now durable in the addendum of the closed ledger.
  std::vector<JobId> addendum_finals;
  // Keys of the rows to read now for OnReadBack.
  std::vector<std::string> read_back;
};

namespace detail {

// An entry that is not yet known to be durable.
struct PendingEntry {
  enum class Kind : uint8_t { kAccepted, kWatermark, kFinal, kRefused };

  Kind kind = Kind::kFinal;
  JobId job;                   // not set for a refusal
  uint32_t started_below = 0;  // only for accepted entries and watermarks
  WallTime collected;          // record time, see record_clock.h
  // The segment's key is not lower than this time. It is at least the time at
  // which the job's id was minted, which may come from another instance's
  // clock.
  WallTime key_time;
  bool urgent = false;
  bool results_dropped = false;
  Instant added;
  std::string text;
  // The entry's text without its results; empty when it has none.
  std::string text_without_results;
};

enum class TransactionKind : uint8_t { kOpen, kSegment, kClose, kAddendum };
enum class TransactionState : uint8_t { kWaiting, kResend, kReadBack };

struct InFlightTransaction {
  TransactionKind kind = TransactionKind::kOpen;
  TransactionState state = TransactionState::kWaiting;
  TableTransaction transaction;
  std::vector<PendingEntry> entries;
  size_t bytes = 0;
  Instant first_sent;
  Instant resend_at;  // only in kResend
};

// A job that has an accepted entry and no final one.
struct RecordedJob {
  uint32_t started_below = 0;  // newest watermark collected, durable or not
  // Position of the pending watermark entry, see PendingQueue.
  std::optional<uint64_t> pending_watermark;
};

// Entries that are not part of a transaction yet. Positions count every entry
// that was ever queued, so they stay valid while entries are removed at the
// front.
struct PendingQueue {
  std::deque<PendingEntry> entries;
  uint64_t front_position = 0;
  uint64_t urgent_end = 0;  // position after the last urgent entry
  uint64_t prompt_end = 0;  // position after the last prompt entry
  // Entries below this position have no results left to drop.
  uint64_t droppable_begin = 0;
  size_t bytes = 0;
};

}  // namespace detail

struct LedgerWriter {
  LedgerSettings settings;
  IncarnationRow row;  // the row that is written to open the ledger
  Now started;
  LedgerPhase phase = LedgerPhase::kOpening;
  // Version of the incarnation's row when it was opened.
  uint64_t row_version = 0;

  // Private to the module.
  detail::PendingQueue pending;
  std::optional<detail::InFlightTransaction> in_flight;
  std::optional<Closing> closing;
  std::unordered_map<JobId, detail::RecordedJob> jobs;
  Instant last_built;
  WriteBudget budget;
  LedgerTimes times;
  WallTime last_key;
  uint64_t next_operation = 0;
  uint32_t next_addendum = 0;
  // Number of final entries whose results were dropped.
  uint64_t dropped_results = 0;
};

// Returns a writer that has written nothing yet. `row` names the incarnation
// and where it runs.
auto MakeLedgerWriter(const LedgerSettings& settings,
                      IncarnationRow row,
                      const Now& started) -> LedgerWriter;

// Sets the pace of this instance's writes from now on.
auto SetPace(LedgerWriter& writer, const WritePace& pace) -> void;

// Collects an entry. It is durable only when an event reports so.
auto Add(LedgerWriter& writer,
         const AcceptedEntry& entry,
         Urgency urgency,
         const Now& now) -> AddResult;
auto Add(LedgerWriter& writer,
         const WatermarkEntry& entry,
         Urgency urgency,
         const Now& now) -> AddResult;
auto Add(LedgerWriter& writer,
         const FinalEntry& entry,
         Urgency urgency,
         const Now& now) -> AddResult;
auto Add(LedgerWriter& writer,
         const RefusedEntry& entry,
         Urgency urgency,
         const Now& now) -> AddResult;

// Starts to close the ledger after everything pending is written. Returns false
// and changes nothing unless the ledger is open and every recorded job has its
// final entry. The caller must make sure that unrecorded jobs have their final
// entries too.
auto RequestClose(LedgerWriter& writer,
                  std::optional<Incarnation> successor,
                  UnusedIds unused) -> bool;

// Returns the transaction to send now, or empty. Call it again after each
// outcome and when the interval has passed.
auto NextTransaction(LedgerWriter& writer, const Now& now)
    -> std::optional<TableTransaction>;
// Handles the outcome of the transaction in flight. Outcomes of other
// transactions are ignored.
auto OnOutcome(LedgerWriter& writer,
               const TableOutcome& outcome,
               const Now& now) -> LedgerEvents;
// Returns the keys of the rows to read back, empty when there are none. A read
// that fails can simply be retried.
auto PendingReadBack(const LedgerWriter& writer) -> std::vector<std::string>;
// Settles the transaction in flight. `rows` must hold one row for each key of
// PendingReadBack, with version 0 for an absent row, all of them read after the
// outcome that asked for them.
auto OnReadBack(LedgerWriter& writer,
                const std::vector<TableRow>& rows,
                const Now& now) -> LedgerEvents;

// Reports whether a write has been without an answer for longer than
// `suspect_after`. While that is so, new jobs of the classes that allow it are
// accepted without a record before their start.
auto IsPlatformSuspect(const LedgerWriter& writer, const Now& now) -> bool;
auto IsOverPendingLimit(const LedgerWriter& writer) -> bool;
// Returns the record time before which every collected entry is durable.
auto RecordedThrough(const LedgerWriter& writer, const Now& now) -> WallTime;

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_LEDGER_WRITER_H_
