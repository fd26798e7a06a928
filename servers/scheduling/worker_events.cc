// Handles the scheduler's events about workers and the answers to its orders.
#include <algorithm>
#include <utility>

#include "servers/scheduling/dispatching.h"
#include "servers/scheduling/run_watch.h"
#include "servers/scheduling/scheduler.h"

namespace boragecroft {
namespace {

// Delay before the next lease renewal to a worker that did not answer. After a
// restart of the worker it bounds the time until the new incarnation is fenced.
constexpr milliseconds kRenewalRetryDelay{100};
// Consecutive unanswered renewals after which no more orders are sent to a
// worker.
constexpr uint32_t kMaxUnansweredRenewals = 2;
// Unanswered stops of one run after which its worker counts as unreachable.
constexpr uint32_t kMaxUnansweredStops = 2;

auto FindWorker(Scheduler& state, const std::string& id) -> WorkerAccount* {
  const auto it = state.workers.find(id);
  return it == state.workers.end() ? nullptr : &it->second;
}

// Reports whether the order was sent with the token of the worker's current
// incarnation.
auto IsCurrent(const Scheduler& state,
               const WorkerAccount& worker,
               const OrderTarget& target) -> bool {
  return target.token == state.token + worker.incarnations_seen;
}

// Returns the worker whose answer to a start or stop must be handled. Returns
// null when the answer is of an earlier incarnation, or ends this holder's
// term.
auto WorkerOfAnswer(Scheduler& state,
                    const OrderTarget& target,
                    OrderAnswer answer,
                    SchedulerCommands& out) -> WorkerAccount* {
  auto* worker = FindWorker(state, target.worker);
  if (worker == nullptr || !IsCurrent(state, *worker, target)) {
    return nullptr;
  }
  if (answer == OrderAnswer::kFenced) {
    out.push_back(FencedCommand{.worker = target.worker});
    return nullptr;
  }
  return worker;
}

auto MarkUnreachable(WorkerAccount& worker, Instant now) -> void {
  worker.reachable = false;
  worker.next_renewal = now + kRenewalRetryDelay;
}

// Handles that the worker has restarted or may have: it gets no starts and no
// leases until a renewal, which is sent without a wait, shows which incarnation
// it is.
auto RequireFence(WorkerAccount& worker) -> void {
  worker.fenced = false;
}

// Handles a restart of the worker: its earlier runs have ended and its counts
// begin again. However, an order that got no answer may be carried out by the
// new incarnation. Therefore the runs stay in the account until the worker,
// fenced by a higher token, reports what it runs.
auto BeginIncarnation(Scheduler& state,
                      WorkerAccount& worker,
                      milliseconds started_at,
                      Instant now) -> void {
  for (auto& it : worker.runs) {
    it.state = RunState::kRunning;
    it.settled_at = Instant();
  }
  worker.entry.started_at = started_at;
  detail::UpdateWarmUpAtRestart(worker, now);
  worker.fenced = false;
  worker.ended_seen = 0;
  worker.ended_acked = 0;
  worker.clock.reset();
  worker.clock_read_at = now;
  worker.leased_until = milliseconds{0};
  if (worker.incarnations_seen + 1 < kTokensPerTerm) {
    ++worker.incarnations_seen;
  }
  RemoveWorker(state.run_times, worker.entry.id);
}

// Stops the runs that the worker executes for an earlier holder or for jobs
// that have ended in the meantime.
//
// Handles workers that were unresponsive: a stop that was given up is sent
// again once the worker answers, because its resources stay occupied until
// then.
auto StopLeftoverRuns(Scheduler& state,
                      WorkerAccount& worker,
                      SchedulerCommands& out) -> void {
  for (auto& run : worker.runs) {
    const auto it = state.jobs.find(run.task.job);
    const auto finished =
        run.inherited || it == state.jobs.end() || it->second.ended;
    const auto given_up =
        run.state == RunState::kStopping && run.stops >= kMaxUnansweredStops;
    if (given_up) {
      run.stops = 0;
    }
    if (given_up || (finished && run.state == RunState::kRunning)) {
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

// Returns the task to the waiting ones after the worker has reported that it
// did not start it.
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
  detail::HandleRunEnd(state, worker, copy, RunEnd::kLeaseExpired, now, out);
}

auto SkipUsedAttempts(Scheduler& state, TaskName name) -> void {
  constexpr uint32_t kSkip = 1000;
  const auto it = state.jobs.find(name.job);
  if (it != state.jobs.end() && name.index < it->second.tasks.size()) {
    it->second.tasks[name.index].attempt += kSkip;
  }
}

}  // namespace

auto BeginTerm(Scheduler& state,
               uint64_t token,
               const std::vector<WorkerEntry>& workers,
               bool stable,
               Instant now,
               SchedulerCommands& out) -> void {
  auto counters = state.counters;
  auto policy = std::move(state.policy);
  auto run_times = std::move(state.run_times);
  const auto evacuated_since = state.evacuated_since;
  const auto grace = state.started_job_grace;
  state = Scheduler();
  state.evacuated_since = evacuated_since;
  state.started_job_grace = grace;
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
  const auto before = worker.entry;
  if (is_new) {
    worker.entry = entry;
    worker.clock_read_at = now;
    state.workers_stable = false;
  } else if (entry.started_at > worker.entry.started_at) {
    BeginIncarnation(state, worker, entry.started_at, now);
  } else if (entry.started_at < worker.entry.started_at) {
    return;
  }
  worker.entry = entry;
  detail::UpdateWarmUp(state, worker, is_new ? nullptr : &before, now);
  worker.listed = true;
  detail::RenewIfNeeded(state, worker, now, out);
  detail::StartWaitingTasks(state, now, out);
}

auto OnWorkerRemoved(Scheduler& state, const std::string& id) -> void {
  const auto it = state.workers.find(id);
  if (it == state.workers.end()) {
    return;
  }
  state.workers_stable = false;
  it->second.listed = false;
  if (it->second.runs.empty()) {
    RemoveWorker(state.run_times, id);
    state.workers.erase(it);
    return;
  }
  // No renewal can be sent any more, so the leases of its runs are left to
  // expire.
  it->second.reachable = false;
}

auto OnWorkersKnown(Scheduler& state,
                    Instant known_until,
                    Instant now,
                    SchedulerCommands& out) -> void {
  const auto first_of_term = state.workers_known_until < state.since;
  state.workers_known_until = std::max(state.workers_known_until, known_until);
  if (first_of_term && state.workers_known_until >= state.since) {
    detail::StartWaitingTasks(state, now, out);
  }
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
      run->settled_at = now;
      if (run->state == RunState::kOrdered) {
        run->state = RunState::kRunning;
      }
    }
    return;
  }
  if (answer == OrderAnswer::kNoAnswer) {
    // The start may have been carried out, or may still be. Once a stop has
    // been answered, the run is not in progress and can't begin later.
    if (run != nullptr && run->state == RunState::kOrdered) {
      detail::StopRun(state, *worker, *run, out);
    }
    return;
  }
  if (answer == OrderAnswer::kUnhealthy || answer == OrderAnswer::kNotSent ||
      answer == OrderAnswer::kMoved) {
    MarkUnreachable(*worker, now);
  }
  // A renewal that is in flight shows as well whether the worker answers.
  const auto unanswered =
      answer == OrderAnswer::kUnconfirmed && !worker->renewal_in_flight;
  if (answer == OrderAnswer::kRestarted || unanswered) {
    RequireFence(*worker);
  }
  UndoStart(state, *worker, order, now, out);
  if (answer == OrderAnswer::kStaleAttempt) {
    // Not before the start is undone: that compares the numbers of attempts.
    SkipUsedAttempts(state, order.task);
  }
  detail::RenewIfNeeded(state, *worker, now, out);
  detail::StartWaitingTasks(state, now, out);
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
    run->settled_at = now;
    detail::RenewIfNeeded(state, *worker, now, out);
    detail::StartWaitingTasks(state, now, out);
    return;
  }
  run->stop_unanswered = true;
  if (++run->stops < kMaxUnansweredStops) {
    detail::StopRun(state, *worker, *run, out);
    return;
  }
  MarkUnreachable(*worker, now);
}

