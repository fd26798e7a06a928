// Keeps what a caller of the soak test knows about a job, and the faults that
// the answers about it reveal.
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
  bool accepted = false;  // an answer said that the job is active or ended
  bool durable = false;   // an answer was durable (see IsDurable)
  bool refused_permanently = false;  // a refusal said that the id is used up
  // When the request was sent that received the latest refusal.
  std::optional<Instant> refused_request_sent_at;
  std::string recorded_state;         // the final state of a recorded answer
  std::vector<size_t> not_run_tasks;  // tasks reported as not run by any answer
  // Answers that contradict an earlier recorded answer.
  int contradictions = 0;
  // Refusals that followed an answer by which the job had been accepted.
  int refusals_after_acceptance = 0;
  // Answers that are about another job, that contain results of other tasks, or
  // that are incomplete: done without one result per task, or not done and with
  // results.
  int partial = 0;
};

// Returns the length in bytes of the result of a task. The length distinguishes
// the result from those of other tasks and jobs.
auto ResultBytes(const lab::JobSpec& job, size_t index) -> size_t;
// Reports whether an answer is final and is not a refusal that leaves the id
// unused. After such a refusal the job may be submitted again under its id.
auto IsSettled(const lab::JsonReply& reply) -> bool;
// Reports whether an answer is settled and can't change when the owner of the
// job terminates: the job was refused or its end was recorded.
auto IsDurable(const lab::JsonReply& reply) -> bool;
// Records an answer to a request that was sent at `sent`.
auto RecordAnswer(TrackedJob& tracked,
                  const lab::JsonReply& reply,
                  Instant sent) -> void;

// Calls `handle` for every job, on several threads concurrently.
auto ForEachJob(std::vector<TrackedJob>& jobs,
                const std::function<void(TrackedJob&)>& handle) -> void;

struct Findings {
  int submissions = 0;
  int double_starts = 0;
  int false_not_run = 0;
  int partial = 0;
  int unaccounted = 0;
};

// The answer that all instances gave about one job. It is empty when the
// answers differ or an instance gave no durable answer in time.
using CommonAnswer = std::optional<lab::JsonReply>;

// Queries every instance about every job, for at most 10 s and another 40 ms
// per job. Prints answers that differ or are missing.
auto QueryAllInstances(const std::vector<Address>& servers,
                       std::vector<TrackedJob>& jobs)
    -> std::vector<CommonAnswer>;

// Compares the answers, the account and the starts that the endpoints counted
// with each other. Prints every difference.
auto Reconcile(lab::Cluster& cluster,
               const std::vector<TrackedJob>& jobs,
               const std::vector<CommonAnswer>& answers) -> Findings;

}  // namespace boragecroft::bench

#endif  // BENCH_FAILURES_TRACKED_JOB_H_
