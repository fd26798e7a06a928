#include "servers/health/tally.h"

#include <algorithm>
#include <iterator>

namespace boragecroft {

namespace {

// A worker's counts are halved when they reach this number of outcomes.
constexpr auto kHalveAtOutcomes = 16.0F;

}  // namespace

auto AddOutcome(OutcomeTally& tally, WorkerId worker, bool failed) -> void {
  auto it = std::find_if(
      tally.workers.begin(), tally.workers.end(),
      [&](const WorkerTally& entry) { return entry.worker == worker; });
  if (it == tally.workers.end()) {
    if (tally.workers.size() >= kMaxTalliedWorkers) {
      tally.workers.erase(tally.workers.begin());
    }
    tally.workers.push_back({.worker = worker});
    it = std::prev(tally.workers.end());
  }
  (failed ? it->failed : it->done) += 1;
  if (it->failed + it->done >= kHalveAtOutcomes) {
    it->failed /= 2;
    it->done /= 2;
  }
}

auto CountOutcomesElsewhere(const OutcomeTally& tally, WorkerId worker)
    -> OutcomesElsewhere {
  OutcomesElsewhere result;
  for (const auto& it : tally.workers) {
    if (it.worker == worker) {
      continue;
    }
    ++result.workers;
    result.succeeding += it.done > it.failed ? 1 : 0;
    result.failure_share_sum += it.failed / (it.done + it.failed);
  }
  return result;
}

}  // namespace boragecroft
