// Measures the processor time, wake-ups and memory of entry instances on a
// simulated platform, when idle and per job. Everything runs on loopback.
#include <algorithm>
#include <cstdint>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "bench/load/report.h"
#include "tests/lab/platform_fleet.h"

namespace boragecroft::bench {
namespace {

constexpr uint64_t kSeed = 20261204;  // no random numbers are drawn
constexpr seconds kIdleDuration{20};
constexpr int kJobsPerInstance = 150;
constexpr int kTasksPerJob = 4;

struct Usage {
  double processor_ms = 0;
  double wake_ups = 0;
  double resident_mb = 0;  // maximum over the instances
};

auto MeasureUsage(lab::PlatformFleet& fleet) -> Usage {
  Usage sum;
  for (const auto& it : fleet.Instances()) {
    const auto pid = it.process->Pid();
    sum.processor_ms +=
        std::chrono::duration<double, std::milli>(ProcessorTime(pid)).count();
    sum.wake_ups += static_cast<double>(CountWakeUps(pid));
    sum.resident_mb = std::max(
        sum.resident_mb, static_cast<double>(ResidentBytes(pid)) / 1048576.0);
  }
  return sum;
}

auto MeasureIdle(lab::PlatformFleet& fleet, const Reporter& reporter) -> void {
  const auto before = MeasureUsage(fleet);
  std::this_thread::sleep_for(kIdleDuration);
  const auto after = MeasureUsage(fleet);
  const auto instances = static_cast<double>(fleet.Instances().size());
  const auto span =
      std::chrono::duration<double, std::milli>(kIdleDuration).count();
  PrintFigure(
      reporter, "idle processor per instance",
      100 * (after.processor_ms - before.processor_ms) / instances / span,
      "% of a core");
  PrintFigure(reporter, "idle wake-ups per instance",
              (after.wake_ups - before.wake_ups) / instances / span * 1000,
              "1/s");
  PrintFigure(reporter, "idle memory, largest", after.resident_mb, "MB");
}

// Submits jobs through all instances concurrently, one after the other at each
// instance. Returns the number of jobs that were done.
auto SubmitAll(lab::PlatformFleet& fleet) -> int {
  std::vector<std::thread> callers;
  std::vector<int> done(fleet.Instances().size());
  for (size_t n = 0; n < done.size(); ++n) {
    callers.emplace_back([&fleet, &done, n] {
      for (auto i = 0; i < kJobsPerInstance; ++i) {
        const auto name = ((n + 1) << 32U) + static_cast<uint64_t>(i);
        const auto reply =
            fleet.Submit(fleet.Instances()[n], name, kTasksPerJob);
        done[n] += reply.status == 200 ? 1 : 0;
      }
    });
  }
  for (auto& it : callers) {
    it.join();
  }
  auto sum = 0;
  for (const auto it : done) {
    sum += it;
  }
  return sum;
}

auto MeasureJobs(lab::PlatformFleet& fleet, const Reporter& reporter) -> void {
  const auto before = MeasureUsage(fleet);
  const auto jobs = SubmitAll(fleet);
  const auto after = MeasureUsage(fleet);
  PrintFigure(reporter, "jobs done", jobs, "jobs");
  PrintFigure(reporter, "processor per job, all instances",
              (after.processor_ms - before.processor_ms) / jobs, "ms");
  PrintFigure(reporter, "wake-ups per job, all instances",
              (after.wake_ups - before.wake_ups) / jobs, "wake-ups");
  PrintFigure(reporter, "memory after the jobs, largest", after.resident_mb,
              "MB");
}

auto Measure() -> int {
  const Reporter reporter{
      .bench = "entry", .seed = kSeed, .command = "scripts/bench entry_costs"};
  lab::PlatformFleet fleet({"bilbao", "santander", "oviedo"}, 1, 6);
  if (!fleet.AwaitService()) {
    std::cerr << "the instances did not start to serve jobs in time\n";
    return 1;
  }
  PrintLoadAverage(reporter, "load average before");
  MeasureIdle(fleet, reporter);
  MeasureJobs(fleet, reporter);
  return 0;
}

}  // namespace
}  // namespace boragecroft::bench

auto main() -> int {
  return boragecroft::bench::Measure();
}
