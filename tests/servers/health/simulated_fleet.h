// Simulates instances that dispatch to the workers of one service on a virtual
// clock, with just enough detail to show how dispatching and ejection interact.
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
  // These workers fail every task in 1 ms from `broken_at` on.
  std::set<uint32_t> bad_workers;
  bool one_job_in_ten_fails = false;  // on every worker, in 1 ms
  uint32_t tasks_per_job = 20;
  uint64_t seed = 1;
  seconds broken_at{5};
  seconds length{35};
};

struct SimulatedOutcome {
  uint64_t starts = 0;  // tasks accepted by a worker
  uint64_t busy = 0;    // messages that were refused as busy
  uint64_t failed_by_bad_workers = 0;
  uint64_t wrong_ejections = 0;  // ejections of a worker that is not bad
  // Time from the fault to the ejection of the last bad worker by the last
  // instance.
  microseconds last_ejection_after{};
  bool all_bad_workers_ejected = false;
  microseconds total_wait{};  // from arrival to start
};

auto Simulate(const SimulatedFleet& options) -> SimulatedOutcome;

}  // namespace boragecroft

#endif  // TESTS_SERVERS_HEALTH_SIMULATED_FLEET_H_
