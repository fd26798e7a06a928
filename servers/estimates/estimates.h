// Learns how long tasks run, per kind of work, and how fast each worker is.
// Declared run times are only a prior: they fade with the first observations.
#ifndef SERVERS_ESTIMATES_ESTIMATES_H_
#define SERVERS_ESTIMATES_ESTIMATES_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/base/clock.h"
#include "servers/estimates/lru_map.h"
#include "servers/estimates/work_kind.h"
#include "servers/fleet/worker_id.h"

namespace boragecroft {

// Kinds and workers that are remembered at most.
inline constexpr size_t kMaxEstimatedKinds = 1024;
inline constexpr size_t kMaxEstimatedWorkers = 1024;
// Observations after which a declared run time no longer counts.
inline constexpr uint32_t kHintObservations = 8;
// Observations from which the high quantile is learned well enough to hedge.
inline constexpr uint32_t kHedgeObservations = 20;

// Counts of run times in buckets that grow by a quarter of an octave, from
// 100 us to over 100 s. Old counts decay.
struct RunTimeHistogram {
  static constexpr size_t kBuckets = 84;
  std::array<float, kBuckets> counts{};
  float total = 0;
};

struct KindHistory {
  uint32_t observations = 0;  // saturates
  double mean_us = 0;         // exponentially weighted
  RunTimeHistogram histogram;
};

struct WorkerHistory {
  uint32_t observations = 0;  // saturates
  double log_slowness = 0;    // mean of ln(run time / mean of its kind)
};

struct Estimates {
  LruMap<WorkKind, KindHistory> kinds{kMaxEstimatedKinds};
  LruMap<WorkerId, WorkerHistory> workers{kMaxEstimatedWorkers};
};

struct RunTimeEstimate {
  microseconds mean{};
  microseconds high{};        // 95 % of the tasks run no longer
  uint32_t observations = 0;  // 0: the estimate is the hint or the default
};

// Notes one task that a worker answered as done after `run_time`. Failures
// carry no run time of the kind and are not recorded here.
auto RecordRunTime(Estimates& estimates,
                   const WorkKind& kind,
                   WorkerId worker,
                   microseconds run_time) -> void;

// The run time to expect on a worker of average speed. `hint` is the declared
// run time, 0 when not declared.
auto EstimateRunTime(const Estimates& estimates,
                     const WorkKind& kind,
                     milliseconds hint) -> RunTimeEstimate;

// How fast a worker is: 1 is average or unknown, 2 is twice as fast.
auto WorkerSpeed(const Estimates& estimates, WorkerId worker) -> double;

}  // namespace boragecroft

#endif  // SERVERS_ESTIMATES_ESTIMATES_H_
