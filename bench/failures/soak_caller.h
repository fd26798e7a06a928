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

// Submits each job again, as its caller would who has no final answer yet,
// until every answer is final and recorded or `timeout` has passed.
auto SettleJobs(const std::vector<Address>& servers,
                std::vector<TrackedJob>& jobs,
                milliseconds timeout) -> void;

}  // namespace boragecroft::bench

#endif  // BENCH_FAILURES_SOAK_CALLER_H_
