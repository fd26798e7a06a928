// Scenarios in which workers, jobs, callers or instances misbehave.
#include <algorithm>
#include <atomic>
#include <thread>

#include "bench/scenarios/fleet_run.h"
#include "bench/scenarios/scenarios.h"

namespace boragecroft::bench {
namespace {

constexpr LoadMix kHalfLoad{.urgent = 0.15, .middle = 0.20, .bulk = 0.15};
constexpr LoadMix kSixtyPercentLoad{.urgent = 0.18,
                                    .middle = 0.24,
                                    .bulk = 0.18};
constexpr seconds kFaultAt{5};

auto Prefix(const ScenarioContext& context, const std::string& name)
    -> std::string {
  return name + "." + context.policy;
}

auto PrintAllStreams(const ScenarioContext& context,
                     const std::string& prefix,
                     const LoadResult& result,
                     microseconds from) -> void {
  for (const auto* it : {"urgent", "middle", "bulk"}) {
    PrintStream(context.reporter, prefix, result, it, from);
  }
  PrintWaste(context.reporter, prefix, result);
}

auto PrintEjections(const ScenarioContext& context,
                    const std::string& prefix,
                    const LoadResult& result) -> void {
  PrintFigure(context.reporter, prefix + ".put_aside",
              result.after.ejections - result.before.ejections,
              "times over 3 instances");
}

// Makes half of the workers four times as fast as the others.
auto DifferentSpeeds(const ScenarioContext& context) -> void {
  const auto deployment = Logbook();
  const auto run = StartFleet(deployment, context.policy, context.seed);
  for (auto i = 0; i < kWorkers; ++i) {
    run->cluster->ControlWorker(
        0, {{"worker", i}, {"slowdown", i % 2 == 0 ? 0.5 : 2.0}});
  }
  const auto result = RunStreams(
      *run,
      OrdinaryLoad(deployment, kSixtyPercentLoad, kFleetSlots, kRunLength));
  PrintAllStreams(context, Prefix(context, "different_speeds"), result,
                  kWarmUp);
}

// Makes one worker answer every task as failed immediately.
auto FailingWorker(const ScenarioContext& context) -> void {
  const auto deployment = Logbook();
  const auto run = StartFleet(deployment, context.policy, context.seed);
  std::atomic<int64_t> ejected_by_all_us{-1};
  const auto act = [&] {
    const auto begin = BootClock::now();
    run->cluster->ControlWorker(0, {{"worker", 0}, {"mode", "fail"}});
    while (BootClock::now() - begin < seconds(5)) {
      if (CountFleet(*run).ejections >= 3) {
        ejected_by_all_us = (BootClock::now() - begin).count();
        return;
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
  };
  const auto result = RunStreams(
      *run, OrdinaryLoad(deployment, kHalfLoad, kFleetSlots, kRunLength), {},
      {TimedAction{.at = kFaultAt, .act = act}});
  const auto prefix = Prefix(context, "failing_worker");
  PrintAllStreams(context, prefix, result, kFaultAt);
  const auto failed =
      Summarise(result.plan, result.outcomes, "urgent", kFaultAt, kRunLength);
  PrintFigure(context.reporter, prefix + ".failed_urgent_tasks",
              failed.requests == 0 ? 0
                                   : 100 * static_cast<double>(failed.failed) /
                                         static_cast<double>(failed.requests),
              "%");
  PrintFigure(context.reporter, prefix + ".put_aside_by_all_after",
              static_cast<double>(ejected_by_all_us) / 1000,
              "ms (-0.001: not)");
  PrintEjections(context, prefix, result);
}

// Runs jobs that fail on every worker in addition to the ordinary load.
auto BrokenJob(const ScenarioContext& context) -> void {
  const auto deployment = Logbook();
  const auto run = StartFleet(deployment, context.policy, context.seed);
  auto streams = OrdinaryLoad(deployment, kHalfLoad, kFleetSlots, kRunLength);
  auto broken = streams[0];
  broken.name = "broken";
  broken.jobs_per_second = 20;
  broken.shape.kind = "broken";
  broken.shape.partner = deployment.flooding_urgent_partner;
  broken.shape.tasks = 5;
  broken.shape.run = milliseconds(5);
  broken.shape.fails = true;
  streams.push_back(broken);
  const auto result = RunStreams(*run, streams);
  const auto prefix = Prefix(context, "broken_job");
  PrintAllStreams(context, prefix, result, kWarmUp);
  PrintStream(context.reporter, prefix, result, "broken");
  PrintEjections(context, prefix, result);
}

// Makes one worker ten times slower. All jobs are repeatable.
auto Stragglers(const ScenarioContext& context) -> void {
  const auto deployment = Logbook();
  const auto run = StartFleet(deployment, context.policy, context.seed);
  auto streams = OrdinaryLoad(deployment, kHalfLoad, kFleetSlots, kRunLength);
  for (auto& it : streams) {
    it.shape.repeatable = true;
  }
  const auto result = RunStreams(
      *run, streams, {},
      {TimedAction{
          .at = kFaultAt, .act = [&] {
            run->cluster->ControlWorker(0, {{"worker", 0}, {"slowdown", 10.0}});
          }}});
  PrintAllStreams(context, Prefix(context, "stragglers"), result, kFaultAt);
}

constexpr int kCancelledJobs = 300;

// Returns the submissions of 300 jobs, one per millisecond from the end of the
// warm-up, and their cancellations, which are sent within 30 ms from kFaultAt.
auto CancelledJobs(FleetRun& run, const Stream& bulk)
    -> std::vector<PlannedRequest> {
  std::vector<PlannedRequest> extra;
  const auto& instances = run.cluster->Instances();
  auto shape = bulk.shape;
  shape.tasks = 50;
  shape.deadline = milliseconds(300000);
  for (auto i = 0; i < kCancelledJobs; ++i) {
    PlannedRequest submit;
    submit.server = instances[i % instances.size()].callers;
    const auto id = TakeId(run.ids, submit.server, shape.partner);
    submit.at = kWarmUp + milliseconds(i);
    submit.target = "/v1/jobs?wait_ms=0";
    submit.body = SubmissionBody(shape, id);
    submit.stream = "cancelled";
    submit.tasks = shape.tasks;
    auto cancel = submit;
    cancel.at = kFaultAt + microseconds(100 * i);
    cancel.target = "/v1/jobs/" + id + "/cancel?partner=" + shape.partner;
    cancel.body = "{}";
    cancel.stream = "cancels";
    extra.push_back(std::move(submit));
    extra.push_back(std::move(cancel));
  }
  return extra;
}

auto CancellationWave(const ScenarioContext& context) -> void {
  const auto deployment = Logbook();
  const auto run = StartFleet(deployment, context.policy, context.seed);
  const auto streams =
      OrdinaryLoad(deployment, kHalfLoad, kFleetSlots, kRunLength);
  const auto result =
      RunStreams(*run, streams, {}, {}, CancelledJobs(*run, streams[2]));
  const auto prefix = Prefix(context, "cancellation_wave");
  PrintAllStreams(context, prefix, result, kFaultAt);
  std::vector<double> answers;
  for (size_t i = 0; i < result.plan.size(); ++i) {
    if (result.plan[i].stream == "cancels") {
      answers.push_back(
          static_cast<double>(
              (result.outcomes[i].ended - result.plan[i].at).count()) /
          1000);
    }
  }
  PrintFigure(context.reporter, prefix + ".cancel_answer_p50",
              Percentile(answers, 0.5), "ms");
  PrintFigure(context.reporter, prefix + ".cancel_answer_p99",
              Percentile(answers, 0.99), "ms");
}

// Kills two of four instances. The load balancer detects it after 500 ms.
auto ZoneHalved(const ScenarioContext& context) -> void {
  constexpr int kInstances = 4;
  const auto deployment = Logbook();
  const auto run =
      StartFleet(deployment, context.policy, context.seed, kInstances);
  const auto kill = [&] {
    run->cluster->Instances()[2].process->Kill();
    run->cluster->Instances()[3].process->Kill();
  };
  const std::vector<BalancerWeights> balancer_weights = {
      {.from = microseconds(0), .weights = {0.25, 0.25, 0.25, 0.25}},
      {.from = kFaultAt + milliseconds(500), .weights = {0.5, 0.5, 0, 0}}};
  const auto result = RunStreams(
      *run,
      OrdinaryLoad(deployment, kSixtyPercentLoad, kFleetSlots, kRunLength),
      balancer_weights, {TimedAction{.at = kFaultAt, .act = kill}});
  const auto prefix = Prefix(context, "zone_halved");
  PrintAllStreams(context, prefix + ".after", result,
                  kFaultAt + milliseconds(500));
  for (const auto* it : {"urgent", "middle", "bulk"}) {
    PrintStream(context.reporter, prefix + ".last_3s", result, it,
                kRunLength - seconds(3));
  }
}

}  // namespace

auto FaultScenarios() -> std::vector<Scenario> {
  return {{"different_speeds", DifferentSpeeds},
          {"failing_worker", FailingWorker},
          {"broken_job", BrokenJob},
          {"stragglers", Stragglers},
          {"cancellation_wave", CancellationWave},
          {"zone_halved", ZoneHalved}};
}

}  // namespace boragecroft::bench
