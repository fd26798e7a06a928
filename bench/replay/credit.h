// Computes the share of the possible credit that a simulated workload earned,
// as its callers see it: in total, by kind, by zone and in the worst seconds.
#ifndef BENCH_REPLAY_CREDIT_H_
#define BENCH_REPLAY_CREDIT_H_

#include <array>
#include <vector>

#include "bench/replay/simulation.h"

namespace boragecroft::bench {

// Answers within this many objectives earn kLateWorth of the credit.
inline constexpr int kLateObjectives = 3;
inline constexpr double kLateWorth = 0.2;

// Credit that each job of a workload earned, from 0 to its worth.
using Credits = std::vector<double>;

// Shares of one kind of job by the size of its jobs (core-milliseconds).
struct SizeShares {
  double all = 1;
  double largest = 1;               // of the largest tenth
  double next_fifth = 1;            // of the fifth below the largest tenth
  std::array<double, 10> tenths{};  // largest first
};

struct CreditShares {
  double total = 0;
  double worst_kind = 0;
  double worst_zone = 0;
  double worst_window = 0;  // mean of the two worst windows of 2 s
  double bursts = 0;        // of jobs that arrive during a burst
  double steady = 0;        // of all other jobs
  double mark = 0;          // weighted sum with the weights of the users
  std::vector<double> kinds;
  std::vector<double> zones;
  double largest = 0;             // of the largest tenth of the longest kind
  std::vector<SizeShares> sizes;  // by kind
};

struct CreditSummary {
  CreditShares shares;
  // Share of the jobs that were answered with success while their callers
  // waited, by kind. For the bound: the share of their work that fits.
  std::vector<SizeShares> served;
  double refused = 0;  // share of the counted jobs
  double late = 0;
  double lost = 0;  // neither answered in time, nor late, nor refused
  // Not served after more than half of the time that callers wait: share of the
  // jobs, and of the worth of all jobs.
  double held = 0;
  double held_worth = 0;
  double refused_late = 0;  // refused after a quarter of the objective
  double refusal_p50_ms = 0;
  double wasted_core_s = 0;
  // Share of the retried jobs that were served in time.
  double retried_in_time = 0;
  double retry_wait_ms = 0;  // mean wait before the retry
  uint64_t retried = 0;
};

auto CreditsOf(const Workload& workload, const SimulationResult& result)
    -> Credits;
auto SharesOf(const Workload& workload, const Credits& credits) -> CreditShares;
// Returns the shares of jobs served, by kind and size. `served` holds the part
// of each job that was served, 0 to 1.
auto ServedSharesOf(const Workload& workload, const Credits& served)
    -> std::vector<SizeShares>;
auto SummarizeCredit(const Workload& workload, const SimulationResult& result)
    -> CreditSummary;

// Returns the mean of several workloads.
auto MeanOf(const std::vector<CreditSummary>& summaries) -> CreditSummary;

}  // namespace boragecroft::bench

#endif  // BENCH_REPLAY_CREDIT_H_
