#include "bench/scenarios/fleet_run.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace boragecroft::bench {
namespace {

// Writes the deployment's declarations with another policy to a temporary file
// and returns the path of the file.
auto WriteDeclarations(const Deployment& deployment, const std::string& policy)
    -> std::string {
  std::ifstream in(std::string(BORAGECROFT_DEPLOY) + "/" + deployment.name +
                   "/declarations.jsonc");
  std::stringstream text;
  text << in.rdbuf();
  auto declarations = text.str();
  const std::string found = "\"policy\": \"fair\"";
  const auto at = declarations.find(found);
  if (at == std::string::npos) {
    throw std::runtime_error("the declarations name no policy");
  }
  declarations.replace(at, found.size(), "\"policy\": \"" + policy + "\"");
  auto path =
      (std::filesystem::temp_directory_path() /
       ("boragecroft-declarations-" + std::to_string(getpid()) + ".jsonc"))
          .string();
  std::ofstream(path) << declarations;
  return path;
}

// Returns the median time that a task sent directly to an idle endpoint takes
// in addition to its run time: the network in both directions and the work of
// the endpoint itself.
auto MeasureEndpointOverhead(lab::Cluster& cluster,
                             const Deployment& deployment) -> microseconds {
  constexpr int kTries = 60;
  constexpr milliseconds kRun{20};
  const auto& worker = cluster.Endpoints()[0].list_entries[0].as_object();
  std::vector<PlannedRequest> plan;
  for (auto i = 0; i < kTries; ++i) {
    PlannedRequest request;
    request.at = kRun * 2 * i;
    request.server =
        ParseAddress(worker.at("address").as_string().c_str()).value();
    request.target = "/v1/tasks";
    request.body = R"({"schema_version":1,"task":"leg-)" + std::to_string(i) +
                   R"(/0","incarnation":")" +
                   worker.at("incarnation").as_string().c_str() +
                   R"(","service":")" + deployment.service +
                   R"(","kind":"leg","lease_ms":5000,"payload":{"run_ms":)" +
                   std::to_string(kRun.count()) + "}}";
    plan.push_back(std::move(request));
  }
  std::vector<double> overheads;
  for (const auto& it : RunLoad(plan, LoadOptions())) {
    if (it.state != "done") {
      throw std::runtime_error("a direct request was not served: " + it.state +
                               " " + it.detail);
    }
    overheads.push_back(
        static_cast<double>((it.ended - it.sent - kRun).count()));
  }
  return microseconds(static_cast<int64_t>(Percentile(overheads, 0.5)));
}

auto AddLedgerCounts(const boost::json::object& ledger, FleetCounts& counts)
    -> void {
  const auto number = [&](std::string_view name) {
    return ledger.at(name).to_number<double>();
  };
  counts.ledger_segments += number("segments");
  counts.ledger_writing_us += number("writing_us");
  counts.urgent_records += number("urgent_entries");
  counts.urgent_records_waiting_us += number("urgent_waiting_us");
}

}  // namespace

auto StartFleet(const Deployment& deployment,
                const std::string& policy,
                uint64_t seed,
                int instances) -> std::unique_ptr<FleetRun> {
  auto run = std::make_unique<FleetRun>();
  run->deployment = deployment;
  run->policy = policy;
  run->random = Random(seed);
  lab::ClusterOptions options;
  options.deployment = deployment.name;
  options.service = deployment.service;
  options.zones = {deployment.zone};
  options.instances_per_zone = instances;
  options.workers_per_zone = kWorkers;
  options.slots = kSlotsPerWorker;
  options.declarations_file = WriteDeclarations(deployment, policy);
  run->cluster = std::make_unique<lab::Cluster>(options);
  std::filesystem::remove(options.declarations_file);
  run->endpoint_overhead = MeasureEndpointOverhead(*run->cluster, deployment);
  return run;
}

auto CountFleet(FleetRun& run) -> FleetCounts {
  FleetCounts counts;
  for (const auto& it : run.cluster->Instances()) {
    const auto dump = lab::Get(it.operators, "/v1/dump");
    const auto* body = dump.body.if_object();
    if (body == nullptr) {
      continue;  // the instance was stopped
    }
    const auto& counters = body->at("counters").as_object();
    const auto number = [&](std::string_view name) {
      return counters.at(name).to_number<double>();
    };
    counts.useful += number("attempts_done") + number("attempts_failed");
    counts.wasted += number("attempts_busy") + number("attempts_draining") +
                     number("attempts_not_sent") + number("queries_sent") +
                     number("attempts_extra");
    counts.busy_answers += number("attempts_busy");
    counts.queries += number("queries_sent");
    counts.extra_attempts += number("attempts_extra");
    counts.ejections += number("workers_put_aside");
    AddLedgerCounts(body->at("ledger").as_object(), counts);
  }
  for (const auto& it : run.cluster->Endpoints()) {
    const auto reply = lab::Get(it.control, "/counters");
    counts.starts += static_cast<double>(reply.Number("starts"));
    for (const auto& worker : reply.body.at("workers").as_array()) {
      counts.worker_starts.push_back(worker.at("starts").to_number<double>());
    }
  }
  return counts;
}

