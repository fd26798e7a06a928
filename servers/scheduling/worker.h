// The account of one worker: what runs there, how much room that takes, and how
// long its leases can last.
//
// Load answered: orders without an answer, workers that start anew under their
// id, runs that an earlier holder left behind. Room stays taken until the
// worker itself says that a run has ended, or its lease must have lapsed.
#ifndef SERVERS_SCHEDULING_WORKER_H_
#define SERVERS_SCHEDULING_WORKER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/base/address.h"
#include "core/base/clock.h"
#include "servers/scheduling/job.h"

namespace boragecroft {

// A worker as it describes itself in the platform's store.
struct WorkerEntry {
  std::string id;
  std::string service;
  Address address;
  std::string zone;
  std::string kind;  // first label
  bool draining = false;
  Resources capacity;
  milliseconds started_at{};  // start of this life, since 1970

  auto operator==(const WorkerEntry&) const -> bool = default;
};

enum class RunState : uint8_t {
  kOrdered,   // the start has no answer yet
  kRunning,   // the worker confirmed the start
  kStopping,  // a stop has no answer yet
  kStopped,   // the worker confirmed the stop; its end is not listed yet
};

struct Run {
  TaskName task;
  uint32_t attempt = 0;
  Resources resources;
  RunState state = RunState::kOrdered;
  bool inherited = false;  // started by an earlier holder
  bool overdue = false;    // was seen to run far longer than expected
  Instant ordered_at;
  Instant settled_at;  // when the last order about it was answered
  uint32_t stops = 0;  // stop orders without an answer
};

enum class RunEnd : uint8_t { kDone, kFailed, kStopped, kLeaseExpired };

struct EndedRun {
  uint64_t sequence = 0;  // counts the ends of one life from 1
  TaskName task;
  uint32_t attempt = 0;
  RunEnd end = RunEnd::kLeaseExpired;
};

struct ListedRun {
  TaskName task;
  uint32_t attempt = 0;
};

// A worker's answer to a hold: everything that runs and each end that was not
// acknowledged.
struct RunReport {
  milliseconds started_at{};
  milliseconds clock{};  // the worker's own
  std::vector<ListedRun> running;
  std::vector<EndedRun> ended;
  bool complete = true;  // false: there are more ends than one answer holds
};

struct WorkerAccount {
  WorkerEntry entry;
  bool listed = true;     // false: its entry is gone
  bool fenced = false;    // answered a hold of this tenure in this life
  bool reachable = true;  // false: orders go unanswered
  uint32_t incarnations_seen = 0;  // lives seen in this tenure
  Resources used;
  std::vector<Run> runs;
  uint64_t ended_seen = 0;   // highest end that was read
  uint64_t ended_acked = 0;  // highest end that a hold acknowledged
  // A reading of the worker's clock, and the latest moment it can be of.
  std::optional<milliseconds> clock;
  Instant clock_read_at;
  milliseconds leased_until{};  // worker clock; the longest lease sent
  bool renewal_in_flight = false;
  uint32_t unanswered_renewals = 0;  // holds in turn without an answer
  Instant next_renewal;              // when unreachable: earliest next try
};

// The lease to ask for: a time on the worker's clock. Never further ahead than
// the length of a lease, whatever the age of the reading. 0 without a reading.
auto NextLease(const WorkerAccount& worker, Instant now) -> milliseconds;
// The moment by which everything on the worker must have lapsed.
auto ExpiredBy(const WorkerAccount& worker) -> Instant;
// Takes a reading of the worker's clock that arrived at `now`.
auto RecordClock(WorkerAccount& worker, milliseconds clock, Instant now)
    -> void;

auto FindRun(WorkerAccount& worker, TaskName task, uint32_t attempt) -> Run*;
auto AddRun(WorkerAccount& worker, Run run) -> void;
auto RemoveRun(WorkerAccount& worker, TaskName task, uint32_t attempt) -> void;

// What a report says of runs in the account, and of runs that are not in it.
struct Reconciled {
  struct Ended {
    Run run;
    RunEnd end = RunEnd::kLeaseExpired;
  };
  std::vector<Ended> ended;          // no longer in the account
  std::vector<ListedRun> inherited;  // now in the account, started by others
};

// Brings the account in line with an answer to a hold that was sent at `sent`.
// A run that the worker lists neither as running nor as ended is gone when its
// last order had been answered before.
auto Reconcile(WorkerAccount& worker, const RunReport& report, Instant sent)
    -> Reconciled;

// Empties the account: the worker started anew, or all leases lapsed.
auto RemoveAllRuns(WorkerAccount& worker) -> std::vector<Run>;

}  // namespace boragecroft

#endif  // SERVERS_SCHEDULING_WORKER_H_
