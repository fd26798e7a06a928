// Counts outcomes of a job or a kind of work per worker, to answer how often it
// fails elsewhere than on the worker under judgement.
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

// A worker's counts are halved as they grow, so that recent outcomes weigh
// most.
struct OutcomeTally {
  std::vector<WorkerTally> workers;  // at most kMaxTalliedWorkers
};

inline constexpr size_t kMaxTalliedWorkers = 256;

// Outcomes on all workers but one. Each worker counts once, however many tasks
// it answered: a worker that fails fast answers most of them.
struct OutcomesElsewhere {
  uint32_t workers = 0;          // workers with any outcome
  uint32_t succeeding = 0;       // workers where most tasks were done
  double failure_share_sum = 0;  // sum over workers of failed / all
};

auto AddOutcome(OutcomeTally& tally, WorkerId worker, bool failed) -> void;
auto CountElsewhere(const OutcomeTally& tally, WorkerId worker)
    -> OutcomesElsewhere;

}  // namespace boragecroft

#endif  // SERVERS_HEALTH_TALLY_H_
