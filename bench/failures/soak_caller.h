// One caller of the soak test. It submits, resubmits, fetches and cancels jobs
// through any instance. Its random numbers choose the requests.
#ifndef BENCH_FAILURES_SOAK_CALLER_H_
#define BENCH_FAILURES_SOAK_CALLER_H_

#include <atomic>
#include <vector>

#include "bench/failures/tracked_job.h"

namespace boragecroft::bench {

// Sends requests until `stopping` is set and returns the submitted jobs.
auto RunSoakCaller(const std::vector<Address>& servers,
                   uint64_t seed,
                   const std::atomic<bool>& stopping)
    -> std::vector<TrackedJob>;

// Resubmits each job, as a caller without a final answer does, until its answer
// is durable (see IsDurable) or `timeout` has passed for all jobs together.
auto SettleJobs(const std::vector<Address>& servers,
                std::vector<TrackedJob>& jobs,
                milliseconds timeout) -> void;

}  // namespace boragecroft::bench

#endif  // BENCH_FAILURES_SOAK_CALLER_H_
