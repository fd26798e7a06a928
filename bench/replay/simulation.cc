#include "bench/replay/simulation.h"

#include <deque>
#include <map>
#include <set>
#include <utility>

#include "bench/replay/replayed_worker.h"
#include "servers/intake/intake.h"

namespace boragecroft::bench {
namespace {

// Time that an instance or a worker needs for one message.
constexpr microseconds kHandling{150};
constexpr microseconds kClientHop{1000};
constexpr milliseconds kHeartbeatInterval{200};
constexpr milliseconds kOrderTimeout{60};  // time-out of platform/worker_client
constexpr milliseconds kRenewalTimeout{170};
constexpr uint32_t kMaxAttempts = 3;
// Retries, runs and leases have ended this long after the last job.
constexpr seconds kDrainTime{30};
constexpr uint64_t kToken = kTokensPerTerm;

struct ReplayedGroup {
  std::string name;
  size_t zone = 0;
  size_t holder = 0;  // instance
  Scheduler scheduler;
  std::optional<Instant> wake;
};

struct ReplayedInstance {
  size_t zone = 0;
  Intake intake;
  std::optional<Instant> wake;
};

struct Simulation {
  Simulation(const Workload& of_workload, const ReplayOptions& of_options)
      : workload(of_workload), options(of_options) {}

