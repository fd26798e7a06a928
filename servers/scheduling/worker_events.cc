// The scheduler's events about workers and the answers to its orders.
#include <algorithm>
#include <utility>

#include "servers/scheduling/dispatching.h"
#include "servers/scheduling/run_watch.h"
#include "servers/scheduling/scheduler.h"

namespace boragecroft {
namespace {

// A worker that does not answer is asked again this much later. When it has
// started anew this bounds the time until its new life is fenced.
constexpr milliseconds kHoldRetry{100};
// Holds in turn without an answer after which orders stop going to a worker.
constexpr uint32_t kMaxLostHolds = 2;
// Stops of one run without an answer after which its lease is left to lapse.
constexpr uint32_t kMaxLostStops = 2;

auto FindWorker(Scheduler& state, const std::string& id) -> WorkerAccount* {
  const auto it = state.workers.find(id);
  return it == state.workers.end() ? nullptr : &it->second;
}

// True when the order was given under the worker's present life and token.
auto IsCurrent(const Scheduler& state,
               const WorkerAccount& worker,
               const OrderTarget& target) -> bool {
  return target.token == state.token + worker.life;
}

// The worker whose answer to a start or stop has to be taken; null when the
// answer is of a former life, or ends this holder's tenure.
auto WorkerOfAnswer(Scheduler& state,
                    const OrderTarget& target,
                    OrderAnswer answer,
                    SchedulerCommands& out) -> WorkerAccount* {
  auto* worker = FindWorker(state, target.worker);
  if (worker == nullptr || !IsCurrent(state, *worker, target)) {
    return nullptr;
  }
  if (answer == OrderAnswer::kFenced) {
    out.push_back(DeposedCommand{.worker = target.worker});
    return nullptr;
  }
  return worker;
}

auto MarkUnreachable(WorkerAccount& worker, Instant now) -> void {
  worker.reachable = false;
  worker.next_hold = now + kHoldRetry;
}

// The worker started anew: what ran there is gone, and its counts begin again.
// But orders of this holder that did not know of it yet may have reached the
// new life. So the runs stay in the account until the worker, fenced by a
// higher token, says what runs there.
auto BeginLife(Scheduler& state,
               WorkerAccount& worker,
               milliseconds born,
               Instant now) -> void {
  for (auto& it : worker.runs) {
    it.state = RunState::kRunning;
    it.settled = Instant();
  }
  worker.entry.born = born;
  worker.fenced = false;
  worker.ended_seen = 0;
  worker.ended_acked = 0;
  worker.clock.reset();
  worker.clock_read = now;
  worker.leased_until = milliseconds{0};
  if (worker.life + 1 < kTokensOfTenure) {
    ++worker.life;
  }
  ForgetWorker(state.run_times, worker.entry.id);
}

// Stops what the worker runs for jobs that have ended meanwhile, and for an
// earlier holder. Load answered: workers that were silent. A stop that was
// given up is sent again once the worker answers: its room is not free before.
auto StopLeftOver(Scheduler& state,
                  WorkerAccount& worker,
                  SchedulerCommands& out) -> void {
  for (auto& run : worker.runs) {
    const auto it = state.jobs.find(run.task.job);
    const auto over = run.foreign || it == state.jobs.end() || it->second.ended;
    const auto given_up =
        run.state == RunState::kStopping && run.stops >= kMaxLostStops;
    if (given_up) {
      run.stops = 0;
    }
    if (given_up || (over && run.state == RunState::kRunning)) {
      detail::StopRun(state, worker, run, out);
    }
  }
}

auto ReleaseStart(Scheduler& state, const StartCommand& order) -> void {
  const auto it = state.jobs.find(order.task.job);
  if (it != state.jobs.end() && it->second.uncertain > 0) {
    --it->second.uncertain;
  }
}

// The worker says that nothing was started: the task waits again.
auto UndoStart(Scheduler& state,
               WorkerAccount& worker,
               const StartCommand& order,
               Instant now,
               SchedulerCommands& out) -> void {
  const auto* run = FindRun(worker, order.task, order.attempt);
  if (run == nullptr) {
    return;
  }
  const auto copy = *run;
  RemoveRun(worker, order.task, order.attempt);
  ReleaseStart(state, order);
  detail::SettleRun(state, worker, copy, RunEnd::kLapsed, now, out);
}

auto SkipUsedAttempts(Scheduler& state, TaskName name) -> void {
  constexpr uint32_t kSkip = 1000;
  const auto it = state.jobs.find(name.job);
  if (it != state.jobs.end() && name.index < it->second.tasks.size()) {
    it->second.tasks[name.index].attempt += kSkip;
  }
}

}  // namespace

auto BeginTenure(Scheduler& state,
                 uint64_t token,
                 const std::vector<WorkerEntry>& workers,
                 bool stable,
                 Instant now,
                 SchedulerCommands& out) -> void {
  auto counters = state.counters;
  auto policy = std::move(state.policy);
  auto run_times = std::move(state.run_times);
  state = Scheduler();
  state.policy = std::move(policy);
  state.counters = counters;
  state.run_times = std::move(run_times);
  state.token = token;
  state.since = now;
  for (const auto& it : workers) {
    OnWorkerEntry(state, it, now, out);
  }
  state.workers_stable = stable;
}

auto OnWorkerEntry(Scheduler& state,
                   const WorkerEntry& entry,
                   Instant now,
                   SchedulerCommands& out) -> void {
  auto [it, is_new] = state.workers.try_emplace(entry.id);
  auto& worker = it->second;
  if (is_new) {
    worker.entry = entry;
    worker.clock_read = now;
    state.workers_stable = false;
  } else if (entry.born > worker.entry.born) {
    BeginLife(state, worker, entry.born, now);
  } else if (entry.born < worker.entry.born) {
    return;
  }
  worker.entry = entry;
  worker.listed = true;
  detail::HoldIfNeeded(state, worker, now, out);
  detail::StartWaiting(state, now, out);
}

auto OnWorkerGone(Scheduler& state, const std::string& id) -> void {
  const auto it = state.workers.find(id);
  if (it == state.workers.end()) {
    return;
  }
  state.workers_stable = false;
  it->second.listed = false;
  if (it->second.runs.empty()) {
    ForgetWorker(state.run_times, id);
    state.workers.erase(it);
    return;
  }
  // It can't be held any more: what runs there is left to lapse.
  it->second.reachable = false;
}

auto OnStartAnswer(Scheduler& state,
                   const StartCommand& order,
                   OrderAnswer answer,
                   Instant now,
                   SchedulerCommands& out) -> void {
  auto* worker = WorkerOfAnswer(state, order.target, answer, out);
  if (worker == nullptr) {
    return;
  }
  auto* run = FindRun(*worker, order.task, order.attempt);
  if (answer == OrderAnswer::kAccepted) {
    if (run != nullptr) {
      run->settled = now;
      if (run->state == RunState::kOrdered) {
        run->state = RunState::kRunning;
      }
    }
    return;
  }
  if (answer == OrderAnswer::kNoAnswer) {
    // It may have been carried out, or will be: a stop that is answered makes
    // sure that it does not run and never will.
    if (run != nullptr && run->state == RunState::kOrdered) {
      detail::StopRun(state, *worker, *run, out);
    }
    return;
  }
  if (answer == OrderAnswer::kOld) {
    SkipUsedAttempts(state, order.task);
  }
  if (answer == OrderAnswer::kUnhealthy || answer == OrderAnswer::kNotSent ||
      answer == OrderAnswer::kMoved) {
    MarkUnreachable(*worker, now);
  }
  UndoStart(state, *worker, order, now, out);
  detail::HoldIfNeeded(state, *worker, now, out);
  detail::StartWaiting(state, now, out);
}

auto OnStopAnswer(Scheduler& state,
                  const StopCommand& order,
                  OrderAnswer answer,
                  Instant now,
                  SchedulerCommands& out) -> void {
  auto* worker = WorkerOfAnswer(state, order.target, answer, out);
  if (worker == nullptr) {
    return;
  }
  auto* run = FindRun(*worker, order.task, order.attempt);
  if (run == nullptr) {
    return;
  }
  if (answer == OrderAnswer::kAccepted) {
    run->state = RunState::kStopped;
    run->settled = now;
    detail::HoldIfNeeded(state, *worker, now, out);
    return;
  }
  if (++run->stops < kMaxLostStops) {
    detail::StopRun(state, *worker, *run, out);
    return;
  }
  MarkUnreachable(*worker, now);
}

auto OnHoldAnswer(Scheduler& state,
                  const HoldCommand& order,
                  OrderAnswer answer,
                  const HoldReport* report,
                  Instant sent,
                  Instant now,
                  SchedulerCommands& out) -> void {
  auto* worker = FindWorker(state, order.target.worker);
  if (worker == nullptr) {
    return;
  }
  worker->hold_busy = false;
  if (!IsCurrent(state, *worker, order.target)) {
    detail::HoldIfNeeded(state, *worker, now, out);
    return;
  }
  if (answer == OrderAnswer::kFenced) {
    out.push_back(DeposedCommand{.worker = order.target.worker});
    return;
  }
  if (answer != OrderAnswer::kAccepted || report == nullptr) {
    if (answer == OrderAnswer::kNoAnswer && worker->reachable) {
      state.hold_lost = now;
    }
    ++worker->holds_lost;
    if (worker->holds_lost >= kMaxLostHolds ||
        answer != OrderAnswer::kNoAnswer) {
      MarkUnreachable(*worker, now);
    }
    detail::HoldIfNeeded(state, *worker, now, out);
    return;
  }
  worker->holds_lost = 0;
  if (report->born > worker->entry.born) {
    BeginLife(state, *worker, report->born, now);
    detail::HoldIfNeeded(state, *worker, now, out);
    detail::StartWaiting(state, now, out);
    return;
  }
  if (report->born < worker->entry.born) {
    // An answer of the life before, which the store already knows to be over.
    detail::HoldIfNeeded(state, *worker, now, out);
    return;
  }
  NoteClock(*worker, report->clock, now);
  worker->ended_acked = std::max(worker->ended_acked, order.ack);
  worker->reachable = true;
  worker->fenced = true;
  const auto result = Reconcile(*worker, *report, sent);
  for (const auto& it : result.ended) {
    if (it.end == RunEnd::kDone) {
      detail::LearnRunTime(state, *worker, it.run, now);
    }
    detail::SettleRun(state, *worker, it.run, it.end, now, out);
  }
  StopLeftOver(state, *worker, out);
  detail::MoveHopelessRuns(state, *worker, now, out);
  detail::HoldIfNeeded(state, *worker, now, out);
  detail::StartWaiting(state, now, out);
}

}  // namespace boragecroft
