// Measures the path of a request: the response time through a daemon compared
// with the same request sent directly to the endpoint, requests per second,
// processor time per task start, and resident memory. Everything runs on
// loopback.
#include <iostream>
#include <set>
#include <thread>

#include "bench/load/report.h"
#include "bench/load/submissions.h"
#include "core/base/random.h"
#include "tests/lab/cluster.h"

namespace boragecroft::bench {
namespace {

constexpr uint64_t kDefaultSeed = 20261204;
constexpr int kFullPercent = 100;
constexpr int kSlotsPerWorker = 8;
constexpr milliseconds kDeadline{5000};

struct PathRun {
  Reporter reporter;
  Random random;
  lab::Cluster& cluster;
  IdSource ids;
  uint64_t next_direct = 0;
};

auto DamageNoteShape(milliseconds run, uint32_t tasks) -> JobShape {
  JobShape shape;
  shape.service = "logbook";
  shape.partner = "rangers-huts";
  shape.urgency_class = "damage-notes";
  shape.tasks = tasks;
  shape.run = run;
  shape.deadline = kDeadline;
  return shape;
}

auto MakeDaemonRequest(PathRun& run,
                       size_t instance,
                       const JobShape& shape,
                       microseconds at,
                       const std::string& stream) -> PlannedRequest {
  const auto& server = run.cluster.Instances()[instance].callers;
  PlannedRequest request;
  request.at = at;
  request.server = server;
  request.target = "/v1/jobs?wait_ms=20000";
  request.body = SubmissionBody(shape, TakeId(run.ids, server, shape.partner));
  request.stream = stream;
  request.urgency_class = shape.urgency_class;
  request.tasks = shape.tasks;
  request.deadline = shape.deadline;
  return request;
}

auto MakeDirectRequest(PathRun& run, milliseconds task_run, microseconds at)
    -> PlannedRequest {
  const auto& list_entries = run.cluster.Endpoints()[0].list_entries;
  const auto number = run.next_direct++;
  const auto& worker = list_entries[number % list_entries.size()].as_object();
  PlannedRequest request;
  request.at = at;
  request.server =
      ParseAddress(worker.at("address").as_string().c_str()).value();
  request.target = "/v1/tasks";
  request.body = R"({"schema_version":1,"task":"straight-)" +
                 std::to_string(number) + R"(/0","incarnation":")" +
                 worker.at("incarnation").as_string().c_str() +
                 R"(","service":"logbook","kind":"default","lease_ms":5000,)"
                 R"("needs":{"cpu_millis":0,"memory_mb":0,"accelerators":0},)"
                 R"("payload":{"run_ms":)" +
                 std::to_string(task_run.count()) + "}}";
  request.stream = "straight";
  return request;
}

// Measures the latency that the daemon adds. Sends the same request alternately
// directly to the endpoint and through the daemon, in addition to a background
// load through the daemon.
auto MeasureAddedLatency(PathRun& run,
                         const std::string& name,
                         double background_rate,
                         milliseconds task_run) -> void {
  constexpr seconds kDuration{10};
  constexpr milliseconds kPairInterval{10};
  const auto shape = DamageNoteShape(task_run, 1);
  std::vector<PlannedRequest> plan;
  for (microseconds at{0}; at < kDuration; at += kPairInterval) {
    plan.push_back(MakeDaemonRequest(run, 0, shape, at, "through"));
    plan.push_back(MakeDirectRequest(run, task_run, at + kPairInterval / 2));
  }
  std::exponential_distribution<double> gap(background_rate / 1e6);
  for (auto at = background_rate > 0 ? gap(run.random) : 1e12;
       at < static_cast<double>(microseconds(kDuration).count());
       at += gap(run.random)) {
    plan.push_back(MakeDaemonRequest(
        run, 0, shape, microseconds(static_cast<int64_t>(at)), "background"));
  }
  SortPlan(plan);
  const auto outcomes = RunLoad(plan, LoadOptions());
  PrintFailureReasons(plan, outcomes);
  const auto& from = microseconds(seconds(1));
  const auto through = Summarise(plan, outcomes, "through", from, kDuration);
  const auto direct = Summarise(plan, outcomes, "straight", from, kDuration);
  for (const auto& [label, quantile] :
       {std::pair("p50", 0.5), std::pair("p99", 0.99)}) {
    const auto a = Percentile(through.response_ms, quantile);
    const auto b = Percentile(direct.response_ms, quantile);
    PrintFigure(run.reporter, name + "_through_" + label, a, "ms");
    PrintFigure(run.reporter, name + "_straight_" + label, b, "ms");
    PrintFigure(run.reporter, name + "_added_" + label, a - b, "ms");
  }
  PrintFigure(run.reporter, name + "_pairs",
              static_cast<double>(std::min(through.done, direct.done)),
              "requests");
  PrintFigure(run.reporter, name + "_not_done",
              static_cast<double>(through.requests - through.done +
                                  direct.requests - direct.done),
              "requests");
  PrintLoadAverage(run.reporter, name + "_load_average");
}

