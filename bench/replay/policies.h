// The policies that a replay sets side by side, by name.
#ifndef BENCH_REPLAY_POLICIES_H_
#define BENCH_REPLAY_POLICIES_H_

#include <optional>
#include <string>
#include <vector>

#include "bench/replay/workload.h"
#include "servers/scheduling/policy.h"

namespace boragecroft::bench {

// The first is what the programs do.
auto PolicyNames() -> std::vector<std::string>;

// Empty: unknown name. The worth of kinds is taken from `shape`.
auto PolicyOf(const std::string& name, const WorkloadShape& shape)
    -> std::optional<SchedulingPolicy>;

}  // namespace boragecroft::bench

#endif  // BENCH_REPLAY_POLICIES_H_
