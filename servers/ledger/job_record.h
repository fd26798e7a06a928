// What the ledger says of one job, and the answer that follows from it. Every
// reader of a closed ledger derives the same answer, every time.
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

// Reasons of answers that no owner gave.
constexpr std::string_view kOwnerLost = "owner_lost";
constexpr std::string_view kOwnerLostUnrecorded = "owner_lost_unrecorded";

// All entries of one job, folded in the order of the segments' keys.
struct JobRecord {
  JobId job;
  std::string partner;  // who may see the answer; empty without an entry
  uint64_t digest = 0;  // of the submission; 0 when not known
  std::optional<AcceptedEntry> accepted;
  uint32_t started_below = 0;             // the highest watermark
  std::optional<FinalEntry> final_entry;  // the first
  std::optional<Refusal> refusal;
  // What a deposed owner added beside the closed ledger. It never changes the
  // answer; it says what really ran.
  std::optional<FinalEntry> addendum;
};

// True when the ledger itself has an entry of the job.
auto HasEntry(const JobRecord& record) -> bool;
auto FoldSegment(JobRecord& record, const LedgerSegment& segment) -> void;
auto FoldAddendum(JobRecord& record, const LedgerSegment& addendum) -> void;
// `segments` in the order of their keys, `addenda` likewise.
auto FoldJob(const std::vector<LedgerSegment>& segments,
             const std::vector<LedgerSegment>& addenda,
             const JobId& job) -> JobRecord;

enum class AnswerKind : uint8_t {
  kUndecided,  // the owner may still decide: ask again
  kFinal,
  kSuccessor,  // never accepted; ask the successor, which owns the id now
};

// The answer to a question about a job.
struct JobAnswer {
  AnswerKind kind = AnswerKind::kUndecided;
  JobState state = JobState::kActive;  // kDone, kFailed or kRefused when final
  std::optional<Refusal> refusal;      // of kRefused
  // False: how many tasks there were is unknown, and any may have run.
  bool tasks_known = false;
  TaskRuns tasks;
  std::string reason;
  std::vector<std::string> results;
  bool results_dropped = false;  // done, but the results are lost
  std::optional<Incarnation> successor;

  auto operator==(const JobAnswer&) const -> bool = default;
};

// `row` is the owner's incarnation row, empty when absent. It must have been
// read before the segments: only a ledger that was closed before the scan began
// says that an entry does not exist.
auto DeriveAnswer(const JobRecord& record,
                  const std::optional<IncarnationRow>& row) -> JobAnswer;
// The answer of the living owner about an id below its retained ones. Without
// an entry the id expired unused, since a batch is dropped only after each of
// its entries is durable.
auto DeriveOwnerAnswer(const JobRecord& record) -> JobAnswer;

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_JOB_RECORD_H_
