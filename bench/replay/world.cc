#include "bench/replay/world.h"

#include <deque>
#include <map>
#include <set>
#include <utility>

#include "bench/replay/replayed_worker.h"
#include "servers/intake/intake.h"

namespace boragecroft::bench {
namespace {

// What an instance or a worker needs for one message: assumed, not measured.
constexpr microseconds kHandling{150};
constexpr microseconds kClientHop{1000};
constexpr milliseconds kBeat{200};
constexpr milliseconds kOrderLost{60};  // as platform/worker_client waits
constexpr milliseconds kHoldLost{170};
constexpr uint32_t kMaxAttempts = 3;
// Returns, runs and leases are over this long after the last job.
constexpr seconds kAfterDay{30};
constexpr uint64_t kToken = kTokensOfTenure;

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

struct World {
  World(const Day& of_day, const ReplayOptions& of_options)
      : day(of_day), options(of_options) {}

  const Day& day;
  const ReplayOptions& options;
  Agenda agenda;
  Random returns{1};
  std::deque<ReplayedWorker> workers;
  std::map<std::string, size_t> worker_index;
  std::deque<ReplayedGroup> groups;
  std::deque<ReplayedInstance> instances;
  std::vector<size_t> first_instance;  // by zone
  Played played;
};

auto RunCommands(World& world,
                 ReplayedGroup& group,
                 const SchedulerCommands& commands) -> void;
auto RunCommands(World& world, size_t instance, const IntakeCommands& commands)
    -> void;
auto Arrive(World& world, size_t record) -> void;

auto DayJobOf(const World& world, JobName name) -> const DayJob& {
  return world.day.jobs[world.played.records[name.value - 1].job];
}

auto Hop(const World& world, size_t from_zone, size_t to_zone) -> microseconds {
  const auto& shape = world.day.shape;
  return kHandling + (from_zone == to_zone ? shape.zone_hop : shape.cross_hop);
}

// One way between an instance and the holder of a group.
auto WayTo(const World& world, size_t instance, const ReplayedGroup& group)
    -> microseconds {
  if (group.holder == instance) {
    return microseconds{0};
  }
  return Hop(world, world.instances[instance].zone, group.zone);
}

auto GroupNamed(World& world, const std::string& name) -> ReplayedGroup& {
  for (auto& it : world.groups) {
    if (it.name == name) {
      return it;
    }
  }
  return world.groups.front();
}

// Calls OnTime when the group next waits for time.
auto WakeWhenDue(World& world, ReplayedGroup& group) -> void {
  const auto due = NextDue(group.scheduler);
  if (!due || (group.wake && *group.wake <= *due)) {
    return;
  }
  group.wake = *due;
  const auto wait = std::max(microseconds{0}, *due - world.agenda.now);
  After(world.agenda, wait, [&world, &group, at = *due] {
    if (group.wake != at) {
      return;
    }
    group.wake.reset();
    SchedulerCommands out;
    OnTime(group.scheduler, world.agenda.now, out);
    RunCommands(world, group, out);
  });
}

auto WakeWhenDue(World& world, size_t instance) -> void {
  auto& it = world.instances[instance];
  const auto due = NextDue(it.intake);
  if (!due || (it.wake && *it.wake <= *due)) {
    return;
  }
  it.wake = *due;
  const auto wait = std::max(microseconds{0}, *due - world.agenda.now);
  After(world.agenda, wait, [&world, &it, instance, at = *due] {
    if (it.wake != at) {
      return;
    }
    it.wake.reset();
    IntakeCommands out;
    OnTime(it.intake, world.agenda.now, out);
    RunCommands(world, instance, out);
  });
}

auto ViewOf(const ReplayedGroup& group) -> GroupView {
  return GroupView{.token = kToken,
                   .reachable = true,
                   .ready = true,
                   .load = LoadOf(group.scheduler)};
}

auto Send(World& world, ReplayedGroup& group, const StartCommand& order)
    -> void {
  auto& worker = world.workers[world.worker_index.at(order.target.worker)];
  const auto hop = Hop(world, group.zone, worker.day.zone);
  const auto& job = DayJobOf(world, order.task.job);
  const auto answer = [&world, &group, order](OrderAnswer it) {
    SchedulerCommands out;
    OnStartAnswer(group.scheduler, order, it, world.agenda.now, out);
    RunCommands(world, group, out);
  };
  After(world.agenda, hop, [&world, &worker, &job, order, answer, hop] {
    const auto said = StartRun(worker, world.agenda, world.day, order,
                               job.needs, job.tasks[order.task.index].work);
    After(world.agenda, said ? hop : microseconds(kOrderLost),
          [answer, said] { answer(said.value_or(OrderAnswer::kNoAnswer)); });
  });
}

auto Send(World& world, ReplayedGroup& group, const StopCommand& order)
    -> void {
  auto& worker = world.workers[world.worker_index.at(order.target.worker)];
  const auto hop = Hop(world, group.zone, worker.day.zone);
  const auto answer = [&world, &group, order](OrderAnswer it) {
    SchedulerCommands out;
    OnStopAnswer(group.scheduler, order, it, world.agenda.now, out);
    RunCommands(world, group, out);
  };
  After(world.agenda, hop, [&world, &worker, order, answer, hop] {
    const auto said = EndRun(worker, world.agenda, world.day, order);
    After(world.agenda, said ? hop : microseconds(kHoldLost),
          [answer, said] { answer(said.value_or(OrderAnswer::kNoAnswer)); });
  });
}

auto Send(World& world, ReplayedGroup& group, const HoldCommand& order)
    -> void {
  auto& worker = world.workers[world.worker_index.at(order.target.worker)];
  const auto hop = Hop(world, group.zone, worker.day.zone);
  const auto sent = world.agenda.now;
  const auto finish = [&world, &group, order,
                       sent](const std::optional<HoldReport>& report) {
    SchedulerCommands out;
    OnHoldAnswer(group.scheduler, order,
                 report ? OrderAnswer::kAccepted : OrderAnswer::kNoAnswer,
                 report ? &*report : nullptr, sent, world.agenda.now, out);
    RunCommands(world, group, out);
  };
  After(world.agenda, hop, [&world, &worker, order, hop, finish] {
    HoldWorker(worker, world.agenda, world.day, order,
               [&world, hop, finish](std::optional<HoldReport> report) {
                 const auto wait = report ? hop : microseconds(kHoldLost);
                 After(
                     world.agenda, wait,
                     [finish, report = std::move(report)] { finish(report); });
               });
  });
}

auto Send(World& world, ReplayedGroup& group, const ResultCommand& command)
    -> void {
  const auto instance = static_cast<size_t>(command.taker - 1);
  After(world.agenda, WayTo(world, instance, group),
        [&world, &group, instance, result = command.result,
         view = ViewOf(group)] {
          IntakeCommands out;
          auto& intake = world.instances[instance].intake;
          OnResult(intake, group.name, kToken, result, world.agenda.now, out);
          OnGroupView(intake, group.name, view, world.agenda.now, out);
          RunCommands(world, instance, out);
        });
}

auto Send(World& /*world*/,
          ReplayedGroup& /*group*/,
          const DeposedCommand& /*command*/) -> void {}

auto RunCommands(World& world,
                 ReplayedGroup& group,
                 const SchedulerCommands& commands) -> void {
  for (const auto& it : commands) {
    std::visit([&](const auto& command) { Send(world, group, command); }, it);
  }
  WakeWhenDue(world, group);
}

auto Send(World& world, size_t instance, const HandOver& command) -> void {
  auto& group = GroupNamed(world, command.group);
  After(world.agenda, WayTo(world, instance, group),
        [&world, &group, instance, offer = command.offer] {
          SchedulerCommands out;
          OnOffer(group.scheduler, instance + 1, offer, world.agenda.now, out);
          RunCommands(world, group, out);
        });
}

auto Send(World& world, size_t instance, const WithdrawJob& command) -> void {
  auto& group = GroupNamed(world, command.group);
  After(world.agenda, WayTo(world, instance, group),
        [&world, &group, instance, job = command.job] {
          SchedulerCommands out;
          OnCancel(group.scheduler, instance + 1, job, world.agenda.now, out);
          RunCommands(world, group, out);
        });
}

// The caller of a refused job comes back once.
auto ReturnLater(World& world, const JobRecord& refused) -> void {
  const auto& options = world.options;
  if (options.returns == ReturnHabit::kNever || refused.returned) {
    return;
  }
  // The header that tells callers when to return holds whole seconds.
  auto wait = milliseconds(std::chrono::ceil<seconds>(refused.retry_after));
  if (options.returns == ReturnHabit::kAtRandom) {
    const auto bound = static_cast<uint64_t>(options.longest_return.count());
    wait = milliseconds(DrawBelow(world.returns, bound));
  }
  const auto record = world.played.records.size();
  world.played.records.push_back(
      JobRecord{.job = refused.job, .returned = true, .waited = wait});
  After(world.agenda, kClientHop + wait,
        [&world, record] { Arrive(world, record); });
}

auto Send(World& world, size_t /*instance*/, const AnswerJob& command) -> void {
  const auto index = command.result.name.value - 1;
  auto& record = world.played.records[index];
  record.outcome = command.result.outcome;
  record.answered = world.agenda.now + kClientHop;
  record.retry_after = command.result.retry_after;
  if (record.outcome == JobOutcome::kRefused) {
    ReturnLater(world, JobRecord(record));
  }
}

auto RunCommands(World& world, size_t instance, const IntakeCommands& commands)
    -> void {
  for (const auto& it : commands) {
    std::visit([&](const auto& command) { Send(world, instance, command); },
               it);
  }
  WakeWhenDue(world, instance);
}

auto OfferOf(const World& world, size_t record) -> JobOffer {
  const auto& job = world.day.jobs[world.played.records[record].job];
  return JobOffer{
      .name = JobName{record + 1},
      .kind = world.day.shape.kinds[job.kind].name,
      .service = "work",
      .count = static_cast<uint32_t>(job.tasks.size()),
      .needs = job.needs,
      .run_estimate = job.declared,
      .target = milliseconds{60},
      .slack_factor = 1.6,
      .max_attempts = kMaxAttempts,
      .remaining = milliseconds{1500} -
                   std::chrono::duration_cast<milliseconds>(2 * kClientHop)};
}

// The caller sends the job: it reaches its instance a hop later.
auto Arrive(World& world, size_t record) -> void {
  const auto& job = world.day.jobs[world.played.records[record].job];
  world.played.records[record].sent = world.agenda.now;
  const auto instance = world.first_instance[job.zone] + job.instance;
  After(world.agenda, kClientHop + kHandling, [&world, record, instance] {
    IntakeCommands out;
    OnJob(world.instances[instance].intake, OfferOf(world, record),
          world.agenda.now, out);
    RunCommands(world, instance, out);
  });
  After(world.agenda, job.leaves_after, [&world, record, instance] {
    auto& it = world.played.records[record];
    if (it.outcome) {
      return;
    }
    it.left = true;
    IntakeCommands out;
    OnCallerGone(world.instances[instance].intake, JobName{record + 1}, out);
    RunCommands(world, instance, out);
  });
}

auto MakeInstances(World& world) -> void {
  const auto& zones = world.day.shape.zones;
  for (size_t zone = 0; zone < zones.size(); ++zone) {
    world.first_instance.push_back(world.instances.size());
    for (uint32_t i = 0; i < zones[zone].instances; ++i) {
      world.instances.emplace_back().zone = zone;
    }
  }
}

auto AddGroup(World& world, const std::string& name, size_t holder) -> void {
  auto& group = world.groups.emplace_back();
  group.name = name;
  group.holder = holder;
  group.zone = world.instances[holder].zone;
  group.scheduler.policy = world.options.policy;
}

// Makes the groups and tells each instance which one it prefers.
auto MakeGroups(World& world) -> void {
  for (size_t i = 0; i < world.instances.size(); ++i) {
    auto& instance = world.instances[i];
    const auto first = world.first_instance[instance.zone];
    auto holder = i;
    if (world.options.layout == GroupLayout::kZone) {
      holder = first;
    }
    if (world.options.layout == GroupLayout::kSite) {
      holder = 0;
    }
    const auto name = std::string("g").append(std::to_string(holder));
    instance.intake.zone = name;
    if (holder == i) {
      AddGroup(world, name, holder);
    }
  }
}

// Deals a zone's workers out among its groups in turn.
auto EntriesOf(const World& world, const ReplayedGroup& group)
    -> std::vector<WorkerEntry> {
  std::vector<WorkerEntry> out;
  std::map<size_t, size_t> turn;
  for (const auto& it : world.day.workers) {
    const auto n = turn[it.zone]++;
    auto holder = size_t{0};
    if (world.options.layout == GroupLayout::kZone) {
      holder = world.first_instance[it.zone];
    }
    if (world.options.layout == GroupLayout::kInstance) {
      const auto instances = world.day.shape.zones[it.zone].instances;
      holder = world.first_instance[it.zone] + n / 3 % instances;
    }
    if (holder == group.holder) {
      auto& entry = out.emplace_back();
      entry.id = it.id;
      entry.service = "work";
      entry.zone = world.day.shape.zones[it.zone].name;
      entry.kind = "any";
      entry.capacity = it.capacity;
      entry.born = milliseconds{1000};
    }
  }
  return out;
}

auto Beat(World& world) -> void {
  for (size_t i = 0; i < world.instances.size(); ++i) {
    IntakeCommands out;
    for (const auto& group : world.groups) {
      OnGroupView(world.instances[i].intake, group.name, ViewOf(group),
                  world.agenda.now, out);
    }
    RunCommands(world, i, out);
  }
  // Some seconds more than the day, for the last jobs and returns.
  const auto end = Agenda().now + world.day.shape.length + seconds{8};
  if (world.agenda.now < end) {
    After(world.agenda, kBeat, [&world] { Beat(world); });
  }
}

auto PlanDay(World& world) -> void {
  constexpr milliseconds kLead{500};
  for (size_t i = 0; i < world.day.jobs.size(); ++i) {
    world.played.records.push_back(JobRecord{.job = i});
  }
  for (size_t i = 0; i < world.day.workers.size(); ++i) {
    auto& worker = world.workers.emplace_back();
    worker.day = world.day.workers[i];
    worker.index = i;
    world.worker_index[worker.day.id] = i;
  }
  for (auto& group : world.groups) {
    SchedulerCommands out;
    BeginTenure(group.scheduler, kToken, EntriesOf(world, group), true,
                world.agenda.now, out);
    RunCommands(world, group, out);
  }
  After(world.agenda, kLead, [&world] { Beat(world); });
  for (size_t i = 0; i < world.day.jobs.size(); ++i) {
    After(world.agenda,
          std::max(microseconds(kLead) + kBeat, world.day.jobs[i].arrives),
          [&world, i] { Arrive(world, i); });
  }
  for (const auto& it : world.day.periods) {
    if (it.trouble == WorkerTrouble::kSilent) {
      After(world.agenda, it.from, [&world, n = it.worker] {
        Silence(world.workers[n], world.agenda);
      });
    }
  }
}

}  // namespace

auto PlayDay(const Day& day, const ReplayOptions& options) -> Played {
  World world(day, options);
  MakeInstances(world);
  MakeGroups(world);
  PlanDay(world);
  const auto end = world.agenda.now + day.shape.length + kAfterDay;
  while (world.agenda.now < end && Advance(world.agenda)) {
  }
  for (const auto& it : world.workers) {
    world.played.wasted_core_ms += it.wasted_core_ms;
    world.played.overfull += it.overfull;
  }
  for (const auto& it : world.groups) {
    world.played.starts += it.scheduler.counters.starts;
    for (const auto& [id, worker] : it.scheduler.workers) {
      world.played.unsettled += static_cast<uint32_t>(worker.runs.size());
    }
  }
  return std::move(world.played);
}

}  // namespace boragecroft::bench
