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
constexpr milliseconds kQueryRetryDelay{500};
// Number of consecutive unanswered queries on new connections after which an
// attempt at an endpoint is given up.
constexpr uint32_t kMaxUnansweredQueries = 5;

// Reports the outcome to the outlier detector, unless the attempt failed
// because this instance stopped it.
auto ReportOutcome(EventContext& context,
                   const Job& job,
                   const RunningAttempt& attempt,
                   ExchangeEnd end) -> void {
  auto& dispatcher = context.dispatcher;
  const auto outcome = ToOutcome(end);
  if (CertainlyNotStarted(end)) {
    CancelProbe(dispatcher.outlier_detector, attempt.ticket.worker,
                WorkKind{.service = job.submission->service,
                         .kind = job.submission->kind});
  }
  if (!outcome || (attempt.stop_requested && end == ExchangeEnd::kFailed)) {
    return;
  }
  const WorkKind kind{.service = job.submission->service,
                      .kind = job.submission->kind};
  if (end == ExchangeEnd::kDone) {
    RecordRunTime(dispatcher.estimates, kind, attempt.ticket.worker,
                  context.now.boot - attempt.started);
  }
  Attempt finished;
  finished.worker = attempt.ticket.worker;
  finished.job = job.submission->id;
  finished.kind = kind;
  finished.outcome = *outcome;
  finished.started = attempt.started;
  const auto update =
      RecordOutcome(dispatcher.outlier_detector, finished, context.now);
  if (update.kind == EjectionChange::kEjected) {
    ++dispatcher.counters.workers_ejected;
    Log(LogLevel::kWarning, "worker_put_aside",
        {{"endpoint", ToString(attempt.endpoint)},
         {"kind", update.subject.kind}});
  } else if (update.kind == EjectionChange::kReadmitted) {
    ++dispatcher.counters.workers_readmitted;
    Log(LogLevel::kInfo, "worker_readmitted",
        {{"endpoint", ToString(attempt.endpoint)},
         {"kind", update.subject.kind}});
  }
}

// Removes an ended attempt from its task, and reports the end to the fleet, the
// outlier detector and the retry rules.
auto CloseAttempt(EventContext& context,
                  const TaskId& task,
                  TaskInProgress& progress,
                  uint32_t number,
                  ExchangeEnd end) -> void {
  auto& dispatcher = context.dispatcher;
  const auto it = std::find_if(
      progress.running.begin(), progress.running.end(),
      [&](const RunningAttempt& attempt) { return attempt.number == number; });
  const auto attempt = std::move(*it);
  progress.running.erase(it);
  const auto& job = dispatcher.jobs.at(task.job);
  CountEnd(dispatcher.counters, end);
  OnAnswer(dispatcher.fleet, attempt.ticket, ToAnswer(end), context.now);
  ReportOutcome(context, job, attempt, end);
  RecordEnd(progress.attempts, ToAttemptEnd(end), context.now,
            dispatcher.random);
  if (end == ExchangeEnd::kCannotRun) {
    progress.refused_by.push_back(attempt.ticket.worker);
  }
  progress.last_run_time = context.now.boot - attempt.started;
}

// Releases the queue slot of a task. The caller then ends the task or returns
// it to the queue.
auto ReleaseSlot(EventContext& context,
                 const Job& job,
                 TaskInProgress& progress) -> void {
  if (!progress.holds_queue_slot) {
    return;
  }
  progress.holds_queue_slot = false;
  Finish(context.dispatcher.services[job.submission->service].queue,
         progress.queued, progress.last_run_time);
}

auto RecordQuotaEnd(EventContext& context,
                    const Job& job,
                    TaskInProgress& progress) -> void {
  if (!progress.counted_in_quota) {
    return;
  }
  progress.counted_in_quota = false;
  CountTaskEnd(context.dispatcher.quota, job.submission->team);
  ApplyQuotaPause(context, job.submission->team);
}

