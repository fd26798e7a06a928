// What a caller of the soak remembers of a job, and what its answers prove.
#ifndef BENCH_FAILURES_TRACKED_JOB_H_
#define BENCH_FAILURES_TRACKED_JOB_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "tests/lab/caller.h"
#include "tests/lab/cluster.h"

namespace boragecroft::bench {

struct TrackedJob {
  lab::JobSpec job;
  bool submitted = false;
  bool accepted = false;  // an answer said that it is active or ended
  bool durable = false;   // an answer was final and recorded
  bool refused_permanently = false;  // a refusal said that the id is used up
  std::optional<Instant>
      refused_request_sent_at;  // when the request was sent that the latest
                                // refusal answered
  std::string recorded_state;   // the final state of a recorded answer
  std::vector<size_t> not_run_tasks;  // tasks that some answer called so
  int contradictions = 0;  // recorded answers that a later one contradicts
  int refusals_after_acceptance =
      0;            // refusals of what had been accepted before
  int partial = 0;  // answers that were neither whole nor failed, or another
                    // job's
};

// How many bytes the result of a task has: tells it from those of other tasks
// and jobs.
auto ResultBytes(const lab::JobSpec& job, size_t index) -> size_t;
// Final for good: not a refusal that leaves the id unused.
auto IsSettled(const lab::JsonReply& reply) -> bool;
// Settled, and no death of its owner can change it: refused or recorded.
auto IsDurable(const lab::JsonReply& reply) -> bool;
// Takes note of an answer to a request that was sent at `sent`.
auto RecordAnswer(TrackedJob& tracked,
                  const lab::JsonReply& reply,
                  Instant sent) -> void;

// Calls `handle` for every job, several at a time.
auto ForEachJob(std::vector<TrackedJob>& jobs,
                const std::function<void(TrackedJob&)>& handle) -> void;

struct Findings {
  int submissions = 0;
  int double_starts = 0;
  int false_not_run = 0;
  int partial = 0;
  int unaccounted = 0;
};

// The answer that all instances gave to one job; empty when they did not agree
// or one gave none in time.
using CommonAnswer = std::optional<lab::JsonReply>;

// Asks every instance about every job, in bounded time. Prints what does not
// agree.
auto QueryAllInstances(const std::vector<Address>& servers,
                       std::vector<TrackedJob>& jobs)
    -> std::vector<CommonAnswer>;

// Holds the answers, the account and what the endpoints counted against each
// other. Prints what does not agree.
auto Reconcile(lab::Cluster& cluster,
               const std::vector<TrackedJob>& jobs,
               const std::vector<CommonAnswer>& answers) -> Findings;

}  // namespace boragecroft::bench

#endif  // BENCH_FAILURES_TRACKED_JOB_H_
