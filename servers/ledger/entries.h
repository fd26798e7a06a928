// The entries of the ledger, in which an instance records its jobs.
#ifndef SERVERS_LEDGER_ENTRIES_H_
#define SERVERS_LEDGER_ENTRIES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "servers/identity/sequence_ranges.h"
#include "servers/model/submission.h"

namespace boragecroft {

// Job entries have a team since version 2; those of version 1 have none.
constexpr int kOldestLedgerSchema = 1;
constexpr int kLedgerSchema = 2;
// The first version whose job entries have a team.
constexpr int kTeamSchema = 2;

// `count` consecutive tasks in the same state.
struct TaskRun {
  TaskState state = TaskState::kNotRun;
  uint32_t count = 0;

  auto operator==(const TaskRun&) const -> bool = default;
};

using TaskRuns = std::vector<TaskRun>;

// Every entry keeps the members that this version does not know in
// `unknown_members`, as the text of a JSON object or empty when there are none,
// so that rewriting the entry does not lose them.

// Records that a job was accepted. It must be durable before the first task of
// the job starts.
struct AcceptedEntry {
  JobId job;
  std::string partner;
  std::string team;
  std::string service;
  std::string kind;
  std::string urgency_class;
  uint32_t tasks = 0;
  uint32_t started_below = 0;  // the first watermark, see WatermarkEntry
  WallTime accepted;
  // Digest of the submission; 0 when an older version wrote the entry.
  uint64_t digest = 0;
  std::string unknown_members;

  auto operator==(const AcceptedEntry&) const -> bool = default;
};

// Records how far a job may have started: tasks with an index below
// `started_below` may have started, no other task of the job has.
struct WatermarkEntry {
  JobId job;
  uint32_t started_below = 0;
  std::string unknown_members;

  auto operator==(const WatermarkEntry&) const -> bool = default;
};

// Records how a job ended.
struct FinalEntry {
  JobId job;
  std::string partner;
  std::string team;
  std::string service;
  std::string urgency_class;
  JobState state = JobState::kFailed;  // kDone or kFailed
  TaskRuns tasks;                      // ordered by task index
  std::string reason;                  // why the job failed
  // One JSON text for each task; only when done.
  std::vector<std::string> results;
  // The job is done, but its results were not kept.
  bool results_dropped = false;
  WallTime finished;
  uint64_t digest = 0;  // see AcceptedEntry
  std::string unknown_members;

  auto operator==(const FinalEntry&) const -> bool = default;
};

// Records submissions that were refused for the same reason and of which
// nothing ran. Each id in `ranges` was minted for this partner and marked as
// used before the entry was collected, so its refusal is final.
struct RefusedEntry {
  Incarnation incarnation;  // the incarnation that minted the ids in `ranges`
  std::string partner;
  Refusal reason = Refusal::kInvalid;
  SequenceRanges ranges;
  uint64_t unidentified = 0;  // number of refused requests without a valid id
  std::string unknown_members;

  auto operator==(const RefusedEntry&) const -> bool = default;
};

// An entry of a type that this version does not know. Its JSON text is kept
// unchanged.
struct UnknownEntry {
  std::string text;

  auto operator==(const UnknownEntry&) const -> bool = default;
};

using LedgerEntry = std::variant<AcceptedEntry,
                                 WatermarkEntry,
                                 FinalEntry,
                                 RefusedEntry,
                                 UnknownEntry>;

// Appends `count` tasks in `state`, as part of the last run when that has the
// same state.
auto AppendRun(TaskRuns& runs, TaskState state, uint32_t count) -> void;
auto EncodeRuns(const std::vector<TaskState>& states) -> TaskRuns;
auto CountTasks(const TaskRuns& runs, TaskState state) -> uint64_t;

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_ENTRIES_H_