auto TotalProcessorTime(lab::Cluster& cluster) -> microseconds {
  microseconds total{0};
  for (const auto& it : cluster.Instances()) {
    total += ProcessorTime(it.process->Pid());
  }
  return total;
}

auto EndpointStarts(lab::Cluster& cluster) -> int64_t {
  int64_t starts = 0;
  for (const auto& it : cluster.Endpoints()) {
    starts += lab::Get(it.control, "/counters").Number("starts");
  }
  return starts;
}

auto ResidentMegabytes(pid_t pid) -> double {
  return static_cast<double>(ResidentBytes(pid)) / (1 << 20);
}

// Measures the throughput while `open` requests are open all the time, spread
// over all instances.
auto MeasureThroughput(PathRun& run,
                       const std::string& name,
                       size_t requests,
                       uint32_t tasks,
                       size_t open) -> void {
  constexpr milliseconds kTaskRun{2};
  std::vector<PlannedRequest> plan;
  for (size_t i = 0; i < requests; ++i) {
    plan.push_back(MakeDaemonRequest(run, i % run.cluster.Instances().size(),
                                     DamageNoteShape(kTaskRun, tasks),
                                     microseconds(0), "closed"));
  }
  LoadOptions options;
  options.max_open = open;
  const auto starts_before = EndpointStarts(run.cluster);
  const auto busy_before = TotalProcessorTime(run.cluster);
  const auto begin = BootClock::now();
  const auto outcomes = RunLoad(plan, options);
  const auto elapsed =
      std::chrono::duration<double>(BootClock::now() - begin).count();
  const auto busy = TotalProcessorTime(run.cluster) - busy_before;
  const auto starts =
      static_cast<double>(EndpointStarts(run.cluster) - starts_before);
  PrintFailureReasons(plan, outcomes);
  const auto report =
      Summarise(plan, outcomes, "closed", microseconds(0), seconds(1));
  PrintFigure(run.reporter, name + "_requests_rate",
              static_cast<double>(report.done) / elapsed, "requests/s");
  PrintFigure(run.reporter, name + "_starts_rate", starts / elapsed,
              "starts/s");
  PrintFigure(run.reporter, name + "_cpu_per_start",
              static_cast<double>(busy.count()) / starts, "us");
  PrintFigure(run.reporter, name + "_cores",
              static_cast<double>(busy.count()) / 1e6 / elapsed, "cores");
  PrintFigure(run.reporter, name + "_not_done",
              static_cast<double>(report.requests - report.done), "requests");
  PrintFigure(run.reporter, name + "_resident_after",
              ResidentMegabytes(run.cluster.Instances()[0].process->Pid()),
              "MB");
  PrintLoadAverage(run.reporter, name + "_load_average");
}

// Measures the resident memory while up to nine jobs of 2,000 tasks wait and
// run.
auto MeasureMemory(PathRun& run) -> void {
  const auto pid = run.cluster.Instances()[0].process->Pid();
  PrintFigure(run.reporter, "memory_idle", ResidentMegabytes(pid), "MB");
  auto shape = DamageNoteShape(milliseconds(100), 2000);
  shape.partner = "insurers-huts";
  shape.urgency_class = "history-checks";
  shape.deadline = milliseconds(600000);
  shape.run_hint = milliseconds(100);
  const std::set<int> shown = {1, 3, 6, 9};
  for (auto jobs = 1; jobs <= *shown.rbegin(); ++jobs) {
    auto request = MakeDaemonRequest(run, 0, shape, microseconds(0), "memory");
    request.target = "/v1/jobs?wait_ms=0";
    const auto outcome = RunLoad({request}, LoadOptions()).front();
    if (outcome.state != "active") {
      PrintFailureReasons({request}, {outcome});
    }
    if (shown.contains(jobs)) {
      std::this_thread::sleep_for(milliseconds(300));
      PrintFigure(run.reporter,
                  "memory_with_" + std::to_string(jobs) + "_jobs_of_2000",
                  ResidentMegabytes(pid), "MB");
    }
  }
}