  const Workload& workload;
  const ReplayOptions& options;
  EventQueue event_queue;
  Random retry_random{1};
  std::deque<ReplayedWorker> workers;
  std::map<std::string, size_t> worker_index;
  std::deque<ReplayedGroup> groups;
  std::deque<ReplayedInstance> instances;
  std::vector<size_t> first_instance;  // by zone
  SimulationResult result;
};

auto RunCommands(Simulation& simulation,
                 ReplayedGroup& group,
                 const SchedulerCommands& commands) -> void;
auto RunCommands(Simulation& simulation,
                 size_t instance,
                 const IntakeCommands& commands) -> void;
auto SubmitJob(Simulation& simulation, size_t record) -> void;

auto WorkloadJobOf(const Simulation& simulation, JobName name)
    -> const WorkloadJob& {
  return simulation.workload
      .jobs[simulation.result.records[name.value - 1].job];
}

auto Hop(const Simulation& simulation, size_t from_zone, size_t to_zone)
    -> microseconds {
  const auto& shape = simulation.workload.shape;
  return kHandling + (from_zone == to_zone ? shape.zone_hop : shape.cross_hop);
}

// Returns the one-way latency between an instance and the holder of a group.
auto LatencyTo(const Simulation& simulation,
               size_t instance,
               const ReplayedGroup& group) -> microseconds {
  if (group.holder == instance) {
    return microseconds{0};
  }
  return Hop(simulation, simulation.instances[instance].zone, group.zone);
}

auto FindGroup(Simulation& simulation, const std::string& name)
    -> ReplayedGroup& {
  for (auto& it : simulation.groups) {
    if (it.name == name) {
      return it;
    }
  }
  return simulation.groups.front();
}

// Schedules a call of OnTime for the time at which the group next needs it.
auto WakeWhenDue(Simulation& simulation, ReplayedGroup& group) -> void {
  const auto due = NextDue(group.scheduler);
  if (!due || (group.wake && *group.wake <= *due)) {
    return;
  }
  group.wake = *due;
  const auto wait =
      std::max(microseconds{0}, *due - simulation.event_queue.now);
  After(simulation.event_queue, wait, [&simulation, &group, at = *due] {
    if (group.wake != at) {
      return;
    }
    group.wake.reset();
    SchedulerCommands out;
    OnTime(group.scheduler, simulation.event_queue.now, out);
    RunCommands(simulation, group, out);
  });
}

auto WakeWhenDue(Simulation& simulation, size_t instance) -> void {
  auto& it = simulation.instances[instance];
  const auto due = NextDue(it.intake);
  if (!due || (it.wake && *it.wake <= *due)) {
    return;
  }
  it.wake = *due;
  const auto wait =
      std::max(microseconds{0}, *due - simulation.event_queue.now);
  After(simulation.event_queue, wait, [&simulation, &it, instance, at = *due] {
    if (it.wake != at) {
      return;
    }
    it.wake.reset();
    IntakeCommands out;
    OnTime(it.intake, simulation.event_queue.now, out);
    RunCommands(simulation, instance, out);
  });
}

auto ViewOf(const ReplayedGroup& group) -> GroupView {
  return GroupView{.token = kToken,
                   .reachable = true,
                   .ready = true,
                   .load = LoadOf(group.scheduler)};
}

auto Send(Simulation& simulation,
          ReplayedGroup& group,
          const StartCommand& order) -> void {
  auto& worker =
      simulation.workers[simulation.worker_index.at(order.target.worker)];
  const auto hop = Hop(simulation, group.zone, worker.description.zone);
  const auto& job = WorkloadJobOf(simulation, order.task.job);
  const auto answer = [&simulation, &group, order](OrderAnswer it) {
    SchedulerCommands out;
    OnStartAnswer(group.scheduler, order, it, simulation.event_queue.now, out);
    RunCommands(simulation, group, out);
  };
  After(simulation.event_queue, hop,
        [&simulation, &worker, &job, order, answer, hop] {
          const auto reply =
              StartRun(worker, simulation.event_queue, simulation.workload,
                       order, job.needs, job.tasks[order.task.index].work);
          After(simulation.event_queue,
                reply ? hop : microseconds(kOrderTimeout), [answer, reply] {
                  answer(reply.value_or(OrderAnswer::kNoAnswer));
                });
        });
}

auto Send(Simulation& simulation,
          ReplayedGroup& group,
          const StopCommand& order) -> void {
  auto& worker =
      simulation.workers[simulation.worker_index.at(order.target.worker)];
  const auto hop = Hop(simulation, group.zone, worker.description.zone);
  const auto answer = [&simulation, &group, order](OrderAnswer it) {
    SchedulerCommands out;
    OnStopAnswer(group.scheduler, order, it, simulation.event_queue.now, out);
    RunCommands(simulation, group, out);
  };
  After(
      simulation.event_queue, hop, [&simulation, &worker, order, answer, hop] {
        const auto reply =
            EndRun(worker, simulation.event_queue, simulation.workload, order);
        After(simulation.event_queue,
              reply ? hop : microseconds(kRenewalTimeout), [answer, reply] {
                answer(reply.value_or(OrderAnswer::kNoAnswer));
              });
      });
}

auto Send(Simulation& simulation,
          ReplayedGroup& group,
          const RenewCommand& order) -> void {
  auto& worker =
      simulation.workers[simulation.worker_index.at(order.target.worker)];
  const auto hop = Hop(simulation, group.zone, worker.description.zone);
  const auto sent = simulation.event_queue.now;
  const auto finish = [&simulation, &group, order,
                       sent](const std::optional<RunReport>& report) {
    SchedulerCommands out;
    OnRenewAnswer(group.scheduler, order,
                  report ? OrderAnswer::kAccepted : OrderAnswer::kNoAnswer,
                  report ? &*report : nullptr, sent, simulation.event_queue.now,
                  out);
    RunCommands(simulation, group, out);
  };
  After(simulation.event_queue, hop,
        [&simulation, &worker, order, hop, finish] {
          RenewLease(
              worker, simulation.event_queue, simulation.workload, order,
              [&simulation, hop, finish](std::optional<RunReport> report) {
                const auto wait = report ? hop : microseconds(kRenewalTimeout);
                After(simulation.event_queue, wait,
                      [finish, report = std::move(report)] { finish(report); });
              });
        });
}

auto Send(Simulation& simulation,
          ReplayedGroup& group,
          const ResultCommand& command) -> void {
  const auto instance = static_cast<size_t>(command.origin - 1);
  After(simulation.event_queue, LatencyTo(simulation, instance, group),
        [&simulation, &group, instance, result = command.result,
         view = ViewOf(group)] {
          IntakeCommands out;
          auto& intake = simulation.instances[instance].intake;
          OnResult(intake, group.name, kToken, result,
                   simulation.event_queue.now, out);
          OnGroupView(intake, group.name, view, simulation.event_queue.now,
                      out);
          RunCommands(simulation, instance, out);
        });
}

auto Send(Simulation& /*simulation*/,
          ReplayedGroup& /*group*/,
          const FencedCommand& /*command*/) -> void {}

auto RunCommands(Simulation& simulation,
                 ReplayedGroup& group,
                 const SchedulerCommands& commands) -> void {
  for (const auto& it : commands) {
    std::visit([&](const auto& command) { Send(simulation, group, command); },
               it);
  }
  WakeWhenDue(simulation, group);
}

auto Send(Simulation& simulation, size_t instance, const HandOver& command)
    -> void {
  auto& group = FindGroup(simulation, command.group);
  After(simulation.event_queue, LatencyTo(simulation, instance, group),
        [&simulation, &group, instance, offer = command.offer] {
          SchedulerCommands out;
          OnOffer(group.scheduler, instance + 1, offer,
                  simulation.event_queue.now, out);
          RunCommands(simulation, group, out);
        });
}

auto Send(Simulation& simulation, size_t instance, const WithdrawJob& command)
    -> void {
  auto& group = FindGroup(simulation, command.group);
  After(simulation.event_queue, LatencyTo(simulation, instance, group),
        [&simulation, &group, instance, job = command.job] {
          SchedulerCommands out;
          OnCancel(group.scheduler, instance + 1, job,
                   simulation.event_queue.now, out);
          RunCommands(simulation, group, out);
        });
}

// Schedules one retry by the caller of a refused job.
auto ScheduleRetry(Simulation& simulation, const JobRecord& refused) -> void {
  const auto& options = simulation.options;
  if (options.retry_behavior == RetryBehavior::kNever || refused.is_retry) {
    return;
  }
  // The header Retry-After holds whole seconds.
  auto wait = milliseconds(std::chrono::ceil<seconds>(refused.retry_after));
  if (options.retry_behavior == RetryBehavior::kAtRandom) {
    const auto bound =
        static_cast<uint64_t>(options.longest_retry_wait.count());
    wait = milliseconds(DrawBelow(simulation.retry_random, bound));
  }
  const auto record = simulation.result.records.size();
  simulation.result.records.push_back(
      JobRecord{.job = refused.job, .is_retry = true, .waited = wait});
  After(simulation.event_queue, kClientHop + wait,
        [&simulation, record] { SubmitJob(simulation, record); });
}

auto Send(Simulation& simulation, size_t /*instance*/, const AnswerJob& command)
    -> void {
  const auto index = command.result.name.value - 1;
  auto& record = simulation.result.records[index];
  record.outcome = command.result.outcome;
  record.answered = simulation.event_queue.now + kClientHop;
  record.retry_after = command.result.retry_after;
  if (record.outcome == JobOutcome::kRefused) {
    ScheduleRetry(simulation, JobRecord(record));
  }
}

auto RunCommands(Simulation& simulation,
                 size_t instance,
                 const IntakeCommands& commands) -> void {
  for (const auto& it : commands) {
    std::visit(
        [&](const auto& command) { Send(simulation, instance, command); }, it);
  }
  WakeWhenDue(simulation, instance);
}

auto OfferOf(const Simulation& simulation, size_t record) -> JobOffer {
  const auto& job =
      simulation.workload.jobs[simulation.result.records[record].job];
  return JobOffer{
      .name = JobName{record + 1},
      .kind = simulation.workload.shape.kinds[job.kind].name,
      .service = "work",
      .count = static_cast<uint32_t>(job.tasks.size()),
      .needs = job.needs,
      .run_estimate = job.declared,
      .target = milliseconds{60},
      .slack_factor = 1.6,
      .max_attempts = kMaxAttempts,
      .remaining = std::chrono::duration_cast<milliseconds>(job.stated_wait -
                                                            2 * kClientHop),
      .priority = simulation.workload.shape.kinds[job.kind].priority};
}

// Sends the caller's job, which reaches its instance one hop later.
auto SubmitJob(Simulation& simulation, size_t record) -> void {
  const auto& job =
      simulation.workload.jobs[simulation.result.records[record].job];
  simulation.result.records[record].sent = simulation.event_queue.now;
  const auto instance = simulation.first_instance[job.zone] + job.instance;
  After(simulation.event_queue, kClientHop + kHandling,
        [&simulation, record, instance] {
          IntakeCommands out;
          OnJob(simulation.instances[instance].intake,
                OfferOf(simulation, record), simulation.event_queue.now, out);
          RunCommands(simulation, instance, out);
        });
  After(simulation.event_queue, job.leaves_after,
        [&simulation, record, instance] {
          auto& it = simulation.result.records[record];
          if (it.outcome) {
            return;
          }
          it.caller_left = true;
          IntakeCommands out;
          OnCallerDisconnected(simulation.instances[instance].intake,
                               JobName{record + 1}, out);
          RunCommands(simulation, instance, out);
        });
}

auto MakeInstances(Simulation& simulation) -> void {
  const auto& zones = simulation.workload.shape.zones;
  for (size_t zone = 0; zone < zones.size(); ++zone) {
    simulation.first_instance.push_back(simulation.instances.size());
    for (uint32_t i = 0; i < zones[zone].instances; ++i) {
      simulation.instances.emplace_back().zone = zone;
    }
  }
}

auto AddGroup(Simulation& simulation, const std::string& name, size_t holder)
    -> void {
  auto& group = simulation.groups.emplace_back();
  group.name = name;
  group.holder = holder;
  group.zone = simulation.instances[holder].zone;
  group.scheduler.policy = simulation.options.policy;
}

// Creates the groups and sets the group that each instance prefers.
auto MakeGroups(Simulation& simulation) -> void {
  for (size_t i = 0; i < simulation.instances.size(); ++i) {
    auto& instance = simulation.instances[i];
    const auto first = simulation.first_instance[instance.zone];
    auto holder = i;
    if (simulation.options.layout == GroupLayout::kZone) {
      holder = first;
    }
    if (simulation.options.layout == GroupLayout::kSite) {
      holder = 0;
    }
    const auto name = std::string("g").append(std::to_string(holder));
    instance.intake.zone = name;
    if (holder == i) {
      AddGroup(simulation, name, holder);
    }
  }
}

// Returns the entries of the group's workers. The workers of a zone are
// distributed among its groups in rotation.
auto EntriesOf(const Simulation& simulation, const ReplayedGroup& group)
    -> std::vector<WorkerEntry> {
  std::vector<WorkerEntry> out;
  std::map<size_t, size_t> turn;
  for (const auto& it : simulation.workload.workers) {
    const auto n = turn[it.zone]++;
    auto holder = size_t{0};
    if (simulation.options.layout == GroupLayout::kZone) {
      holder = simulation.first_instance[it.zone];
    }
    if (simulation.options.layout == GroupLayout::kInstance) {
      const auto instances = simulation.workload.shape.zones[it.zone].instances;
      holder = simulation.first_instance[it.zone] + n / 3 % instances;
    }
    if (holder == group.holder) {
      auto& entry = out.emplace_back();
      entry.id = it.id;
      entry.service = "work";
      entry.zone = simulation.workload.shape.zones[it.zone].name;
      entry.kind = it.kind;
      entry.capacity = it.capacity;
      entry.started_at = milliseconds{1000};
    }
  }
  return out;
}

auto SendHeartbeats(Simulation& simulation) -> void {
  for (size_t i = 0; i < simulation.instances.size(); ++i) {
    IntakeCommands out;
    for (const auto& group : simulation.groups) {
      OnGroupView(simulation.instances[i].intake, group.name, ViewOf(group),
                  simulation.event_queue.now, out);
    }
    RunCommands(simulation, i, out);
  }
  // Heartbeats continue some seconds after the end of the workload, for the
  // last jobs and retries.
  const auto end =
      EventQueue().now + simulation.workload.shape.length + seconds{8};
  if (simulation.event_queue.now < end) {
    After(simulation.event_queue, kHeartbeatInterval,
          [&simulation] { SendHeartbeats(simulation); });
  }
}

auto ScheduleWorkload(Simulation& simulation) -> void {
  constexpr milliseconds kLead{500};
  for (size_t i = 0; i < simulation.workload.jobs.size(); ++i) {
    simulation.result.records.push_back(JobRecord{.job = i});
  }
  for (size_t i = 0; i < simulation.workload.workers.size(); ++i) {
    auto& worker = simulation.workers.emplace_back();
    worker.description = simulation.workload.workers[i];
    worker.index = i;
    simulation.worker_index[worker.description.id] = i;
  }
  for (auto& group : simulation.groups) {
    SchedulerCommands out;
    BeginTerm(group.scheduler, kToken, EntriesOf(simulation, group), true,
              simulation.event_queue.now, out);
    RunCommands(simulation, group, out);
  }
  After(simulation.event_queue, kLead,
        [&simulation] { SendHeartbeats(simulation); });
  for (size_t i = 0; i < simulation.workload.jobs.size(); ++i) {
    After(simulation.event_queue,
          std::max(microseconds(kLead) + kHeartbeatInterval,
                   simulation.workload.jobs[i].arrives),
          [&simulation, i] { SubmitJob(simulation, i); });
  }
  for (const auto& it : simulation.workload.fault_periods) {
    if (it.fault == WorkerFault::kUnresponsive) {
      After(simulation.event_queue, it.from, [&simulation, n = it.worker] {
        BecomeUnresponsive(simulation.workers[n], simulation.event_queue);
      });
    }
  }
}

}  // namespace

auto SimulateWorkload(const Workload& workload, const ReplayOptions& options)
    -> SimulationResult {
  Simulation simulation(workload, options);
  MakeInstances(simulation);
  MakeGroups(simulation);
  ScheduleWorkload(simulation);
  const auto end =
      simulation.event_queue.now + workload.shape.length + kDrainTime;
  while (simulation.event_queue.now < end && Advance(simulation.event_queue)) {
  }
  for (const auto& it : simulation.workers) {
    simulation.result.wasted_core_ms += it.wasted_core_ms;
    simulation.result.starts_over_capacity += it.starts_over_capacity;
  }
  for (const auto& it : simulation.groups) {
    simulation.result.starts += it.scheduler.counters.starts;
    for (const auto& [id, worker] : it.scheduler.workers) {
      simulation.result.unended_runs +=
          static_cast<uint32_t>(worker.runs.size());
    }
  }
  return std::move(simulation.result);
}

}  // namespace boragecroft::bench
