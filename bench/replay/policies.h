// Names the policies that a replay compares.
#ifndef BENCH_REPLAY_POLICIES_H_
#define BENCH_REPLAY_POLICIES_H_

#include <optional>
#include <string>
#include <vector>

#include "bench/replay/workload.h"
#include "servers/scheduling/policy.h"

namespace boragecroft::bench {

// Returns the names of the policies. The first one is the policy that the
// instances use.
auto PolicyNames() -> std::vector<std::string>;

// Returns the policy with this name, or nothing when the name is unknown. The
// worth of the kinds is taken from `shape`.
auto PolicyOf(const std::string& name, const WorkloadShape& shape)
    -> std::optional<SchedulingPolicy>;

}  // namespace boragecroft::bench

#endif  // BENCH_REPLAY_POLICIES_H_