auto EraseTask(EventContext& context, const TaskId& task) -> void {
  // Ending a task may stop its job, which settles all tasks of the job,
  // including this one.
  const auto it = context.dispatcher.in_progress.find(task);
  if (it == context.dispatcher.in_progress.end()) {
    return;
  }
  const auto& job = context.dispatcher.jobs.at(task.job);
  ReleaseSlot(context, job, it->second);
  RecordQuotaEnd(context, job, it->second);
  context.dispatcher.in_progress.erase(it);
}

auto StopRunning(EventContext& context,
                 const TaskId& task,
                 TaskInProgress& progress) -> void {
  for (auto& it : progress.running) {
    if (!it.stop_requested) {
      it.stop_requested = true;
      SendQuery(context, task, it, true);
    }
  }
}

// Handles the final end of one attempt; `text` is its result or the reason for
// its failure.
auto OnAttemptEnded(EventContext& context,
                    const TaskId& task,
                    uint32_t number,
                    ExchangeEnd end,
                    const std::string& text) -> void {
  auto& dispatcher = context.dispatcher;
  auto& progress = dispatcher.in_progress.at(task);
  CloseAttempt(context, task, progress, number, end);
  if (end == ExchangeEnd::kDone) {
    // The first result counts, so other attempts of a repeatable task are
    // stopped.
    StopRunning(context, task, progress);
    EndTask(context, task, TaskState::kDone, text);
  }
  if (progress.running.empty()) {
    SettleTask(context, task, text);
  }
}

// Returns the end of an attempt that follows from the answer to a query. Only
// the process that the start was sent to knows whether the task ran. The answer
// of another process, or of one without an incarnation name, that it does not
// know the task proves nothing.
auto InterpretQueryEnd(const RunningAttempt& attempt,
                       const AttemptOutcome& outcome) -> ExchangeEnd {
  const auto& name = outcome.incarnation;
  if (outcome.end == ExchangeEnd::kNotStarted &&
      (name.empty() || name != attempt.incarnation)) {
    return ExchangeEnd::kUnknownToNewProcess;
  }
  if (outcome.end == ExchangeEnd::kNotReceived && !name.empty() &&
      name != attempt.incarnation) {
    return ExchangeEnd::kUnknownToNewProcess;
  }
  return outcome.end;
}

auto OnQueryAnswer(EventContext& context,
                   const TaskId& task,
                   RunningAttempt& attempt,
                   const AttemptOutcome& outcome) -> void {
  attempt.query_pending = false;
  const auto end = InterpretQueryEnd(attempt, outcome);
  switch (end) {
    case ExchangeEnd::kRunning:
      attempt.queries = 0;
      attempt.next_query = context.now.boot + kQueryInterval;
      return;
    case ExchangeEnd::kNotReceived:
      // The start may still be on its way to the endpoint. A stop ensures that
      // the task is never started.
      attempt.stop_requested = true;
      SendQuery(context, task, attempt, true);
      return;
    case ExchangeEnd::kNoResponse:
    case ExchangeEnd::kProtocol:
      ++attempt.queries;
      attempt.next_query = context.now.boot + kQueryRetryDelay;
      if (attempt.queries < kMaxUnansweredQueries) {
        return;
      }
      break;
    default:
      break;
  }
  if (!attempt.connection_lost) {
    context.out.endpoints.emplace_back(
        AbandonAttempt{.id = outcome.id, .endpoint = attempt.endpoint});
  }
  OnAttemptEnded(
      context, task, attempt.number, end,
      end == ExchangeEnd::kUnknownToNewProcess
          ? "the endpoint restarted and does not know what ran before"
          : outcome.text);
}

auto OnExchangeEnd(EventContext& context,
                   const TaskId& task,
                   RunningAttempt& attempt,
                   const AttemptOutcome& outcome) -> void {
  if (outcome.end != ExchangeEnd::kNoResponse &&
      outcome.end != ExchangeEnd::kProtocol) {
    OnAttemptEnded(context, task, attempt.number, outcome.end, outcome.text);
    return;
  }
  attempt.connection_lost = true;
  Log(LogLevel::kWarning, "answer_lost",
      {{"task", ToString(task)},
       {"endpoint", ToString(attempt.endpoint)},
       {"reason", outcome.text}});
  if (!attempt.query_pending) {
    SendQuery(context, task, attempt, attempt.stop_requested);
  }
}

}  // namespace

