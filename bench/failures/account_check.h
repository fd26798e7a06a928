// Holds the account that operators are shown against the answers that callers
// got: every submission is in it, and once.
#ifndef BENCH_FAILURES_ACCOUNT_CHECK_H_
#define BENCH_FAILURES_ACCOUNT_CHECK_H_

#include <vector>

#include "bench/failures/tracked_job.h"

namespace boragecroft::bench {

// How many instances show another account than the answers tell, in bounded
// time. Prints the differences.
auto CheckAccounts(lab::Cluster& cluster,
                   const std::vector<CommonAnswer>& answers) -> int;

}  // namespace boragecroft::bench

#endif  // BENCH_FAILURES_ACCOUNT_CHECK_H_
