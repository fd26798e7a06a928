// Scenarios without faults: steady load, floods, an uneven load balancer, the
// cost of refusals and a cold start.
#include <algorithm>
#include <cmath>
#include <thread>

#include "bench/scenarios/fleet_run.h"
#include "bench/scenarios/scenarios.h"

namespace boragecroft::bench {
namespace {

constexpr double kFloodFactor = 10;
// Each share is below the floor of its class, and together they use less than
// half of the fleet. A flood therefore need not displace any of this load.
constexpr LoadMix kMixWithinFloors{.urgent = 0.10,
                                   .middle = 0.30,
                                   .bulk = 0.08};

auto SplitLoad(double share) -> LoadMix {
  return LoadMix{
      .urgent = share * 0.3, .middle = share * 0.4, .bulk = share * 0.3};
}

auto Prefix(const ScenarioContext& context, const std::string& name)
    -> std::string {
  return name + "." + context.policy;
}

auto PrintAllStreams(const ScenarioContext& context,
                     const std::string& prefix,
                     const LoadResult& result) -> void {
  for (const auto* it : {"urgent", "middle", "bulk"}) {
    PrintStream(context.reporter, prefix, result, it);
  }
  PrintWaste(context.reporter, prefix, result);
}

auto RunSteadyScenario(const ScenarioContext& context,
                       const Deployment& deployment,
                       double share,
                       int instances = kInstances) -> void {
  const auto run =
      StartFleet(deployment, context.policy, context.seed, instances);
  const auto result = RunStreams(
      *run,
      OrdinaryLoad(deployment, SplitLoad(share), kFleetSlots, kRunLength));
  const auto percent = std::to_string(std::lround(share * 100));
  auto name = "steady" + percent + "_" + deployment.name;
  if (instances != kInstances) {
    name += "_" + std::to_string(instances);
  }
  const auto prefix = Prefix(context, name);
  PrintFigure(context.reporter, prefix + ".leg",
              static_cast<double>(run->endpoint_overhead.count()), "us");
  PrintAllStreams(context, prefix, result);
  PrintLedger(context.reporter, prefix, result);
}

template <int kPercent>
auto SteadyLogbook(const ScenarioContext& context) -> void {
  RunSteadyScenario(context, Logbook(), kPercent / 100.0);
}

template <int kPercent, int kCount = kInstances>
auto SteadyCartas(const ScenarioContext& context) -> void {
  RunSteadyScenario(context, Cartas(), kPercent / 100.0, kCount);
}

auto MakeFlood(const Deployment& deployment, bool urgent) -> Stream {
  auto streams = OrdinaryLoad(deployment,
                              LoadMix{.urgent = urgent ? kFloodFactor : 0,
                                      .middle = 0,
                                      .bulk = urgent ? 0 : kFloodFactor},
                              kFleetSlots, kRunLength);
  auto flood = urgent ? streams[0] : streams[2];
  flood.name = "flood";
  flood.from = seconds(2);
  flood.wait = false;
  if (urgent) {
    constexpr uint32_t kTasks = 5;
    flood.shape.partner = deployment.flooding_urgent_partner;
    flood.shape.tasks = kTasks;
    flood.jobs_per_second /= kTasks;
  } else {
    flood.shape.partner = deployment.flooding_bulk_partner;
  }
  return flood;
}

// Prints the throughput and deadline hits that the ordinary streams keep during
// a flood, in percent of those of the same load without the flood.
auto PrintFloodEffect(const ScenarioContext& context,
                      const std::string& prefix,
                      const LoadResult& without,
                      const LoadResult& with) -> void {
  for (const auto* it : {"urgent", "middle", "bulk"}) {
    const auto a =
        PrintStream(context.reporter, prefix + ".without", without, it);
    const auto b = PrintStream(context.reporter, prefix + ".with", with, it);
    // Compares shares, since the two runs drew different numbers of jobs.
    const auto share = [](uint64_t part, uint64_t whole) {
      return whole == 0
                 ? 0
                 : static_cast<double>(part) / static_cast<double>(whole);
    };
    PrintFigure(context.reporter, prefix + "." + it + ".throughput_kept",
                100 * share(b.done, b.requests) / share(a.done, a.requests),
                "%");
    PrintFigure(context.reporter, prefix + "." + it + ".deadline_hits_kept",
                100 * share(b.deadline_hits, b.requests) /
                    share(a.deadline_hits, a.requests),
                "%");
  }
  PrintStream(context.reporter, prefix + ".with", with, "flood");
  PrintWaste(context.reporter, prefix + ".with", with);
}

auto RunFloodScenario(const ScenarioContext& context,
                      const std::string& name,
                      const LoadMix& mix,
                      const std::vector<Stream>& flood) -> void {
  const auto deployment = Cartas();
  const auto run = StartFleet(deployment, context.policy, context.seed);
  auto streams = OrdinaryLoad(deployment, mix, kFleetSlots, kRunLength);
  const auto without = RunStreams(*run, streams);
  streams.insert(streams.end(), flood.begin(), flood.end());
  const auto with = RunStreams(*run, streams);
  PrintFloodEffect(context, Prefix(context, name), without, with);
}

auto FloodLeastUrgent(const ScenarioContext& context) -> void {
  RunFloodScenario(context, "flood_least_urgent", kMixWithinFloors,
                   {MakeFlood(Cartas(), false)});
}

auto FloodMostUrgent(const ScenarioContext& context) -> void {
  RunFloodScenario(context, "flood_most_urgent", kMixWithinFloors,
                   {MakeFlood(Cartas(), true)});
}

// Floods every class with jobs of one partner.
auto FloodOnePartner(const ScenarioContext& context) -> void {
  auto flood =
      OrdinaryLoad(Cartas(), SplitLoad(kFloodFactor), kFleetSlots, kRunLength);
  for (auto& it : flood) {
    it.name = "flood";
    it.from = seconds(2);
    it.wait = false;
    it.shape.partner = "electra-bilbao";
  }
  RunFloodScenario(context, "flood_one_partner", kMixWithinFloors, flood);
}

// Sends all load to one of three instances.
auto UnevenBalancer(const ScenarioContext& context) -> void {
  const auto deployment = Logbook();
  const auto run = StartFleet(deployment, context.policy, context.seed);
  const auto result = RunStreams(
      *run, OrdinaryLoad(deployment, SplitLoad(0.8), kFleetSlots, kRunLength),
      {BalancerWeights{.from = microseconds(0), .weights = {1, 0, 0}}});
  PrintAllStreams(context, Prefix(context, "uneven_balancer"), result);
}

// Starts 95 % load immediately after all instances have been restarted.
auto ColdStart(const ScenarioContext& context) -> void {
  const auto deployment = Logbook();
  const auto run = StartFleet(deployment, context.policy, context.seed);
  const auto instances = run->cluster->Instances().size();
  for (size_t i = 0; i < instances; ++i) {
    run->cluster->Restart(i, false);
  }
  for (size_t i = 0; i < instances; ++i) {
    run->cluster->WaitUntilReady(i);
  }
  const auto result = RunStreams(
      *run, OrdinaryLoad(deployment, SplitLoad(0.95), kFleetSlots, kRunLength));
  const auto prefix = Prefix(context, "cold_start");
  constexpr seconds kReportInterval{2};
  for (seconds from{0}; from < seconds(6); from += kReportInterval) {
    for (const auto* it : {"urgent", "middle", "bulk"}) {
      PrintStream(context.reporter,
                  prefix + ".from_" + std::to_string(from.count()) + "s",
                  result, it, from, from + kReportInterval);
    }
  }
  PrintWaste(context.reporter, prefix, result);
}

auto FleetProcessorTime(FleetRun& run) -> microseconds {
  microseconds total{0};
  for (const auto& it : run.cluster->Instances()) {
    total += ProcessorTime(it.process->Pid());
  }
  return total;
}

// Returns the processor time of all daemons in microseconds per request of one
// stream that ended as expected, without the time that they use when idle.
// Returns 0 when fewer than 90 % of the requests ended as expected, since the
// figure would then measure other requests.
auto CostPerRequest(FleetRun& run,
                    const Stream& stream,
                    double idle_cores,
                    const std::string& expected) -> double {
  const auto before = FleetProcessorTime(run);
  const auto begin = BootClock::now();
  const auto result = RunStreams(run, {stream});
  const auto elapsed = BootClock::now() - begin;
  const auto busy =
      static_cast<double>((FleetProcessorTime(run) - before).count()) -
      idle_cores * static_cast<double>(elapsed.count());
  const auto n = std::count_if(
      result.outcomes.begin(), result.outcomes.end(),
      [&](const RequestOutcome& it) { return it.state == expected; });
  const auto enough = result.outcomes.size() * 9 / 10;
  return static_cast<size_t>(n) < std::max<size_t>(enough, 1)
             ? 0
             : busy / static_cast<double>(n);
}

auto RefusalCost(const ScenarioContext& context) -> void {
  const auto deployment = Cartas();
  const auto run = StartFleet(deployment, context.policy, context.seed);
  const auto idle_before = FleetProcessorTime(*run);
  std::this_thread::sleep_for(seconds(3));
  const auto idle_cores =
      static_cast<double>((FleetProcessorTime(*run) - idle_before).count()) /
      3e6;
  auto served = OrdinaryLoad(deployment, LoadMix{.urgent = 0.5}, kFleetSlots,
                             seconds(6))[0];
  const auto served_cost = CostPerRequest(*run, served, idle_cores, "done");
  const auto prefix = Prefix(context, "refusal_cost");
  const auto& reporter = context.reporter;
  PrintFigure(reporter, prefix + ".served_single", served_cost, "us/request");
  for (const uint32_t tasks : {1U, 20U}) {
    auto refused = served;
    refused.jobs_per_second = 2000;
    refused.shape.tasks = tasks;
    // The deadline is shorter than the run time that the daemons estimate from
    // the served requests, so that admission control refuses these jobs.
    refused.shape.deadline = kUrgentRun / 3;
    const auto cost = CostPerRequest(*run, refused, idle_cores, "refused");
    const auto name = prefix + ".refused_" + std::to_string(tasks) + "_tasks";
    PrintFigure(reporter, name, cost, "us/request");
    PrintFigure(reporter, name + "_to_served", cost / served_cost, "ratio");
  }
  PrintLoadAverage(reporter, prefix + ".load_average");
}

}  // namespace

auto LoadScenarios() -> std::vector<Scenario> {
  return {{"steady80_logbook", SteadyLogbook<80>},
          {"flood_least_urgent", FloodLeastUrgent},
          {"flood_most_urgent", FloodMostUrgent},
          {"steady50_logbook", SteadyLogbook<50>},
          {"steady95_logbook", SteadyLogbook<95>},
          {"refusal_cost", RefusalCost},
          {"flood_one_partner", FloodOnePartner},
          {"uneven_balancer", UnevenBalancer},
          {"cold_start", ColdStart},
          {"steady80_cartas", SteadyCartas<80>},
          {"steady80_cartas_8", SteadyCartas<80, 8>},
          {"steady50_cartas", SteadyCartas<50>},
          {"steady95_cartas", SteadyCartas<95>}};
}

}  // namespace boragecroft::bench
