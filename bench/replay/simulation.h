// Plays a drawn day on the real decisions: an intake for each instance, a
// scheduler for each group of workers, on a virtual clock. No processes, no
// store, no trouble of instances: what differs from the bench stands in
// docs/design/placement.md.
#ifndef BENCH_REPLAY_SIMULATION_H_
#define BENCH_REPLAY_SIMULATION_H_

#include <optional>
#include <string>
#include <vector>

#include "bench/replay/workload.h"
#include "servers/scheduling/policy.h"
#include "servers/scheduling/scheduler.h"

namespace boragecroft::bench {

// Who holds which workers.
enum class GroupLayout : uint8_t {
  kZone,      // one group a zone
  kInstance,  // each instance a share of its zone's workers
  kSite,      // one group for all
};

// What callers do after a refusal.
enum class RetryBehavior : uint8_t {
  kNever,
  kAsAdvised,  // once, after Retry-After
  kAtRandom,   // once, at a moment between none and twice the mean Retry-After
};

struct ReplayOptions {
  SchedulingPolicy policy;
  GroupLayout layout = GroupLayout::kZone;
  RetryBehavior retry_behavior = RetryBehavior::kNever;
  // For kAtRandom: the longest wait.
  milliseconds longest_retry_wait{4000};
};

struct JobRecord {
  size_t job = 0;  // of the day
  bool is_retry = false;
  Instant sent;  // by the caller
  std::optional<JobOutcome> outcome;
  Instant answered;  // as the caller sees it
  bool caller_left = false;
  milliseconds retry_after{};
  milliseconds waited{};  // before a return
};

struct SimulationResult {
  std::vector<JobRecord> records;  // the day's jobs first, then returns
  double wasted_core_ms = 0;
  uint64_t starts = 0;
  uint32_t starts_over_capacity = 0;
  // Runs that a scheduler still counts long after the day: never expected.
  uint32_t unended_runs = 0;
};

auto SimulateWorkload(const Workload& workload, const ReplayOptions& options)
    -> SimulationResult;

}  // namespace boragecroft::bench

#endif  // BENCH_REPLAY_SIMULATION_H_
