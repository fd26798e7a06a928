// Counts the outcomes of a job or of a kind of work per worker, to estimate how
// often it fails on workers other than the one under evaluation.
#ifndef SERVERS_HEALTH_TALLY_H_
#define SERVERS_HEALTH_TALLY_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "servers/fleet/worker_id.h"

namespace boragecroft {

struct WorkerTally {
  WorkerId worker;
  float done = 0;
  float failed = 0;
};

// Counts per worker. They are halved as they grow, so that recent outcomes have
// the greatest weight.
struct OutcomeTally {
  std::vector<WorkerTally> workers;  // at most kMaxTalliedWorkers
};

inline constexpr size_t kMaxTalliedWorkers = 256;

// Outcomes on all workers except one. Each worker has the same weight, however
// many tasks it answered, because a worker that fails quickly answers most of
// the tasks.
struct OutcomesElsewhere {
  uint32_t workers = 0;          // workers with any outcome
  uint32_t succeeding = 0;       // workers on which most tasks were done
  double failure_share_sum = 0;  // sum over workers of failed / all
};

auto AddOutcome(OutcomeTally& tally, WorkerId worker, bool failed) -> void;
auto CountOutcomesElsewhere(const OutcomeTally& tally, WorkerId worker)
    -> OutcomesElsewhere;

}  // namespace boragecroft

#endif  // SERVERS_HEALTH_TALLY_H_
