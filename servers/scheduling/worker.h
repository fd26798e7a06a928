// Tracks one worker for the scheduler: its runs, the resources that they
// occupy, and the time until which its leases can last.
//
// Handles orders without an answer, workers that restart under the same id, and
// runs that an earlier holder started. Resources stay occupied until the worker
// itself reports the end of a run, or the run's lease must have expired.
#ifndef SERVERS_SCHEDULING_WORKER_H_
#define SERVERS_SCHEDULING_WORKER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/base/address.h"
#include "core/base/clock.h"
#include "servers/scheduling/job.h"
#include "servers/scheduling/warm_up.h"

namespace boragecroft {

// Entry by which a worker describes itself in the platform's store.
struct WorkerEntry {
  std::string id;
  std::string service;
  Address address;
  std::string zone;
  std::string kind;  // first label of the worker
  bool draining = false;
  Resources capacity;
  milliseconds started_at{};  // start of this incarnation, since 1970
  milliseconds cold_left{};   // slow for this much longer, from the row's read
  Instant cold_until;         // SetColdUntil(); zero: the row says no such time

  auto operator==(const WorkerEntry&) const -> bool = default;
};

enum class RunState : uint8_t {
  kOrdered,   // the start order has no answer yet
  kRunning,   // the worker has confirmed the start
  kStopping,  // a stop order has no answer yet
  kStopped,   // the worker has confirmed the stop but not reported the end yet
};

struct Run {
  TaskName task;
  uint32_t attempt = 0;
  Resources resources;
  RunState state = RunState::kOrdered;
  bool inherited = false;  // set when an earlier holder started the run
  bool overdue = false;    // set once it has run far longer than expected
  bool job_ended = false;  // set when its job has ended without it
  Instant ordered_at;
  microseconds expected{};  // run time expected on this worker
  Instant settled_at;  // time of the answer to the last order about the run
  // Number of stop orders without an answer since the worker last answered
  // after too many of them.
  uint32_t stops = 0;
  bool stop_unanswered = false;  // set once a stop order had no answer
};

enum class RunEnd : uint8_t { kDone, kFailed, kStopped, kLeaseExpired };

struct EndedRun {
  uint64_t sequence = 0;  // number of the end within one incarnation, from 1
  TaskName task;
  uint32_t attempt = 0;
  RunEnd end = RunEnd::kLeaseExpired;
};

struct ListedRun {
  TaskName task;
  uint32_t attempt = 0;
};

// Answer of a worker to a lease renewal: all its runs and every end that has
// not been acknowledged.
struct RunReport {
  milliseconds started_at{};
  milliseconds clock{};  // the worker's own clock
  std::vector<ListedRun> running;
  std::vector<EndedRun> ended;
  bool complete = true;  // false when there are more ends than one answer holds
};

struct WorkerAccount {
  WorkerEntry entry;
  bool listed = true;     // false when its entry has been removed
  bool fenced = false;    // set when this incarnation has answered a renewal of
                          // the current term
  bool reachable = true;  // false when orders remain unanswered
  uint32_t incarnations_seen = 0;  // restarts seen in this term
  Resources used;
  std::vector<Run> runs;
  uint64_t ended_seen = 0;   // highest end that has been read
  uint64_t ended_acked = 0;  // highest end that a renewal has acknowledged
  // Reading of the worker's clock, and the latest local time at which it can
  // have been taken.
  std::optional<milliseconds> clock;
  Instant clock_read_at;
  milliseconds leased_until{};  // on the worker's clock: the longest lease sent
  std::optional<WarmUp> warm_up;  // empty: takes full load
  bool renewal_in_flight = false;
  uint32_t unanswered_renewals = 0;  // consecutive renewals without an answer
  Instant next_renewal;  // when unreachable: earliest time of the next renewal
};

// Returns the lease to request, as a time on the worker's clock. It is never
// further ahead than the length of a lease, whatever the age of the clock
// reading. Returns 0 without a reading.
auto NextLease(const WorkerAccount& worker, Instant now) -> milliseconds;
// Returns the time by which all leases on the worker must have expired.
auto ExpiredBy(const WorkerAccount& worker) -> Instant;
// Records a reading of the worker's clock that arrived at `now`. Ignores a
// reading that is older than the recorded one.
auto RecordClock(WorkerAccount& worker, milliseconds clock, Instant now)
    -> void;

// Reports whether the worker may execute a run that must end: one of an earlier
// holder, or of a job that has ended. A lease covers everything on the worker,
// so none may be extended until the worker has confirmed the stop: the caller
// of such a job may send it again, and it may start elsewhere.
auto HasRunToEnd(const WorkerAccount& worker) -> bool;

auto FindRun(WorkerAccount& worker, TaskName task, uint32_t attempt) -> Run*;
auto AddRun(WorkerAccount& worker, Run run) -> void;
auto RemoveRun(WorkerAccount& worker, TaskName task, uint32_t attempt) -> void;

// Changes that a report makes to the account.
struct Reconciled {
  struct Ended {
    Run run;
    RunEnd end = RunEnd::kLeaseExpired;
  };
  std::vector<Ended> ended;  // runs that have been removed from the account
  std::vector<ListedRun> inherited;  // runs of an earlier holder that have been
                                     // added to the account
};

// Updates the account from the answer to a renewal that was sent at `sent`. A
// run that the worker lists neither as running nor as ended does not exist any
// more, provided that its last order had been answered before `sent` or that
// every lease had expired when the worker answered.
auto Reconcile(WorkerAccount& worker, const RunReport& report, Instant sent)
    -> Reconciled;

// Removes and returns all runs, after a restart of the worker or the expiry of
// all its leases.
auto RemoveAllRuns(WorkerAccount& worker) -> std::vector<Run>;

}  // namespace boragecroft

#endif  // SERVERS_SCHEDULING_WORKER_H_
