// Computes an upper bound of the credit that any policy can earn on a workload,
// with all arrivals and run times known.
//
// The bound is a relaxation: tasks may be split and moved freely among all
// workers of the site, messages take no time, and needs of different sizes
// leave no capacity unused. These limits remain: a task runs no faster than on
// the fastest worker, the work of a job lies between its arrival and its
// objective (or the latest time that earns anything), and slow or unresponsive
// workers do less work.
//
// The work that can be done in such windows is a polymatroid. Therefore the
// credit in time is maximal when the jobs are added by worth per work, each as
// far as work of the others can be moved to make it fit. The credit of late
// answers is bounded by a second plan of this kind.
#ifndef BENCH_REPLAY_BOUND_H_
#define BENCH_REPLAY_BOUND_H_

#include "bench/replay/credit.h"
#include "bench/replay/workload.h"

namespace boragecroft::bench {

// Returns the share of each job's work that fits, 0 to 1, when the jobs are
// added in `order`, each within `objectives` times its objective.
auto FitInOrder(const Workload& workload,
                const std::vector<size_t>& order,
                int objectives) -> std::vector<double>;

// Returns the credit of each job in the plan in time, plus the credit that late
// answers could add.
auto BoundOf(const Workload& workload) -> Credits;

// Returns the part of each job, 0 to 1, that a plan with full knowledge serves
// before the caller leaves, when it adds the jobs by worth per work.
auto ServedBoundOf(const Workload& workload) -> Credits;

// Returns the share of the total credit that refused jobs would have earned in
// a plan with full knowledge that serves them in time in addition to all jobs
// that were served.
auto MissedShare(const Workload& workload, const SimulationResult& result)
    -> double;

}  // namespace boragecroft::bench

#endif  // BENCH_REPLAY_BOUND_H_
