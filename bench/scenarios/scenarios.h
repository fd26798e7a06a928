// Lists the scenarios. Each starts a fleet, runs a load on it and prints its
// figures.
#ifndef BENCH_SCENARIOS_SCENARIOS_H_
#define BENCH_SCENARIOS_SCENARIOS_H_

#include <string>
#include <vector>

#include "bench/load/report.h"

namespace boragecroft::bench {

struct ScenarioContext {
  Reporter reporter;
  std::string policy;
  uint64_t seed = 0;
};

struct Scenario {
  std::string name;
  void (*run)(const ScenarioContext& context) = nullptr;
};

// Return the scenarios in the order of their importance to the users.
auto LoadScenarios() -> std::vector<Scenario>;
auto FaultScenarios() -> std::vector<Scenario>;

}  // namespace boragecroft::bench

#endif  // BENCH_SCENARIOS_SCENARIOS_H_
