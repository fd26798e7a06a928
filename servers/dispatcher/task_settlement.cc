#include "servers/dispatcher/task_settlement.h"

#include <algorithm>
#include <utility>

#include "core/log/log.h"
#include "servers/dispatcher/dispatcher.h"
#include "servers/dispatcher/exchange_end.h"
#include "servers/dispatcher/job_table.h"
#include "servers/dispatcher/task_flow.h"

namespace boragecroft {
namespace {

constexpr milliseconds kQueryInterval{1000};
constexpr milliseconds kQueryRetry{500};
// Unanswered queries on new connections after which an endpoint is given up for
// an attempt.
constexpr uint32_t kMaxQueries = 5;

// Tells the judge, unless the attempt failed because this instance stopped it.
auto Judge(Step& step,
           const Job& job,
           const RunningAttempt& attempt,
           ExchangeEnd end) -> void {
  auto& dispatcher = step.dispatcher;
  const auto outcome = ToOutcome(end);
  if (CertainlyNotStarted(end)) {
    CancelProbe(dispatcher.outlier_detector, attempt.ticket.worker,
                WorkKind{.service = job.submission->service,
                         .kind = job.submission->kind});
  }
  if (!outcome || (attempt.stop_asked && end == ExchangeEnd::kFailed)) {
    return;
  }
  const WorkKind kind{.service = job.submission->service,
                      .kind = job.submission->kind};
  if (end == ExchangeEnd::kDone) {
    RecordRunTime(dispatcher.estimates, kind, attempt.ticket.worker,
                  step.now.boot - attempt.started);
  }
  Attempt judged;
  judged.worker = attempt.ticket.worker;
  judged.job = job.submission->id;
  judged.kind = kind;
  judged.outcome = *outcome;
  judged.started = attempt.started;
  const auto verdict =
      RecordOutcome(dispatcher.outlier_detector, judged, step.now);
  if (verdict.kind == EjectionChange::kEjected) {
    ++dispatcher.counters.workers_put_aside;
    Log(LogLevel::kWarning, "worker_put_aside",
        {{"endpoint", ToString(attempt.endpoint)},
         {"kind", verdict.subject.kind}});
  } else if (verdict.kind == EjectionChange::kReadmitted) {
    ++dispatcher.counters.workers_readmitted;
    Log(LogLevel::kInfo, "worker_readmitted",
        {{"endpoint", ToString(attempt.endpoint)},
         {"kind", verdict.subject.kind}});
  }
}

// Takes the attempt off the books of fleet, judge and retry gate.
auto CloseAttempt(Step& step,
                  const TaskId& task,
                  TaskInProgress& progress,
                  uint32_t number,
                  ExchangeEnd end) -> void {
  auto& dispatcher = step.dispatcher;
  const auto it = std::find_if(
      progress.running.begin(), progress.running.end(),
      [&](const RunningAttempt& attempt) { return attempt.number == number; });
  const auto attempt = std::move(*it);
  progress.running.erase(it);
  const auto& job = dispatcher.jobs.at(task.job);
  Count(dispatcher.counters, end);
  OnAnswer(dispatcher.fleet, attempt.ticket, ToAnswer(end), step.now);
  Judge(step, job, attempt, end);
  RecordEnd(progress.attempts, ToAttemptEnd(end), step.now, dispatcher.random);
  if (end == ExchangeEnd::kCannotRun) {
    progress.refused_by.push_back(attempt.ticket.worker);
  }
  progress.last_run_time = step.now.boot - attempt.started;
}

// Gives the slot back; the task's end or its return to the queue follows.
auto ReleaseSlot(Step& step, const Job& job, TaskInProgress& progress) -> void {
  if (!progress.popped) {
    return;
  }
  progress.popped = false;
  Finish(step.dispatcher.services[job.submission->service].queue,
         progress.queued, progress.last_run_time);
}

auto NoteQuotaEnd(Step& step, const Job& job, TaskInProgress& progress)
    -> void {
  if (!progress.counted_in_quota) {
    return;
  }
  progress.counted_in_quota = false;
  CountTaskEnd(step.dispatcher.quota, job.submission->team);
  ApplyQuotaHold(step, job.submission->team);
}

auto Forget(Step& step, const TaskId& task) -> void {
  // Ending a task may stop its job, which settles all its tasks, this one
  // included.
  const auto it = step.dispatcher.in_progress.find(task);
  if (it == step.dispatcher.in_progress.end()) {
    return;
  }
  const auto& job = step.dispatcher.jobs.at(task.job);
  ReleaseSlot(step, job, it->second);
  NoteQuotaEnd(step, job, it->second);
  step.dispatcher.in_progress.erase(it);
}

auto StopRunning(Step& step, const TaskId& task, TaskInProgress& progress)
    -> void {
  for (auto& it : progress.running) {
    if (!it.stop_asked) {
      it.stop_asked = true;
      QueryRunning(step, task, it, true);
    }
  }
}

// One attempt has ended for good; `text` is the result or the reason.
auto OnEnded(Step& step,
             const TaskId& task,
             uint32_t number,
             ExchangeEnd end,
             const std::string& text) -> void {
  auto& dispatcher = step.dispatcher;
  auto& progress = dispatcher.in_progress.at(task);
  CloseAttempt(step, task, progress, number, end);
  if (end == ExchangeEnd::kDone) {
    // The first answer wins: other attempts of a repeatable task are stopped.
    StopRunning(step, task, progress);
    EndTask(step, task, TaskState::kDone, text);
  }
  if (progress.running.empty()) {
    SettleTask(step, task, text);
  }
}

// Only the process that the start was sent to knows whether the task ran: that
// another one, or one without a name, knows nothing of it shows nothing.
auto EndByQuery(const RunningAttempt& attempt, const AttemptOutcome& outcome)
    -> ExchangeEnd {
  const auto& name = outcome.incarnation;
  if (outcome.end == ExchangeEnd::kNotStarted &&
      (name.empty() || name != attempt.incarnation)) {
    return ExchangeEnd::kForgotten;
  }
  if (outcome.end == ExchangeEnd::kNotHeardOf && !name.empty() &&
      name != attempt.incarnation) {
    return ExchangeEnd::kForgotten;
  }
  return outcome.end;
}

auto OnQueryAnswer(Step& step,
                   const TaskId& task,
                   RunningAttempt& attempt,
                   const AttemptOutcome& outcome) -> void {
  attempt.query_open = false;
  const auto end = EndByQuery(attempt, outcome);
  switch (end) {
    case ExchangeEnd::kRunning:
      attempt.queries = 0;
      attempt.next_query = step.now.boot + kQueryInterval;
      return;
    case ExchangeEnd::kNotHeardOf:
      // Its start may still be on its way: a stop makes sure that it never
      // happens.
      attempt.stop_asked = true;
      QueryRunning(step, task, attempt, true);
      return;
    case ExchangeEnd::kSilent:
    case ExchangeEnd::kProtocol:
      ++attempt.queries;
      attempt.next_query = step.now.boot + kQueryRetry;
      if (attempt.queries < kMaxQueries) {
        return;
      }
      break;
    default:
      break;
  }
  if (!attempt.connection_lost) {
    step.out.endpoints.emplace_back(
        AbandonAttempt{.id = outcome.id, .endpoint = attempt.endpoint});
  }
  OnEnded(step, task, attempt.number, end,
          end == ExchangeEnd::kForgotten
              ? "the endpoint restarted and does not know what ran before"
              : outcome.text);
}

auto OnExchangeEnd(Step& step,
                   const TaskId& task,
                   RunningAttempt& attempt,
                   const AttemptOutcome& outcome) -> void {
  if (outcome.end != ExchangeEnd::kSilent &&
      outcome.end != ExchangeEnd::kProtocol) {
    OnEnded(step, task, attempt.number, outcome.end, outcome.text);
    return;
  }
  attempt.connection_lost = true;
  Log(LogLevel::kWarning, "answer_lost",
      {{"task", ToString(task)},
       {"endpoint", ToString(attempt.endpoint)},
       {"reason", outcome.text}});
  if (!attempt.query_open) {
    QueryRunning(step, task, attempt, attempt.stop_asked);
  }
}

}  // namespace

auto OnAttemptOutcome(Step& step, const AttemptOutcome& outcome) -> void {
  const auto& task = outcome.id.task;
  const auto found = step.dispatcher.in_progress.find(task);
  if (found == step.dispatcher.in_progress.end()) {
    return;
  }
  auto& running = found->second.running;
  const auto it = std::find_if(running.begin(), running.end(),
                               [&](const RunningAttempt& attempt) {
                                 return attempt.number == outcome.id.attempt;
                               });
  if (it == running.end()) {
    return;
  }
  RecordIncarnation(step.dispatcher.fleet, it->ticket, outcome.incarnation);
  if (outcome.free_slots) {
    RecordFreeSlots(step.dispatcher.fleet, it->ticket, *outcome.free_slots,
                    step.now);
  }
  if (outcome.from_query) {
    OnQueryAnswer(step, task, *it, outcome);
  } else {
    OnExchangeEnd(step, task, *it, outcome);
  }
}

auto SettleTask(Step& step, const TaskId& task, std::string_view reason)
    -> void {
  auto& dispatcher = step.dispatcher;
  auto& job = dispatcher.jobs.at(task.job);
  auto& progress = dispatcher.in_progress.at(task);
  if (IsFinal(job.tasks[task.index])) {
    Forget(step, task);
    return;
  }
  const BudgetKey key{.urgency_class = job.submission->urgency_class,
                      .partner = job.submission->partner};
  const auto permit =
      MayStart(dispatcher.budget, key, progress.attempts, step.now);
  const auto again =
      permit.IsGranted() || permit.denial == StartDenial::kBackoff;
  if (!again || job.stopping) {
    const auto state = SummarizeAttempts(progress.attempts);
    EndTask(step, task,
            state == TaskState::kQueued ? TaskState::kNotRun : state,
            std::string(reason));
    Forget(step, task);
    return;
  }
  job.tasks[task.index] = TaskState::kQueued;
  if (permit.IsGranted()) {
    ReturnToQueue(step, task);
    return;
  }
  NoteQuotaEnd(step, job, progress);
  dispatcher.delayed.emplace(step.now.boot + permit.wait, task);
}

auto ReturnToQueue(Step& step, const TaskId& task) -> void {
  auto& dispatcher = step.dispatcher;
  const auto found = dispatcher.in_progress.find(task);
  if (found == dispatcher.in_progress.end() || !found->second.popped) {
    return;
  }
  auto& progress = found->second;
  auto& job = dispatcher.jobs.at(task.job);
  NoteQuotaEnd(step, job, progress);
  progress.popped = false;
  if (!Requeue(dispatcher.services[job.submission->service].queue,
               progress.queued)) {
    const auto state = SummarizeAttempts(progress.attempts);
    EndTask(step, task,
            state == TaskState::kQueued ? TaskState::kNotRun : state,
            "stopped");
    Forget(step, task);
  }
}

auto QueryRunning(Step& step,
                  const TaskId& task,
                  RunningAttempt& attempt,
                  bool stop) -> void {
  attempt.query_open = true;
  attempt.next_query = step.now.boot + kQueryInterval;
  ++step.dispatcher.counters.queries_sent;
  QueryAttempt query;
  query.id = AttemptId{.task = task, .attempt = attempt.number};
  query.endpoint = attempt.endpoint;
  query.incarnation = attempt.incarnation;
  query.stop = stop;
  query.timeout = step.dispatcher.settings.query_timeout;
  step.out.endpoints.emplace_back(query);
}

auto ApplyQuotaHold(Step& step, const std::string& team) -> void {
  auto& dispatcher = step.dispatcher;
  const auto* configuration = InForce(dispatcher);
  if (configuration == nullptr || FindTeam(*configuration, team) == nullptr) {
    return;
  }
  const auto held = !MayStart(dispatcher.quota, team);
  for (const auto& partner : configuration->partners) {
    if (partner.team != team) {
      continue;
    }
    for (auto& it : dispatcher.services) {
      SetPartnerPaused(it.second.queue, partner.name, held);
    }
  }
}

auto StopRunningTasks(Step& step, const Job& job) -> void {
  auto& in_progress = step.dispatcher.in_progress;
  const auto& id = job.submission->id;
  std::vector<TaskId> tasks;
  for (auto it = in_progress.lower_bound(TaskId{.job = id, .index = 0});
       it != in_progress.end(); ++it) {
    if (it->first.job != id) {
      break;
    }
    tasks.push_back(it->first);
  }
  for (const auto& it : tasks) {
    const auto found = in_progress.find(it);
    if (found == in_progress.end()) {
      continue;
    }
    if (found->second.running.empty()) {
      SettleTask(step, it, job.reason);
    } else {
      StopRunning(step, it, found->second);
    }
  }
}

}  // namespace boragecroft