auto OnAttemptOutcome(EventContext& context, const AttemptOutcome& outcome)
    -> void {
  const auto& task = outcome.id.task;
  const auto found = context.dispatcher.in_progress.find(task);
  if (found == context.dispatcher.in_progress.end()) {
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
  RecordIncarnation(context.dispatcher.fleet, it->ticket, outcome.incarnation);
  if (outcome.free_slots) {
    RecordFreeSlots(context.dispatcher.fleet, it->ticket, *outcome.free_slots,
                    context.now);
  }
  if (outcome.from_query) {
    OnQueryAnswer(context, task, *it, outcome);
  } else {
    OnExchangeEnd(context, task, *it, outcome);
  }
}

auto SettleTask(EventContext& context,
                const TaskId& task,
                std::string_view reason) -> void {
  auto& dispatcher = context.dispatcher;
  auto& job = dispatcher.jobs.at(task.job);
  auto& progress = dispatcher.in_progress.at(task);
  if (IsFinal(job.tasks[task.index])) {
    EraseTask(context, task);
    return;
  }
  const BudgetKey key{.urgency_class = job.submission->urgency_class,
                      .partner = job.submission->partner};
  const auto permit =
      MayStart(dispatcher.budget, key, progress.attempts, context.now);
  const auto again =
      permit.IsGranted() || permit.denial == StartDenial::kBackoff;
  if (!again || job.stopping) {
    const auto state = SummarizeAttempts(progress.attempts);
    EndTask(context, task,
            state == TaskState::kQueued ? TaskState::kNotRun : state,
            std::string(reason));
    EraseTask(context, task);
    return;
  }
  job.tasks[task.index] = TaskState::kQueued;
  if (permit.IsGranted()) {
    ReturnToQueue(context, task);
    return;
  }
  RecordQuotaEnd(context, job, progress);
  dispatcher.delayed.emplace(context.now.boot + permit.wait, task);
}

auto ReturnToQueue(EventContext& context, const TaskId& task) -> void {
  auto& dispatcher = context.dispatcher;
  const auto found = dispatcher.in_progress.find(task);
  if (found == dispatcher.in_progress.end() ||
      !found->second.holds_queue_slot) {
    return;
  }
  auto& progress = found->second;
  auto& job = dispatcher.jobs.at(task.job);
  RecordQuotaEnd(context, job, progress);
  progress.holds_queue_slot = false;
  if (!Requeue(dispatcher.services[job.submission->service].queue,
               progress.queued)) {
    const auto state = SummarizeAttempts(progress.attempts);
    EndTask(context, task,
            state == TaskState::kQueued ? TaskState::kNotRun : state,
            "stopped");
    EraseTask(context, task);
  }
}

auto SendQuery(EventContext& context,
               const TaskId& task,
               RunningAttempt& attempt,
               bool stop) -> void {
  attempt.query_pending = true;
  attempt.next_query = context.now.boot + kQueryInterval;
  ++context.dispatcher.counters.queries_sent;
  QueryAttempt query;
  query.id = AttemptId{.task = task, .attempt = attempt.number};
  query.endpoint = attempt.endpoint;
  query.incarnation = attempt.incarnation;
  query.stop = stop;
  query.timeout = context.dispatcher.settings.query_timeout;
  context.out.endpoints.emplace_back(query);
}

auto ApplyQuotaPause(EventContext& context, const std::string& team) -> void {
  auto& dispatcher = context.dispatcher;
  const auto* configuration = InForce(dispatcher);
  if (configuration == nullptr || FindTeam(*configuration, team) == nullptr) {
    return;
  }
  const auto paused = !MayStart(dispatcher.quota, team);
  for (const auto& partner : configuration->partners) {
    if (partner.team != team) {
      continue;
    }
    for (auto& it : dispatcher.services) {
      SetPartnerPaused(it.second.queue, partner.name, paused);
    }
  }
}

auto StopRunningTasks(EventContext& context, const Job& job) -> void {
  auto& in_progress = context.dispatcher.in_progress;
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
      SettleTask(context, it, job.reason);
    } else {
      StopRunning(context, it, found->second);
    }
  }
}

}  // namespace boragecroft
