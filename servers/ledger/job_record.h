// Collects what the ledger records about one job and derives the answer from
// it. Every reader of a closed ledger derives the same answer, every time.
#ifndef SERVERS_LEDGER_JOB_RECORD_H_
#define SERVERS_LEDGER_JOB_RECORD_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/ids.h"
#include "servers/ledger/entries.h"
#include "servers/ledger/incarnation_row.h"
#include "servers/ledger/segment.h"

namespace boragecroft {

// Reasons in answers that are derived after the owner was lost.
constexpr std::string_view kOwnerLost = "owner_lost";
constexpr std::string_view kOwnerLostUnrecorded = "owner_lost_unrecorded";

// All entries of one job, merged in the order of the segments' keys.
struct JobRecord {
  JobId job;
  // The partner that may see the answer; empty without an entry.
  std::string partner;
  uint64_t digest = 0;  // digest of the submission; 0 when unknown
  std::optional<AcceptedEntry> accepted;
  uint32_t started_below = 0;             // the highest watermark recorded
  std::optional<FinalEntry> final_entry;  // the first final entry recorded
  std::optional<Refusal> refusal;
  // The final entry that a fenced owner wrote to the addendum of its closed
  // ledger. It never changes the answer; it shows what really ran.
  std::optional<FinalEntry> addendum;
};

// Reports whether the ledger itself, without its addenda, has an entry of the
// job.
auto HasEntry(const JobRecord& record) -> bool;
auto FoldSegment(JobRecord& record, const LedgerSegment& segment) -> void;
auto FoldAddendum(JobRecord& record, const LedgerSegment& addendum) -> void;
// Returns the record of `job`. `segments` and `addenda` must each be in the
// order of their keys.
auto FoldJob(const std::vector<LedgerSegment>& segments,
             const std::vector<LedgerSegment>& addenda,
             const JobId& job) -> JobRecord;

enum class AnswerKind : uint8_t {
  kUndecided,  // the owner may still decide: the caller should ask again
  kFinal,
  // Never accepted; the successor owns the id now and must be asked.
  kSuccessor,
};

// The answer to a caller that asks for a job.
struct JobAnswer {
  AnswerKind kind = AnswerKind::kUndecided;
  JobState state = JobState::kActive;  // kDone, kFailed or kRefused when final
  std::optional<Refusal> refusal;      // only when the state is kRefused
  // False when the number of tasks is unknown; any of them may have run then.
  bool tasks_known = false;
  TaskRuns tasks;
  std::string reason;
  std::vector<std::string> results;
  bool results_dropped = false;  // the job is done, but its results are lost
  std::optional<Incarnation> successor;

  auto operator==(const JobAnswer&) const -> bool = default;
};

// Derives the answer. `row` is the owner's incarnation row, empty when absent,
// and must have been read before the segments: the absence of an entry is
// certain only when the ledger was closed before the scan began.
auto DeriveAnswer(const JobRecord& record,
                  const std::optional<IncarnationRow>& row) -> JobAnswer;
// Derives the answer of an owner that still runs, about an id older than those
// it retains. An id without an entry expired unused, since a batch is dropped
// only after each of its entries is durable.
auto DeriveOwnerAnswer(const JobRecord& record) -> JobAnswer;

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_JOB_RECORD_H_
