// A seeded soak test with real processes. Callers use all instances while
// processes, links, the platform and workers fail at random. Then all faults
// end, and the answers, the records and the starts counted by the endpoints are
// compared with each other.
#include <signal.h>
#include <tclap/CmdLine.h>

#include <atomic>
#include <future>
#include <iostream>
#include <thread>

#include "bench/failures/fault_injector.h"
#include "bench/failures/soak_caller.h"

namespace boragecroft::bench {
namespace {

constexpr uint64_t kCallers = 12;
constexpr int kShortestGapMs = 200;
constexpr uint64_t kGapSpreadMs = 800;
constexpr milliseconds kSettleTimeout{25000};
constexpr milliseconds kSettleTimePerJob{20};  // added for each job
constexpr milliseconds kSupervisionInterval{100};

// Prints and flushes the progress, so that a run that is stopped early leaves
// its output up to then.
auto PrintProgress(Instant began, const std::string& text) -> void {
  const auto passed =
      std::chrono::duration_cast<milliseconds>(BootClock::now() - began);
  std::cout << passed.count() << " ms: " << text << std::endl;
}

// Set by SIGTERM and SIGINT: fault injection then stops early and all faults
// end, so that no process is left behind.
std::atomic<bool> interrupted = false;

struct SoakArguments {
  uint64_t seed = 0;
  seconds duration{};
  bool keep = false;
};

auto SoakOptions(const SoakArguments& arguments) -> lab::ClusterOptions {
  lab::ClusterOptions options;
  options.links = true;
  options.instances_per_zone = 2;
  options.keep_folder = arguments.keep;
  options.extra_settings =
      "\"heartbeat_interval_ms\": 200, \"dead_after_ms\": 3000, "
      "\"pause_threshold_ms\": 500, \"list_poll_interval_ms\": 200, "
      "\"configuration_poll_interval_ms\": 200, \"platform_timeout_ms\": 500, "
      "\"balancer_grace_ms\": 300, \"drain_timeout_ms\": 5000";
  return options;
}

auto InjectFaults(FaultInjector& fault_injector,
                  Random& random,
                  Instant began,
                  seconds duration) -> void {
  const auto end = BootClock::now() + duration;
  while (BootClock::now() < end && !interrupted) {
    PrintProgress(began, fault_injector.InjectNextFault());
    std::this_thread::sleep_for(milliseconds(
        kShortestGapMs + static_cast<int>(DrawBelow(random, kGapSpreadMs))));
  }
}

auto CallerAddresses(lab::Cluster& cluster) -> std::vector<Address> {
  std::vector<Address> servers;
  for (const auto& it : cluster.Instances()) {
    servers.push_back(it.callers);
  }
  return servers;
}

auto RunCallers(lab::Cluster& cluster,
                FaultInjector& fault_injector,
                uint64_t seed,
                Instant began,
                seconds duration) -> std::vector<TrackedJob> {
  const auto servers = CallerAddresses(cluster);
  std::atomic<bool> stopping = false;
  std::vector<std::future<std::vector<TrackedJob>>> callers;
  for (uint64_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::async(std::launch::async, [&, i] {
      return RunSoakCaller(servers, MixHash(seed, i), stopping);
    }));
  }
  Random random(MixHash(seed, kCallers));
  InjectFaults(fault_injector, random, began, duration);
  stopping = true;
  std::vector<TrackedJob> jobs;
  for (auto& it : callers) {
    for (auto& job : it.get()) {
      jobs.push_back(std::move(job));
    }
  }
  return jobs;
}

auto DescribeFaultCounts(const FaultInjector& fault_injector) -> std::string {
  std::string text = "faults:";
  for (const auto& it : fault_injector.FaultCounts()) {
    text += " " + it.first + "=" + std::to_string(it.second);
  }
  return text;
}

auto Soak(const SoakArguments& arguments) -> int {
  const auto began = BootClock::now();
  lab::Cluster cluster(SoakOptions(arguments));
  PrintProgress(began,
                "the deployment serves" +
                    (arguments.keep ? ", logs in " + cluster.Folder() : ""));
  FaultInjector fault_injector(cluster, arguments.seed);
  auto jobs = RunCallers(cluster, fault_injector, arguments.seed, began,
                         arguments.duration);
  PrintProgress(began, DescribeFaultCounts(fault_injector));
  const auto all_recovered = fault_injector.EndAllFaults();
  PrintProgress(began, all_recovered ? "all faults ended"
                                     : "an instance does not serve again");
  const auto servers = CallerAddresses(cluster);
  auto settling = std::async(std::launch::async, [&] {
    SettleJobs(
        servers, jobs,
        kSettleTimeout + kSettleTimePerJob * static_cast<int64_t>(jobs.size()));
    PrintProgress(began, "callers settled their jobs");
    return QueryAllInstances(servers, jobs);
  });
  // An instance that was fenced during a fault may detect it only now, and
  // ends.
  while (settling.wait_for(kSupervisionInterval) != std::future_status::ready) {
    fault_injector.RestartStoppedInstances();
  }
  const auto answers = settling.get();
  PrintProgress(began, "queried every instance");
  auto findings = Reconcile(cluster, jobs, answers);
  findings.unaccounted +=
      fault_injector.ProcessFailures() + (all_recovered ? 0 : 1);
  PrintProgress(began, DescribeFaultCounts(fault_injector));
  std::cout << "failures: submissions=" << findings.submissions
            << " double_starts=" << findings.double_starts
            << " false_not_run=" << findings.false_not_run
            << " partial=" << findings.partial
            << " unaccounted=" << findings.unaccounted
            << " seed=" << arguments.seed << std::endl;
  return findings.double_starts + findings.false_not_run + findings.partial +
                     findings.unaccounted ==
                 0
             ? 0
             : 1;
}

}  // namespace
}  // namespace boragecroft::bench

// Usage: boragecroft_failures [--seed N] [--seconds N] [--keep]
auto main(int argc, char** argv) -> int {
  TCLAP::CmdLine command("Seeded soak of a small deployment under failures");
  TCLAP::ValueArg<uint64_t> seed("", "seed", "Seed of all random choices",
                                 false, 1, "N", command);
  TCLAP::ValueArg<int> duration("", "seconds", "How long things fail", false,
                                60, "N", command);
  TCLAP::SwitchArg keep("", "keep", "Keep the folder with all logs", command);
  command.parse(argc, argv);
  for (const auto it : {SIGTERM, SIGINT}) {
    signal(it, [](int) { boragecroft::bench::interrupted = true; });
  }
  try {
    return boragecroft::bench::Soak(
        {.seed = seed.getValue(),
         .duration = boragecroft::seconds(duration.getValue()),
         .keep = keep.getValue()});
  } catch (const std::exception& it) {
    std::cout << "failures: not finished: " << it.what()
              << " seed=" << seed.getValue() << std::endl;
    return 2;
  }
}
