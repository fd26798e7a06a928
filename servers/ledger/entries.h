// The entries of the ledger: what an instance records of its jobs.
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

// Version 1 of the job entries has no team; version 2 has it.
constexpr int kOldestLedgerSchema = 1;
constexpr int kLedgerSchema = 2;
// The first version whose job entries have a team.
constexpr int kTeamSchema = 2;

// `count` neighbouring tasks in the same state.
struct TaskRun {
  TaskState state = TaskState::kNotRun;
  uint32_t count = 0;

  auto operator==(const TaskRun&) const -> bool = default;
};

using TaskRuns = std::vector<TaskRun>;

// Every entry keeps the members that this version does not know, as the text of
// a JSON object, empty for none, so that a rewrite does not lose them.

// A job was taken; durable before the first of its tasks starts.
struct AcceptedEntry {
  JobId job;
  std::string partner;
  std::string team;
  std::string service;
  std::string kind;
  std::string urgency_class;
  uint32_t tasks = 0;
  uint32_t started_below = 0;  // the first watermark, as in WatermarkEntry
  WallTime accepted;
  uint64_t digest = 0;  // of the submission; 0 when an older version wrote it
  std::string unknown_members;

  auto operator==(const AcceptedEntry&) const -> bool = default;
};

// Tasks below `started_below` may have started; no other task of the job has.
struct WatermarkEntry {
  JobId job;
  uint32_t started_below = 0;
  std::string unknown_members;

  auto operator==(const WatermarkEntry&) const -> bool = default;
};

// How a job ended.
struct FinalEntry {
  JobId job;
  std::string partner;
  std::string team;
  std::string service;
  std::string urgency_class;
  JobState state = JobState::kFailed;  // kDone or kFailed
  TaskRuns tasks;                      // by task index
  std::string reason;                  // why it failed
  std::vector<std::string> results;    // one JSON text a task; only when done
  bool results_dropped = false;        // done, but the results were not kept
  WallTime finished;
  uint64_t digest = 0;  // as in AcceptedEntry
  std::string unknown_members;

  auto operator==(const FinalEntry&) const -> bool = default;
};

// Submissions that were refused for the same reason; nothing of them ran. An id
// in `ranges` was minted for this partner and marked as used before the entry
// was collected, so its refusal is final.
struct RefusedEntry {
  Incarnation incarnation;  // that minted the ids in `ranges`
  std::string partner;
  Refusal reason = Refusal::kInvalid;
  SequenceRanges ranges;
  uint64_t unidentified = 0;  // refused requests without a valid id
  std::string unknown_members;

  auto operator==(const RefusedEntry&) const -> bool = default;
};

// An entry of a type that this version does not know: kept as it stands.
struct UnknownEntry {
  std::string text;

  auto operator==(const UnknownEntry&) const -> bool = default;
};

using LedgerEntry = std::variant<AcceptedEntry,
                                 WatermarkEntry,
                                 FinalEntry,
                                 RefusedEntry,
                                 UnknownEntry>;

// Appends to the last run when the state is the same.
auto AppendRun(TaskRuns& runs, TaskState state, uint32_t count) -> void;
auto EncodeRuns(const std::vector<TaskState>& states) -> TaskRuns;
auto CountTasks(const TaskRuns& runs, TaskState state) -> uint64_t;

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_ENTRIES_H_
