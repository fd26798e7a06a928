// Implements `scripts/bench replay`: simulates the scheduling decisions on
// drawn workloads and prints for each policy the share of the possible credit
// that callers received.
#include <tclap/CmdLine.h>

#include <atomic>
#include <cstdio>
#include <functional>
#include <iostream>
#include <thread>

#include "bench/load/report.h"
#include "bench/replay/bound.h"
#include "bench/replay/credit.h"
#include "bench/replay/policies.h"
#include "bench/replay/simulation.h"

namespace boragecroft::bench {
namespace {

struct Arguments {
  std::vector<std::string> shapes;
  std::vector<std::string> policies;
  std::string layout;
  std::string returns;
  milliseconds longest_retry_wait{};
  uint64_t workloads = 0;
  uint64_t seed = 0;
  unsigned jobs = 0;
  bool bound = false;
  bool without_faults = false;   // no worker becomes faulty
  bool exact_run_times = false;  // declared run times are exact
  bool early_callers = false;    // callers leave after 1.5 s
  std::string command;
};

struct Row {
  std::string shape;
  std::string policy;  // "bound" for the plan with full knowledge
  std::vector<CreditSummary> summaries;
  std::vector<double>
      missed;  // share of the credit that refusals lost, with --bound
};

auto LayoutOf(const std::string& name) -> GroupLayout {
  if (name == "instance") {
    return GroupLayout::kInstance;
  }
  return name == "site" ? GroupLayout::kSite : GroupLayout::kZone;
}

auto RetryBehaviorOf(const std::string& name) -> RetryBehavior {
  if (name == "told") {
    return RetryBehavior::kAsAdvised;
  }
  return name == "random" ? RetryBehavior::kAtRandom : RetryBehavior::kNever;
}

auto SimulateOne(const Arguments& arguments,
                 const Workload& workload,
                 Row& row,
                 size_t n) -> void {
  if (row.policy == "bound") {
    row.summaries[n].shares = SharesOf(workload, BoundOf(workload));
    row.summaries[n].served = ServedSharesOf(workload, ServedBoundOf(workload));
    return;
  }
  ReplayOptions options;
  options.policy = *PolicyOf(row.policy, workload.shape);
  options.layout = LayoutOf(arguments.layout);
  options.retry_behavior = RetryBehaviorOf(arguments.returns);
  options.longest_retry_wait = arguments.longest_retry_wait;
  const auto result = SimulateWorkload(workload, options);
  row.summaries[n] = SummarizeCredit(workload, result);
  row.missed[n] = arguments.bound ? MissedShare(workload, result) : 0;
}

auto WorkloadOf(const Arguments& arguments, const Row& row, size_t n)
    -> Workload {
  auto shape = ShapeOf(row.shape);
  if (arguments.without_faults) {
    shape.faults.clear();
  }
  if (arguments.exact_run_times) {
    shape.declared_spread = 0;
  }
  if (arguments.early_callers) {
    shape.wait_in_objectives = 0;
  }
  return DrawWorkload(shape, arguments.seed + n);
}

// Simulates every row on every workload, `jobs` at a time.
auto SimulateAll(const Arguments& arguments, std::vector<Row>& rows) -> void {
  std::atomic<size_t> next{0};
  const auto work = [&] {
    for (auto i = next++; i < rows.size() * arguments.workloads; i = next++) {
      auto& row = rows[i / arguments.workloads];
      const auto n = i % arguments.workloads;
      SimulateOne(arguments, WorkloadOf(arguments, row, n), row, n);
    }
  };
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < arguments.jobs; ++i) {
    threads.emplace_back(work);
  }
  for (auto& it : threads) {
    it.join();
  }
}

auto PrintRow(const Arguments& arguments, const Row& row) -> void {
  const Reporter reporter{
      .bench = "replay", .seed = arguments.seed, .command = arguments.command};
  const auto mean = MeanOf(row.summaries);
  const auto prefix = row.shape + "." + row.policy + ".";
  const auto print = [&](const char* name, double value, const char* unit) {
    PrintFigure(reporter, prefix + name, value, unit);
  };
  const auto shape = ShapeOf(row.shape);
  print("mark", mean.shares.mark, "of 1");
  print("credit", mean.shares.total, "of owed");
  print("steady", mean.shares.steady, "of owed");
  print("bursts", mean.shares.bursts, "of owed");
  print("worst_window", mean.shares.worst_window, "of owed");
  print("largest", mean.shares.largest, "of owed");
  for (size_t i = 0; i < shape.kinds.size(); ++i) {
    print(shape.kinds[i].name.c_str(), mean.shares.kinds[i], "of owed");
  }
  for (size_t i = 0; i < shape.zones.size(); ++i) {
    const auto zone = std::string("zone_").append(shape.zones[i].name);
    print(zone.c_str(), mean.shares.zones[i], "of owed");
  }
  for (size_t i = 0; i < shape.kinds.size(); ++i) {
    const auto& kind = shape.kinds[i].name;
    const auto& served = mean.served[i];
    print((kind + ".served").c_str(), served.all, "of jobs");
    print((kind + ".served_largest").c_str(), served.largest, "of jobs");
    print((kind + ".served_next_fifth").c_str(), served.next_fifth, "of jobs");
    const auto& sizes = mean.shares.sizes[i];
    print((kind + ".largest").c_str(), sizes.largest, "of owed");
    print((kind + ".next_fifth").c_str(), sizes.next_fifth, "of owed");
    for (size_t k = 0; k < sizes.tenths.size(); ++k) {
      const auto name = kind + ".tenth_" + std::to_string(k + 1);
      print(name.c_str(), sizes.tenths.at(k), "of owed");
    }
  }
  if (row.policy == "bound") {
    return;
  }
  print("refused", mean.refused, "of jobs");
  print("refused_late", mean.refused_late, "of jobs");
  print("refusal_p50", mean.refusal_p50_ms, "ms");
  print("late", mean.late, "of jobs");
  print("lost", mean.lost, "of jobs");
  print("held", mean.held, "of jobs");
  print("held_worth", mean.held_worth, "of owed");
  print("wasted", mean.wasted_core_s, "core-s");
  if (mean.retried > 0) {
    print("returned", static_cast<double>(mean.retried), "jobs");
    print("return_wait", mean.retry_wait_ms, "ms");
    print("returned_in_time", mean.retried_in_time, "of jobs");
  }
  if (arguments.bound) {
    double missed = 0;
    for (const auto it : row.missed) {
      missed += it / static_cast<double>(row.missed.size());
    }
    print("missed", missed, "of owed");
  }
}

auto PrintTable(const std::vector<Row>& rows) -> void {
  std::fprintf(stderr, "%-16s %-14s %6s %6s %6s %6s %6s %7s  %s\n", "load",
               "policy", "mark", "credit", "steady", "bursts", "window",
               "largest", "kinds");
  for (const auto& row : rows) {
    const auto mean = MeanOf(row.summaries).shares;
    std::fprintf(stderr, "%-16s %-14s %6.3f %6.3f %6.3f %6.3f %6.3f %7.3f ",
                 row.shape.c_str(), row.policy.c_str(), mean.mark, mean.total,
                 mean.steady, mean.bursts, mean.worst_window, mean.largest);
    for (const auto it : mean.kinds) {
      std::fprintf(stderr, " %.3f", it);
    }
    std::fprintf(stderr, "  served, largest tenth, next fifth");
    for (const auto& it : MeanOf(row.summaries).served) {
      std::fprintf(stderr, " %.3f/%.3f/%.3f", it.all, it.largest,
                   it.next_fifth);
    }
    std::fprintf(stderr, "\n");
  }
}

auto MakeRows(const Arguments& arguments) -> std::vector<Row> {
  std::vector<Row> rows;
  auto policies = arguments.policies;
  if (arguments.bound) {
    policies.emplace_back("bound");
  }
  for (const auto& shape : arguments.shapes) {
    for (const auto& policy : policies) {
      rows.push_back(
          Row{.shape = shape,
              .policy = policy,
              .summaries = std::vector<CreditSummary>(arguments.workloads),
              .missed = std::vector<double>(arguments.workloads)});
    }
  }
  return rows;
}

auto Parse(int argc, char** argv) -> Arguments {
  TCLAP::CmdLine line("Simulates the scheduling decisions on drawn workloads");
  auto shapes = ShapeNames();
  TCLAP::ValuesConstraint<std::string> known_shapes(shapes);
  auto policies = PolicyNames();
  TCLAP::ValuesConstraint<std::string> known_policies(policies);
  std::vector<std::string> layouts{"zone", "instance", "site"};
  TCLAP::ValuesConstraint<std::string> known_layouts(layouts);
  std::vector<std::string> retry_behaviors{"never", "told", "random"};
  TCLAP::ValuesConstraint<std::string> known_retry_behaviors(retry_behaviors);
  TCLAP::MultiArg<std::string> shape("", "load", "Load; default: all", false,
                                     &known_shapes, line);
  TCLAP::MultiArg<std::string> policy("", "policy", "Policy; default: all",
                                      false, &known_policies, line);
  TCLAP::ValueArg<std::string> layout("", "groups",
                                      "Assignment of workers to groups", false,
                                      "zone", &known_layouts, line);
  TCLAP::ValueArg<std::string> returns("", "returns",
                                       "When refused callers retry", false,
                                       "never", &known_retry_behaviors, line);
  TCLAP::ValueArg<int64_t> longest("", "longest-return",
                                   "Longest wait before random retries, in ms",
                                   false, 4000, "ms", line);
  TCLAP::ValueArg<unsigned> workloads("", "days", "Workloads for each load",
                                      false, 10, "count", line);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "Seed of the first workload",
                                 false, 1, "number", line);
  TCLAP::ValueArg<unsigned> jobs("", "jobs", "Workloads simulated at a time",
                                 false, 4, "count", line);
  TCLAP::SwitchArg without_faults("", "sound", "No worker becomes faulty",
                                  line);
  TCLAP::SwitchArg exact_run_times("", "exact", "Declared run times are exact",
                                   line);
  TCLAP::SwitchArg early_callers("", "early-callers",
                                 "Callers leave after 1.5 s", line);
  TCLAP::SwitchArg bound("", "bound", "Also compute the upper bound", line);
  line.parse(argc, argv);
  Arguments out;
  out.shapes = shape.isSet() ? shape.getValue() : shapes;
  out.policies = policy.isSet() ? policy.getValue() : policies;
  out.layout = layout.getValue();
  out.returns = returns.getValue();
  out.longest_retry_wait =
      milliseconds(std::max<int64_t>(1, longest.getValue()));
  out.workloads = workloads.getValue();
  out.seed = seed.getValue();
  out.jobs = std::max(1U, jobs.getValue());
  out.without_faults = without_faults.getValue();
  out.exact_run_times = exact_run_times.getValue();
  out.early_callers = early_callers.getValue();
  out.bound = bound.getValue();
  out.command = "scripts/bench replay";
  for (int i = 1; i < argc; ++i) {
    out.command.append(" ").append(argv[i]);
  }
  return out;
}

auto Run(int argc, char** argv) -> int {
  const auto arguments = Parse(argc, argv);
  if (arguments.workloads == 0) {
    std::cerr << "replay: --days must be at least 1\n";
    return 2;
  }
  auto rows = MakeRows(arguments);
  SimulateAll(arguments, rows);
  for (const auto& row : rows) {
    PrintRow(arguments, row);
  }
  PrintTable(rows);
  return 0;
}

}  // namespace
}  // namespace boragecroft::bench

auto main(int argc, char** argv) -> int {
  try {
    return boragecroft::bench::Run(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "replay: " << e.what() << "\n";
    return 1;
  }
}
