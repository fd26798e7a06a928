// Writes the ledger of one incarnation: collects entries, sends one transaction
// at a time, and settles what became of it. Reports an entry as durable only
// when the table holds it.
//
// The caller sends each transaction that NextTransaction returns, passes what
// became of it to OnOutcome, and reads the rows that PendingReadBack names,
// after the outcome that asked for them, for OnReadBack.
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
  milliseconds interval = milliseconds(500);  // between writes, unless urgent
  WritePace pace;                             // at start; later SetPace
  milliseconds retry_delay = milliseconds(500);
  milliseconds suspect_after = seconds(2);  // see IsPlatformSuspect
  milliseconds segment_span = seconds(30);  // age range within one segment
  size_t max_segment_bytes = size_t{256} << 10U;
  size_t max_pending_bytes = size_t{16} << 20U;
};

enum class LedgerPhase : uint8_t {
  kOpening,  // the incarnation's row is not known to be durable
  kOpen,
  kClosing,  // the last segments and the closing are being written
  kClosed,   // closed by the owner
  kFenced,   // closed by another: nothing more may be started
};

enum class Urgency : uint8_t {
  kNormal,  // nobody waits for it: written after the interval
  kPrompt,  // a job waits for it: written when the budget can spare it
  kUrgent,  // a job of the most urgent class waits for it: takes any write
};

// Where the time of the entries went, summed since the start.
struct LedgerTimes {
  uint64_t segments = 0;
  microseconds writing{};  // of segments, from their sending until durable
  uint64_t urgent_entries = 0;
  microseconds urgent_waiting{};  // from their adding until they were sent
};

enum class AddResult : uint8_t {
  kAdded,
  kOverPendingLimit,  // added, but too much waits: take no more jobs for now
  kUnrecordedJob,     // a watermark of a job without accepted entry: not added
  kRepeated,  // a second accepted entry, or no higher watermark: not added
  kEnded,     // the ledger takes no such entry any more: not added
};

// Tasks of `job` below `started_below` may be started from now on.
struct DurableWatermark {
  JobId job;
  uint32_t started_below = 0;

  auto operator==(const DurableWatermark&) const -> bool = default;
};

// What a call settled.
struct LedgerEvents {
  bool opened = false;
  bool closed = false;
  // Closed by another incarnation: stop starting tasks, and add what really ran
  // as final entries, which then go to the addendum.
  bool fenced = false;
  std::vector<DurableWatermark> watermarks;
  std::vector<JobId> finals;           // durable in the ledger
  std::vector<JobId> without_results;  // of these, the results were dropped
  std::vector<JobId> addendum_finals;  // durable beside the closed ledger
  std::vector<std::string> read_back;  // rows to read now for OnReadBack
};

namespace detail {

// An entry that is not yet known to be durable.
struct PendingEntry {
  enum class Kind : uint8_t { kAccepted, kWatermark, kFinal, kRefused };

  Kind kind = Kind::kFinal;
  JobId job;                   // not of a refusal
  uint32_t started_below = 0;  // of an accepted entry or a watermark
  WallTime collected;          // record time
  WallTime key_time;  // the segment's key is no lower; at least the job's
                      // minted time, which another clock may have given
  bool urgent = false;
  bool results_dropped = false;
  Instant added;
  std::string text;
  std::string
      text_without_results;  // without results; empty when there are none
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
  Instant resend_at;  // of kResend
};

// A job with an accepted entry and no final one.
struct RecordedJob {
  uint32_t started_below = 0;  // newest watermark collected, durable or not
  std::optional<uint64_t> pending_watermark;  // its position, see PendingQueue
};

// Entries that no transaction has taken. Positions count every entry that was
// ever queued, so they stay valid while entries leave at the front.
struct PendingQueue {
  std::deque<PendingEntry> entries;
  uint64_t front_position = 0;
  uint64_t urgent_end = 0;  // entries below this position are urgent ...
  uint64_t prompt_end = 0;  // ... or prompt
  uint64_t droppable_begin =
      0;  // entries below it have no results left to drop
  size_t bytes = 0;
};

}  // namespace detail

struct LedgerWriter {
  LedgerSettings settings;
  IncarnationRow row;  // what opening writes
  Now started;
  LedgerPhase phase = LedgerPhase::kOpening;
  uint64_t row_version = 0;  // of the incarnation's row as opened

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
  uint64_t dropped_results = 0;  // records whose results were not kept
};

// `row` names the incarnation and where it runs.
auto MakeLedgerWriter(const LedgerSettings& settings,
                      IncarnationRow row,
                      const Now& started) -> LedgerWriter;

// Sets the pace of this instance's writes from now on.
auto SetPace(LedgerWriter& writer, const WritePace& pace) -> void;

// Collects an entry. Nothing is durable before an event says so.
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

// Writes what is pending, then closes the ledger. False, and nothing changes,
// while a recorded job has no final entry or after the ledger ended. The caller
// makes sure that unrecorded jobs have their final entries too.
auto RequestClose(LedgerWriter& writer,
                  std::optional<Incarnation> successor,
                  UnusedIds unused) -> bool;

// The transaction to send now, or empty. Call again after each outcome and when
// the interval has passed.
auto NextTransaction(LedgerWriter& writer, const Now& now)
    -> std::optional<TableTransaction>;
// An outcome of a transaction that is not in flight changes nothing.
auto OnOutcome(LedgerWriter& writer,
               const TableOutcome& outcome,
               const Now& now) -> LedgerEvents;
// The rows to read back; empty when nothing is asked for. A read that failed is
// simply tried again.
auto PendingReadBack(const LedgerWriter& writer) -> std::vector<std::string>;
// `rows` holds one row for each key of PendingReadBack, absent ones with
// version 0, all read after the outcome that asked for them.
auto OnReadBack(LedgerWriter& writer,
                const std::vector<TableRow>& rows,
                const Now& now) -> LedgerEvents;

// A write has had no answer for longer than the setting: accept new jobs of
// the classes that allow it without a record before the start.
auto IsPlatformSuspect(const LedgerWriter& writer, const Now& now) -> bool;
auto IsOverPendingLimit(const LedgerWriter& writer) -> bool;
// Every entry collected before this record time is durable.
auto RecordedThrough(const LedgerWriter& writer, const Now& now) -> WallTime;

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_LEDGER_WRITER_H_
