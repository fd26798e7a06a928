// The most credit that anyone could have earned on a day, worked out afterwards
// with all arrivals and run times known.
//
// A relaxation, so that it is a true bound: tasks may be split and moved freely
// among all workers of the site, no message takes time, rooms of different
// sizes waste nothing. What stays: a task runs no faster than the fastest
// worker, a job's work lies between its arrival and its objective (or the
// latest time that earns anything), slow and silent workers give less.
//
// The work that can be done in such windows is a polymatroid, so taking jobs
// by worth per work, each as far as room can be made by moving others, gives
// the most worth in time. The late credit is bounded by a second such plan.
#ifndef BENCH_REPLAY_BOUND_H_
#define BENCH_REPLAY_BOUND_H_

#include "bench/replay/credit.h"
#include "bench/replay/workload.h"

namespace boragecroft::bench {

// The part of each job's work that fits, 0 to 1, when the jobs are taken in
// `order`, each within `objectives` times its objective.
auto FitInOrder(const Workload& workload,
                const std::vector<size_t>& order,
                int objectives) -> std::vector<double>;

// Credit of each job in the plan in time, plus what late answers could add.
auto BoundOf(const Workload& workload) -> Credits;

// Of the credit of the refused jobs: the part that a plan with full knowledge
// serves in time beside all that was served.
auto MissedShare(const Workload& workload, const SimulationResult& result)
    -> double;

}  // namespace boragecroft::bench

#endif  // BENCH_REPLAY_BOUND_H_
