// Plays a drawn day on the real decisions: an intake for each instance, a
// scheduler for each group of workers, on a virtual clock. No processes, no
// store, no trouble of instances: what differs from the bench stands in
// docs/design/placement.md.
#ifndef BENCH_REPLAY_WORLD_H_
#define BENCH_REPLAY_WORLD_H_

#include <optional>
#include <string>
#include <vector>

#include "bench/replay/day.h"
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
enum class ReturnHabit : uint8_t {
  kNever,
  kAsTold,    // once, after Retry-After
  kAtRandom,  // once, at a moment between none and twice the mean Retry-After
};

struct ReplayOptions {
  SchedulingPolicy policy;
  GroupLayout layout = GroupLayout::kZone;
  ReturnHabit returns = ReturnHabit::kNever;
  // For kAtRandom: the longest wait.
  milliseconds longest_return{4000};
};

struct JobRecord {
  size_t job = 0;  // of the day
  bool returned = false;
  Instant sent;  // by the caller
  std::optional<JobOutcome> outcome;
  Instant answered;  // as the caller sees it
  bool left = false;
  milliseconds retry_after{};
  milliseconds waited{};  // before a return
};

struct Played {
  std::vector<JobRecord> records;  // the day's jobs first, then returns
  double wasted_core_ms = 0;
  uint64_t starts = 0;
  uint32_t overfull = 0;
  // Runs that a scheduler still counts long after the day: never expected.
  uint32_t unsettled = 0;
};

auto PlayDay(const Day& day, const ReplayOptions& options) -> Played;

}  // namespace boragecroft::bench

#endif  // BENCH_REPLAY_WORLD_H_
