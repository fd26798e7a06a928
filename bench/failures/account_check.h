// Compares the account that the instances show to operators with the answers
// that callers received. Every submission must be in the account exactly once.
#ifndef BENCH_FAILURES_ACCOUNT_CHECK_H_
#define BENCH_FAILURES_ACCOUNT_CHECK_H_

#include <vector>

#include "bench/failures/tracked_job.h"

namespace boragecroft::bench {

// Returns the number of instances whose account still differs from the answers
// after 10 s for all instances together, and prints the differences.
auto CheckAccounts(lab::Cluster& cluster,
                   const std::vector<CommonAnswer>& answers) -> int;

}  // namespace boragecroft::bench

#endif  // BENCH_FAILURES_ACCOUNT_CHECK_H_
