// Runs the load and fault scenarios under each dispatch policy and prints one
// JSON line for each figure.
#include <iostream>
#include <optional>

#include "bench/scenarios/scenarios.h"

namespace boragecroft::bench {
namespace {

constexpr uint64_t kDefaultSeed = 20261204;

struct Options {
  std::string only;
  std::vector<std::string> policies = {"fair", "round_robin", "two_choices"};
  uint64_t seed = kDefaultSeed;
};

auto ParseOptions(int argc, char** argv) -> std::optional<Options> {
  Options options;
  for (auto i = 1; i + 1 < argc; i += 2) {
    const std::string name = argv[i];
    const std::string value = argv[i + 1];
    if (name == "--only") {
      options.only = value;
    } else if (name == "--policy") {
      options.policies = {value};
    } else if (name == "--seed") {
      options.seed = std::stoull(value);
    } else {
      return std::nullopt;
    }
  }
  return argc % 2 == 1 ? std::optional(options) : std::nullopt;
}

auto RunOne(const Scenario& scenario, const std::string& policy, uint64_t seed)
    -> void {
  ScenarioContext context;
  context.policy = policy;
  context.seed = seed;
  context.reporter.bench = "scenarios";
  context.reporter.seed = seed;
  context.reporter.command = "scripts/bench scenarios --only " + scenario.name +
                             " --policy " + policy + " --seed " +
                             std::to_string(seed);
  std::cerr << scenario.name << " under " << policy << "\n";
  scenario.run(context);
}

auto RunAll(const Options& options) -> int {
  auto scenarios = LoadScenarios();
  const auto faults = FaultScenarios();
  scenarios.insert(scenarios.end(), faults.begin(), faults.end());
  auto ran = 0;
  for (const auto& scenario : scenarios) {
    if (!options.only.empty() && scenario.name != options.only) {
      continue;
    }
    for (const auto& policy : options.policies) {
      RunOne(scenario, policy, options.seed);
      ++ran;
    }
  }
  return ran > 0 ? 0 : 2;
}

}  // namespace
}  // namespace boragecroft::bench

// Usage: boragecroft_scenarios [--only NAME] [--policy POLICY] [--seed N]
auto main(int argc, char** argv) -> int {
  const auto options = boragecroft::bench::ParseOptions(argc, argv);
  if (!options) {
    std::cerr << "usage: boragecroft_scenarios [--only NAME] "
                 "[--policy fair|round_robin|two_choices] [--seed N]\n";
    return 2;
  }
  return boragecroft::bench::RunAll(*options);
}
