// Credit earned of credit owed, as callers see a played day: in all, by kind,
// by zone and in the worst seconds.
#ifndef BENCH_REPLAY_CREDIT_H_
#define BENCH_REPLAY_CREDIT_H_

#include <vector>

#include "bench/replay/simulation.h"

namespace boragecroft::bench {

// Answers up to this many objectives late earn kLateWorth of the credit.
inline constexpr int kLateObjectives = 3;
inline constexpr double kLateWorth = 0.2;

// What each job of a day earned, 0 to its worth.
using Credits = std::vector<double>;

struct CreditShares {
  double total = 0;
  double worst_kind = 0;
  double worst_zone = 0;
  double worst_window = 0;  // mean of the two worst spans of two seconds
  double bursts = 0;        // jobs that arrive during a burst
  double steady = 0;        // all others
  double mark = 0;          // weighed as the users do
  std::vector<double> kinds;
  std::vector<double> zones;
  double largest = 0;  // the largest tenth of the longest kind
};

struct CreditSummary {
  CreditShares shares;
  double refused = 0;  // shares of the jobs owed
  double late = 0;
  double lost = 0;          // neither answered in time, late nor refused
  double refused_late = 0;  // after a quarter of the objective
  double refusal_p50_ms = 0;
  double wasted_core_s = 0;
  // Of the refused jobs that came back: the share served in time.
  double retried_in_time = 0;
  double retry_wait_ms = 0;  // mean, before coming back
  uint64_t retried = 0;
};

auto CreditsOf(const Workload& workload, const SimulationResult& result)
    -> Credits;
auto SharesOf(const Workload& workload, const Credits& credits) -> CreditShares;
auto SummarizeCredit(const Workload& workload, const SimulationResult& result)
    -> CreditSummary;

// The mean of several days.
auto MeanOf(const std::vector<CreditSummary>& summaries) -> CreditSummary;

}  // namespace boragecroft::bench

#endif  // BENCH_REPLAY_CREDIT_H_