auto RunStreams(FleetRun& run,
                const std::vector<Stream>& streams,
                const std::vector<BalancerWeights>& balancer_weights,
                const std::vector<TimedAction>& actions,
                const std::vector<PlannedRequest>& extra_requests)
    -> LoadResult {
  PlanContext context{.random = run.random, .ids = run.ids};
  for (const auto& it : run.cluster->Instances()) {
    context.servers.push_back(it.callers);
  }
  context.balancer_weights = balancer_weights;
  context.endpoint_overhead = run.endpoint_overhead;
  LoadResult result;
  result.plan = extra_requests;
  for (const auto& it : streams) {
    AddStream(context, it, result.plan);
  }
  SortPlan(result.plan);
  result.before = CountFleet(run);
  result.outcomes = RunLoad(result.plan, LoadOptions(), actions);
  result.load_average = LoadAverage();
  result.after = CountFleet(run);
  PrintFailureReasons(result.plan, result.outcomes);
  return result;
}

auto PrintStream(const Reporter& reporter,
                 const std::string& prefix,
                 const LoadResult& result,
                 const std::string& stream,
                 microseconds from,
                 microseconds to) -> StreamReport {
  auto report = Summarise(result.plan, result.outcomes, stream, from, to);
  const auto name = prefix + "." + stream + ".";
  const auto requests = static_cast<double>(report.requests);
  PrintFigure(reporter, name + "ratio_p50", Percentile(report.ratios, 0.5),
              "x ideal");
  PrintFigure(reporter, name + "ratio_p99", Percentile(report.ratios, 0.99),
              "x ideal");
  PrintFigure(reporter, name + "ratio_p999", Percentile(report.ratios, 0.999),
              "x ideal");
  PrintFigure(reporter, name + "requests", requests, "requests");
  PrintFigure(reporter, name + "done", static_cast<double>(report.done),
              "requests");
  PrintFigure(reporter, name + "refused", static_cast<double>(report.refused),
              "requests");
  PrintFigure(reporter, name + "failed_or_unanswered",
              static_cast<double>(report.failed + report.other), "requests");
  PrintFigure(reporter, name + "deadline_hits",
              requests == 0
                  ? 0
                  : 100 * static_cast<double>(report.deadline_hits) / requests,
              "%");
  return report;
}

auto PrintLedger(const Reporter& reporter,
                 const std::string& prefix,
                 const LoadResult& result) -> void {
  constexpr double kMicrosecondsPerMillisecond = 1000;
  const auto& before = result.before;
  const auto& after = result.after;
  const auto segments = after.ledger_segments - before.ledger_segments;
  const auto records = after.urgent_records - before.urgent_records;
  const auto mean_ms = [&](double total_us, double count) {
    return count > 0 ? total_us / count / kMicrosecondsPerMillisecond : 0;
  };
  PrintFigure(reporter, prefix + ".ledger_segments", segments, "writes");
  PrintFigure(
      reporter, prefix + ".ledger_write",
      mean_ms(after.ledger_writing_us - before.ledger_writing_us, segments),
      "ms mean");
  PrintFigure(reporter, prefix + ".urgent_record_wait",
              mean_ms(after.urgent_records_waiting_us -
                          before.urgent_records_waiting_us,
                      records),
              "ms mean");
}

auto PrintWaste(const Reporter& reporter,
                const std::string& prefix,
                const LoadResult& result) -> void {
  const auto useful = result.after.useful - result.before.useful;
  const auto wasted = result.after.wasted - result.before.wasted;
  PrintFigure(reporter, prefix + ".useful", useful, "attempts");
  PrintFigure(reporter, prefix + ".wasted_per_useful",
              useful > 0 ? wasted / useful : 0, "messages");
  PrintFigure(reporter, prefix + ".busy",
              result.after.busy_answers - result.before.busy_answers,
              "answers");
  PrintFigure(reporter, prefix + ".queries",
              result.after.queries - result.before.queries, "messages");
  PrintFigure(reporter, prefix + ".extra",
              result.after.extra_attempts - result.before.extra_attempts,
              "attempts");
  PrintFigure(reporter, prefix + ".load_average", result.load_average,
              "runnable");
}

}  // namespace boragecroft::bench
