// Estimates how long tasks run, per kind of work, and how fast each worker is.
// Declared run times are only a prior, whose weight decreases with the first
// observations.
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

// Limits on the numbers of kinds and of workers that are remembered.
inline constexpr size_t kMaxEstimatedKinds = 1024;
inline constexpr size_t kMaxEstimatedWorkers = 1024;
// Number of observations after which a declared run time is no longer used.
inline constexpr uint32_t kHintObservations = 8;
// Number of observations from which the high quantile is accurate enough for
// hedging.
inline constexpr uint32_t kHedgeObservations = 20;

// Counts of run times in buckets that grow by a quarter of an octave, from 100
// us to over 100 s. Old counts decay.
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
  microseconds high{};        // 95 % of the tasks run no longer than this
  uint32_t observations = 0;  // if 0, the estimate is the hint or the default
};

// Records a task that a worker answered as done after `run_time`. Failed tasks
// are not recorded here, because their run time is not typical of the kind.
auto RecordRunTime(Estimates& estimates,
                   const WorkKind& kind,
                   WorkerId worker,
                   microseconds run_time) -> void;

// Returns the run time to expect on a worker of average speed. `hint` is the
// declared run time, or 0 if none was declared.
auto EstimateRunTime(const Estimates& estimates,
                     const WorkKind& kind,
                     milliseconds hint) -> RunTimeEstimate;

// Returns the relative speed of a worker: 1 is average or unknown, 2 is twice
// as fast.
auto WorkerSpeed(const Estimates& estimates, WorkerId worker) -> double;

}  // namespace boragecroft

#endif  // SERVERS_ESTIMATES_ESTIMATES_H_
