// Simulates a drawn workload with the real decision modules on a virtual clock:
// an intake for each instance and a scheduler for each group of workers. There
// are no processes, no store and no faults of instances;
// docs/design/placement.md lists the differences from a bench run.
#ifndef BENCH_REPLAY_SIMULATION_H_
#define BENCH_REPLAY_SIMULATION_H_

#include <optional>
#include <string>
#include <vector>

#include "bench/replay/workload.h"
#include "servers/scheduling/policy.h"
#include "servers/scheduling/scheduler.h"

namespace boragecroft::bench {

// Assignment of the workers to groups.
enum class GroupLayout : uint8_t {
  kZone,      // one group for each zone
  kInstance,  // each instance holds a share of its zone's workers
  kSite,      // one group for all workers
};

// Behavior of callers after a refusal.
enum class RetryBehavior : uint8_t {
  kNever,
  kAsAdvised,  // one retry, after Retry-After
  kAtRandom,   // one retry, at a random time between zero and twice the mean
               // Retry-After
};

struct ReplayOptions {
  SchedulingPolicy policy;
  GroupLayout layout = GroupLayout::kZone;
  RetryBehavior retry_behavior = RetryBehavior::kNever;
  // Longest wait before a retry, for kAtRandom.
  milliseconds longest_retry_wait{4000};
};

struct JobRecord {
  size_t job = 0;  // index of the job in the workload
  bool is_retry = false;
  Instant sent;  // when the caller sent it
  std::optional<JobOutcome> outcome;
  Instant answered;  // when the answer reached the caller
  bool caller_left = false;
  milliseconds retry_after{};
  milliseconds waited{};  // before the retry
};

struct SimulationResult {
  std::vector<JobRecord> records;  // jobs first, then retries
  double wasted_core_ms = 0;
  uint64_t starts = 0;
  uint32_t starts_over_capacity = 0;
  // Runs that a scheduler still counts long after the workload has ended;
  // always 0 if the scheduler is correct.
  uint32_t unended_runs = 0;
};

auto SimulateWorkload(const Workload& workload, const ReplayOptions& options)
    -> SimulationResult;

}  // namespace boragecroft::bench

#endif  // BENCH_REPLAY_SIMULATION_H_
