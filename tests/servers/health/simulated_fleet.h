// Instances that dispatch to workers of one service on a virtual clock: just
// enough to see what the decisions on workers do together.
#ifndef TESTS_SERVERS_HEALTH_SIMULATED_FLEET_H_
#define TESTS_SERVERS_HEALTH_SIMULATED_FLEET_H_

#include <cstdint>
#include <set>

#include "core/base/clock.h"
#include "servers/configuration/configuration.h"

namespace boragecroft {

struct SimulatedFleet {
  uint32_t workers = 16;
  uint32_t instances = 3;
  double load = 0.8;  // share of all slots
  DispatchPolicy policy = DispatchPolicy::kFair;
  std::set<uint32_t> bad_workers;     // fail all in 1 ms once they are broken
  bool one_job_in_ten_fails = false;  // everywhere, in 1 ms
  uint32_t tasks_per_job = 20;
  uint64_t seed = 1;
  seconds broken_at{5};
  seconds length{35};
};

struct SimulatedOutcome {
  uint64_t starts = 0;  // accepted by a worker
  uint64_t busy = 0;    // messages that were refused as busy
  uint64_t failed_by_bad_workers = 0;
  uint64_t wrong_ejections = 0;  // verdicts against a worker that is not bad
  microseconds last_ejection_after{};  // from the break to the last instance's
                                       // first verdict against each bad worker
  bool all_bad_workers_ejected = false;
  microseconds total_wait{};  // from arrival to start
};

auto Simulate(const SimulatedFleet& options) -> SimulatedOutcome;

}  // namespace boragecroft

#endif  // TESTS_SERVERS_HEALTH_SIMULATED_FLEET_H_
