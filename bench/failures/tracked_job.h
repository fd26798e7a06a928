// What a caller of the soak remembers of a job, and what its answers prove.
#ifndef BENCH_FAILURES_TRACKED_JOB_H_
#define BENCH_FAILURES_TRACKED_JOB_H_

#include <string>
#include <vector>

#include "tests/lab/caller.h"
#include "tests/lab/cluster.h"

namespace boragecroft::bench {

struct TrackedJob {
  lab::JobSpec job;
  bool submitted = false;
  bool accepted = false;          // an answer said that it is active or ended
  bool refused_for_good = false;  // refused without a hint to try again
  bool unknown = false;         // an answer since the last submission said that
                                // nothing was submitted
  std::string recorded;         // the final state of a recorded answer
  std::vector<size_t> not_run;  // tasks that some answer called so
  int contradictions = 0;       // recorded answers that a later one contradicts
  int false_refusals = 0;       // refusals of what had been accepted before
  int partial = 0;              // answers that were neither whole nor failed
};

// Final for good: not a refusal that asks to try again.
auto IsSettled(const lab::JsonReply& reply) -> bool;
// Takes note of an answer.
auto Note(TrackedJob& tracked, const lab::JsonReply& reply) -> void;

struct Findings {
  int submissions = 0;
  int double_starts = 0;
  int false_not_run = 0;
  int partial = 0;
  int unaccounted = 0;
};

// Asks every instance about every job and holds the answers, the account and
// what the endpoints counted against each other. Prints what does not agree.
auto Reconcile(lab::Cluster& cluster, std::vector<TrackedJob>& jobs)
    -> Findings;

}  // namespace boragecroft::bench

#endif  // BENCH_FAILURES_TRACKED_JOB_H_
