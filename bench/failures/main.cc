// A seeded soak with real processes: callers work across all instances while
// processes, links, the platform and workers fail at random; then everything
// heals, and answers, records and endpoints are held against each other.
#include <tclap/CmdLine.h>

#include <future>
#include <iostream>
#include <thread>

#include "bench/failures/soak_caller.h"
#include "bench/failures/trouble.h"

namespace boragecroft::bench {
namespace {

constexpr uint64_t kCallers = 6;
constexpr int kShortestGapMs = 200;
constexpr uint64_t kGapSpreadMs = 800;

auto SoakOptions() -> lab::ClusterOptions {
  lab::ClusterOptions options;
  options.links = true;
  options.extra_settings =
      "\"heartbeat_interval_ms\": 200, \"dead_after_ms\": 3000, "
      "\"pause_threshold_ms\": 500, \"list_poll_interval_ms\": 200, "
      "\"configuration_poll_interval_ms\": 200, \"platform_timeout_ms\": 500, "
      "\"balancer_grace_ms\": 300, \"drain_timeout_ms\": 5000";
  return options;
}

auto MakeTrouble(Trouble& trouble, Random& random, seconds lasts) -> void {
  const auto end = BootClock::now() + lasts;
  while (BootClock::now() < end) {
    trouble.Step();
    std::this_thread::sleep_for(milliseconds(
        kShortestGapMs + static_cast<int>(DrawBelow(random, kGapSpreadMs))));
  }
}

auto RunCallers(lab::Cluster& cluster,
                Trouble& trouble,
                uint64_t seed,
                seconds lasts) -> std::vector<TrackedJob> {
  std::vector<Address> servers;
  for (const auto& it : cluster.Instances()) {
    servers.push_back(it.callers);
  }
  std::atomic<bool> stopping = false;
  std::vector<std::future<std::vector<TrackedJob>>> callers;
  for (uint64_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::async(std::launch::async, [&, i] {
      return RunSoakCaller(servers, MixHash(seed, i), stopping);
    }));
  }
  Random random(MixHash(seed, kCallers));
  MakeTrouble(trouble, random, lasts);
  stopping = true;
  std::vector<TrackedJob> jobs;
  for (auto& it : callers) {
    for (auto& job : it.get()) {
      jobs.push_back(std::move(job));
    }
  }
  return jobs;
}

auto Soak(uint64_t seed, seconds lasts) -> int {
  lab::Cluster cluster(SoakOptions());
  Trouble trouble(cluster, seed);
  auto jobs = RunCallers(cluster, trouble, seed, lasts);
  const auto healed = trouble.HealAll();
  std::cout << "troubles:";
  for (const auto& it : trouble.Counts()) {
    std::cout << " " << it.first << "=" << it.second;
  }
  std::cout << (healed ? "\n" : "\n  an instance does not serve again\n");
  auto findings = Reconcile(cluster, jobs);
  findings.unaccounted += healed ? 0 : 1;
  std::cout << "failures: submissions=" << findings.submissions
            << " double_starts=" << findings.double_starts
            << " false_not_run=" << findings.false_not_run
            << " partial=" << findings.partial
            << " unaccounted=" << findings.unaccounted << " seed=" << seed
            << std::endl;
  return findings.double_starts + findings.false_not_run + findings.partial +
                     findings.unaccounted ==
                 0
             ? 0
             : 1;
}

}  // namespace
}  // namespace boragecroft::bench

// Usage: boragecroft_failures [--seed N] [--seconds N]
auto main(int argc, char** argv) -> int {
  TCLAP::CmdLine command("Seeded soak of a small deployment under failures");
  TCLAP::ValueArg<uint64_t> seed("", "seed", "Seed of all random choices",
                                 false, 1, "N", command);
  TCLAP::ValueArg<int> duration("", "seconds", "How long things fail", false,
                                60, "N", command);
  command.parse(argc, argv);
  return boragecroft::bench::Soak(seed.getValue(),
                                  boragecroft::seconds(duration.getValue()));
}