auto MakeClusterOptions(int zones, int instances, int workers)
    -> lab::ClusterOptions {
  const std::vector<std::string> names = {"tt-north-arima", "tt-north-tunapuna",
                                          "tt-north-sangre"};
  lab::ClusterOptions options;
  options.deployment = "logbook";
  options.service = "logbook";
  options.zones.assign(names.begin(), names.begin() + zones);
  options.instances_per_zone = instances;
  options.workers_per_zone = workers;
  options.slots = kSlotsPerWorker;
  return options;
}

auto MeasureOneDaemonLatency(const Reporter& reporter) -> void {
  constexpr int kWorkers = 8;
  constexpr milliseconds kTaskRun{20};
  constexpr seconds kIdleDuration{20};
  constexpr double kHalfLoadRate = kWorkers * kSlotsPerWorker * 1000.0 /
                                   kTaskRun.count() * 50 / kFullPercent;
  lab::Cluster cluster(MakeClusterOptions(1, 1, kWorkers));
  PathRun run{.reporter = reporter,
              .random = Random(reporter.seed),
              .cluster = cluster};
  const auto pid = cluster.Instances()[0].process->Pid();
  PrintFigure(reporter, "memory_at_start", ResidentMegabytes(pid), "MB");
  const auto before = ProcessorTime(pid);
  std::this_thread::sleep_for(kIdleDuration);
  PrintFigure(reporter, "idle_cpu",
              static_cast<double>((ProcessorTime(pid) - before).count()) /
                  static_cast<double>(kIdleDuration.count()) / 1e4,
              "% of a core");
  MeasureAddedLatency(run, "light", 0, kTaskRun);
  MeasureAddedLatency(run, "half", kHalfLoadRate, kTaskRun);
}

auto MeasureOneDaemonThroughput(const Reporter& reporter) -> void {
  lab::Cluster cluster(MakeClusterOptions(1, 1, 16));
  PathRun run{.reporter = reporter,
              .random = Random(reporter.seed),
              .cluster = cluster};
  MeasureThroughput(run, "one_daemon_single", 60000, 1, 128);
  MeasureThroughput(run, "one_daemon_jobs_of_20", 8000, 20, 32);
}

auto MeasureOneDaemonMemory(const Reporter& reporter) -> void {
  lab::Cluster cluster(MakeClusterOptions(1, 1, 8));
  PathRun run{.reporter = reporter,
              .random = Random(reporter.seed),
              .cluster = cluster};
  MeasureMemory(run);
}

auto MeasureEightDaemonsThroughput(const Reporter& reporter) -> void {
  lab::Cluster cluster(MakeClusterOptions(2, 4, 16));
  PathRun run{.reporter = reporter,
              .random = Random(reporter.seed),
              .cluster = cluster};
  MeasureThroughput(run, "eight_daemons_single", 100000, 1, 256);
  MeasureThroughput(run, "eight_daemons_jobs_of_20", 16000, 20, 64);
}

}  // namespace
}  // namespace boragecroft::bench

// Usage: boragecroft_path [SEED [PART]], PART one of added, one, memory, eight.
auto main(int argc, char** argv) -> int {
  using namespace boragecroft::bench;
  const std::string part = argc > 2 ? argv[2] : "";
  Reporter reporter;
  reporter.bench = "path";
  reporter.seed = argc > 1 ? std::stoull(argv[1]) : kDefaultSeed;
  reporter.command = "scripts/bench path " + std::to_string(reporter.seed) +
                     (part.empty() ? "" : " " + part);
  PrintLoadAverage(reporter, "load_average_before");
  const std::vector<std::pair<std::string, void (*)(const Reporter&)>> parts = {
      {"added", MeasureOneDaemonLatency},
      {"one", MeasureOneDaemonThroughput},
      {"memory", MeasureOneDaemonMemory},
      {"eight", MeasureEightDaemonsThroughput}};
  for (const auto& [name, measure] : parts) {
    if (part.empty() || part == name) {
      measure(reporter);
    }
  }
  return 0;
}