auto OnRenewAnswer(Scheduler& state,
                   const RenewCommand& order,
                   OrderAnswer answer,
                   const RunReport* report,
                   Instant sent,
                   Instant now,
                   SchedulerCommands& out) -> void {
  auto* worker = FindWorker(state, order.target.worker);
  if (worker == nullptr) {
    return;
  }
  worker->renewal_in_flight = false;
  if (!IsCurrent(state, *worker, order.target)) {
    detail::RenewIfNeeded(state, *worker, now, out);
    return;
  }
  if (answer == OrderAnswer::kFenced) {
    out.push_back(FencedCommand{.worker = order.target.worker});
    return;
  }
  if (answer != OrderAnswer::kAccepted || report == nullptr) {
    if (answer == OrderAnswer::kNoAnswer && worker->reachable) {
      state.renewal_lost_at = now;
    }
    if (answer == OrderAnswer::kRestarted) {
      RequireFence(*worker);
    }
    ++worker->unanswered_renewals;
    const auto retry_now =
        answer == OrderAnswer::kNoAnswer || answer == OrderAnswer::kRestarted;
    if (worker->unanswered_renewals >= kMaxUnansweredRenewals || !retry_now) {
      MarkUnreachable(*worker, now);
    }
    detail::RenewIfNeeded(state, *worker, now, out);
    return;
  }
  worker->unanswered_renewals = 0;
  if (report->started_at > worker->entry.started_at) {
    BeginIncarnation(state, *worker, report->started_at, now);
    detail::RenewIfNeeded(state, *worker, now, out);
    detail::StartWaitingTasks(state, now, out);
    return;
  }
  if (report->started_at < worker->entry.started_at) {
    // The answer is of an earlier incarnation, which has ended according to the
    // store.
    detail::RenewIfNeeded(state, *worker, now, out);
    return;
  }
  RecordClock(*worker, report->clock, now);
  worker->ended_acked = std::max(worker->ended_acked, order.ack);
  worker->reachable = true;
  worker->fenced = true;
  const auto result = Reconcile(*worker, *report, sent);
  for (const auto& it : result.ended) {
    if (it.end == RunEnd::kDone) {
      detail::RecordFinishedRun(state, *worker, it.run, now);
    }
    detail::HandleRunEnd(state, *worker, it.run, it.end, now, out);
  }
  StopLeftoverRuns(state, *worker, out);
  detail::MoveLateRuns(state, *worker, now, out);
  detail::RenewIfNeeded(state, *worker, now, out);
  detail::StartWaitingTasks(state, now, out);
}

}  // namespace boragecroft
