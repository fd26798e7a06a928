// One caller of the soak: submits, resubmits, fetches and cancels jobs through
// any instance, as its random numbers say.
#ifndef BENCH_FAILURES_SOAK_CALLER_H_
#define BENCH_FAILURES_SOAK_CALLER_H_

#include <atomic>
#include <vector>

#include "bench/failures/tracked_job.h"

namespace boragecroft::bench {

// Runs until `stopping`; the jobs that it submitted.
auto RunSoakCaller(const std::vector<Address>& servers,
                   uint64_t seed,
                   const std::atomic<bool>& stopping)
    -> std::vector<TrackedJob>;

}  // namespace boragecroft::bench

#endif  // BENCH_FAILURES_SOAK_CALLER_H_
