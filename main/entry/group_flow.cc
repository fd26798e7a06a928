#include "main/entry/group_flow.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/log/log.h"
#include "main/entry/entry_instance.h"
#include "main/entry/evacuation_flow.h"
#include "main/entry/job_flow.h"
#include "main/entry/succession_flow.h"
#include "main/entry/suspension.h"
#include "platform/ingress.h"

namespace boragecroft {
namespace {

// Rows of workers that expired while the store was unavailable are written
// again within about 2 s after its return. A worker whose row is missing for
// longer has left.
constexpr milliseconds kDepartureGrace{2500};

// For this long after a worker joined or left a group, more may join or leave:
// a zone behind a network partition loses and regains its rows one by one.
constexpr milliseconds kStableAfter{15000};

// Returns the group of a worker: a group consists of the workers of one
// availability zone.
auto GroupOf(const WorkerEntry& entry) -> const std::string& {
  return entry.zone;
}

auto Execute(EntryState& state,
             const std::string& /*group*/,
             const StartCommand& command) -> void {
  state.workers->Send(command);
}

auto Execute(EntryState& state,
             const std::string& /*group*/,
             const StopCommand& command) -> void {
  state.workers->Send(command);
}

auto Execute(EntryState& state,
             const std::string& /*group*/,
             const RenewCommand& command) -> void {
  state.workers->Send(command);
}

auto ReasonName(GiveUpReason reason) -> const char* {
  switch (reason) {
    case GiveUpReason::kNoRoom:
      return "no_room";
    case GiveUpReason::kNoChance:
      return "no_chance";
    case GiveUpReason::kDeadline:
      return "deadline";
    case GiveUpReason::kWithdrawn:
      return "withdrawn";
    case GiveUpReason::kOriginLost:
      return "origin_lost";
    case GiveUpReason::kNone:
      break;
  }
  return "none";
}

auto LogJobEnd(EntryState& state,
               const std::string& group,
               const ResultCommand& command) -> void {
  auto& budget =
      command.redirected ? state.redirect_log_budget : state.log_budget;
  if (command.result.outcome == JobOutcome::kDone ||
      !MayLog(budget, BootClock::now())) {
    return;
  }
  const auto displaced_by = command.displaced_by
                                ? platform::ToString(*command.displaced_by)
                                : std::string();
  Log(LogLevel::kInfo, command.redirected ? "job_passed_on" : "job_ended",
      {{"job", platform::ToString(command.result.name)},
       {"displaced_by", displaced_by},
       {"group", group},
       {"outcome", OutcomeName(command.result.outcome)},
       {"tasks", command.tasks},
       {"done", command.done},
       {"in_progress", command.in_progress},
       {"age_ms", command.age.count()},
       {"objective_ms", command.objective.count()},
       {"reason", ReasonName(command.reason)},
       {"chance_percent", std::lround(command.chance * 100)}});
}

auto Execute(EntryState& state,
             const std::string& group,
             const ResultCommand& command) -> void {
  LogJobEnd(state, group, command);
  if (command.withheld) {
    state.metrics.CountEvent("start_withheld");
  }
  if (command.origin == 0) {
    const auto token = state.succession.groups[group].holder->token;
    IntakeCommands commands;
    OnResult(state.intake, group, token, command.result, BootClock::now(),
             commands);
    RunIntakeCommands(state, commands);
    return;
  }
  state.link->Send(command.origin,
                   ResultMessage{.result = command.result,
                                 .status = StatusOf(state, group)});
}

auto Execute(EntryState& state,
             const std::string& group,
             const FencedCommand& command) -> void {
  Log(LogLevel::kWarning, "group_fenced",
      {{"group", group}, {"worker", command.worker}});
  state.metrics.CountEvent("group_fenced");
  SuccessionCommands commands;
  OnFenced(state.succession, group, BootClock::now(), commands);
  RunSuccessionCommands(state, commands);
}

// Returns the held group that the order's worker belongs to. Returns null when
// the group was released after the order was sent, or is now held under other
// fencing tokens.
auto SchedulerOf(EntryState& state, const OrderTarget& target)
    -> std::pair<const std::string, Scheduler>* {
  for (auto& it : state.schedulers) {
    const auto& scheduler = it.second;
    const auto own = target.token >= scheduler.token &&
                     target.token < scheduler.token + kTokensPerTerm;
    if (own && scheduler.workers.contains(target.worker)) {
      return &it;
    }
  }
  return nullptr;
}

template <class Order, class Event>
auto OnAnswer(EntryState& state, const Order& order, Event event) -> void {
  const auto now = BootClock::now();
  HandleSuspension(state, now);
  auto* held_group = SchedulerOf(state, order.target);
  if (held_group == nullptr) {
    return;
  }
  const auto group = held_group->first;
  SchedulerCommands commands;
  event(held_group->second, now, commands);
  RunSchedulerCommands(state, group, commands);
  ArmDueTimer(state);
}

auto LogStartRefused(EntryState& state,
                     const StartCommand& order,
                     OrderAnswer answer) -> void {
  if (answer == OrderAnswer::kAccepted) {
    return;
  }
  state.metrics.CountEvent("start_not_accepted");
  if (MayLog(state.log_budget, BootClock::now())) {
    Log(LogLevel::kInfo, "start_not_accepted",
        {{"job", platform::ToString(order.task.job)},
         {"task", order.task.index},
         {"attempt", order.attempt},
         {"worker", order.target.worker},
         {"answer", static_cast<int>(answer)}});
  }
}

}  // namespace

auto RunSchedulerCommands(EntryState& state,
                          const std::string& group,
                          const SchedulerCommands& commands) -> void {
  for (const auto& it : commands) {
    std::visit([&](const auto& command) { Execute(state, group, command); },
               it);
  }
}

auto ForEachHeldGroup(
    EntryState& state,
    const std::function<void(Scheduler&, SchedulerCommands&)>& event) -> void {
  std::vector<std::string> groups;
  for (const auto& [group, scheduler] : state.schedulers) {
    groups.push_back(group);
  }
  for (const auto& group : groups) {
    const auto held_group = state.schedulers.find(group);
    if (held_group == state.schedulers.end()) {
      continue;
    }
    SchedulerCommands commands;
    event(held_group->second, commands);
    RunSchedulerCommands(state, group, commands);
  }
}

auto BeginGroup(EntryState& state, const std::string& group, uint64_t token)
    -> void {
  Log(LogLevel::kInfo, "group_held", {{"group", group}, {"token", token}});
  state.metrics.CountEvent("group_held");
  std::vector<WorkerEntry> workers;
  for (const auto& [id, entry] : state.directory) {
    if (GroupOf(entry) == group) {
      workers.push_back(entry);
    }
  }
  SchedulerCommands commands;
  const auto now = BootClock::now();
  const auto stable =
      !workers.empty() && now - state.group_changed_at[group] >= kStableAfter;
  ApplyEvacuationToTerm(state, group, commands);
  BeginTerm(state.schedulers[group], token * kTokensPerTerm, workers, stable,
            now, commands);
  const auto ended = state.evacuation_ended_at.find(group);
  if (ended != state.evacuation_ended_at.end() &&
      now - ended->second < kReturnWarmUp) {
    StartWarmUp(state.schedulers[group], now);
  }
  RunSchedulerCommands(state, group, commands);
  RefreshGroupView(state, group);
}

auto EndGroup(EntryState& state, const std::string& group) -> void {
  Log(LogLevel::kInfo, "group_given_up", {{"group", group}});
  state.schedulers.erase(group);
  state.yielding_since.erase(group);
  RefreshGroupView(state, group);
}

auto OnWorkerReport(EntryState& state, WorkerEntry entry) -> void {
  const auto now = BootClock::now();
  state.departed_at.erase(entry.id);
  if (!state.directory.contains(entry.id)) {
    state.group_changed_at[GroupOf(entry)] = now;
  }
  auto& known = state.directory[entry.id];
  SetColdUntil(entry, &known, now);
  if (known == entry) {
    return;
  }
  known = entry;
  const auto it = state.schedulers.find(GroupOf(entry));
  if (it == state.schedulers.end()) {
    return;
  }
  SchedulerCommands commands;
  OnWorkerEntry(it->second, entry, now, commands);
  RunSchedulerCommands(state, it->first, commands);
}

auto OnWorkerReportRemoved(EntryState& state, const std::string& id) -> void {
  const auto it = state.directory.find(id);
  if (it != state.directory.end()) {
    state.departed_at.try_emplace(id, BootClock::now());
    state.group_changed_at[GroupOf(it->second)] = BootClock::now();
  }
}

auto OnWorkersRead(EntryState& state, Instant known_until) -> void {
  const auto now = BootClock::now();
  HandleSuspension(state, now);
  ForEachHeldGroup(state, [&](Scheduler& scheduler, SchedulerCommands& out) {
    OnWorkersKnown(scheduler, known_until, now, out);
  });
  ArmDueTimer(state);
}

auto RemoveDepartedWorkers(EntryState& state, Instant now) -> void {
  std::vector<std::string> departed;
  for (const auto& [id, since] : state.departed_at) {
    if (now - since >= kDepartureGrace) {
      departed.push_back(id);
    }
  }
  for (const auto& id : departed) {
    state.departed_at.erase(id);
    const auto it = state.directory.find(id);
    if (it == state.directory.end()) {
      continue;
    }
    Log(LogLevel::kInfo, "worker_gone", {{"worker", id}});
    const auto held_group = state.schedulers.find(GroupOf(it->second));
    if (held_group != state.schedulers.end()) {
      OnWorkerRemoved(held_group->second, id);
    }
    state.workers->CloseIdleConnections(it->second.address);
    state.directory.erase(it);
  }
}

auto ConnectWorkers(EntryState& state) -> void {
  platform::WorkerClientCallbacks callbacks;
  callbacks.on_start = [&state](const StartCommand& order, OrderAnswer answer) {
    LogStartRefused(state, order, answer);
    OnAnswer(state, order,
             [&](Scheduler& scheduler, Instant now, SchedulerCommands& out) {
               OnStartAnswer(scheduler, order, answer, now, out);
             });
  };
  callbacks.on_stop = [&state](const StopCommand& order, OrderAnswer answer) {
    OnAnswer(state, order,
             [&](Scheduler& scheduler, Instant now, SchedulerCommands& out) {
               OnStopAnswer(scheduler, order, answer, now, out);
             });
  };
  callbacks.on_renew = [&state](const RenewCommand& order, OrderAnswer answer,
                                const RunReport* report, Instant sent) {
    OnAnswer(state, order,
             [&](Scheduler& scheduler, Instant now, SchedulerCommands& out) {
               OnRenewAnswer(scheduler, order, answer, report, sent, now, out);
             });
  };
  state.workers = std::make_unique<platform::WorkerClient>(
      state.context, std::move(callbacks));
}

auto StatusOf(const EntryState& state, const std::string& group)
    -> GroupStatus {
  GroupStatus out;
  out.group = group;
  const auto held_group = state.schedulers.find(group);
  const auto term = state.succession.groups.find(group);
  if (held_group == state.schedulers.end() ||
      term == state.succession.groups.end() || !term->second.holder) {
    return out;
  }
  const auto& scheduler = held_group->second;
  out.token = term->second.holder->token;
  out.leaving = scheduler.leaving;
  out.ready = std::any_of(
      scheduler.workers.begin(), scheduler.workers.end(),
      [](const auto& it) { return it.second.fenced && it.second.reachable; });
  out.load = LoadOf(scheduler);
  return out;
}

}  // namespace boragecroft
