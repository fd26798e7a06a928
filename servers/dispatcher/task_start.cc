#include <algorithm>
#include <utility>

#include "servers/dispatcher/job_table.h"
#include "servers/dispatcher/record_flow.h"
#include "servers/dispatcher/task_flow.h"
#include "servers/dispatcher/task_settlement.h"
#include "servers/fleet/pick.h"

namespace boragecroft {
namespace {

// Tasks for which no worker is found are skipped, so that other tasks can be
// tried. This limit bounds the search.
constexpr size_t kMaxSkippedTasks = 8;

constexpr milliseconds kMinOverdueDelay{1000};
constexpr int kOverdueFactor = 3;

enum class StartOutcome : uint8_t { kStarted, kEnded, kNoWorker };

auto BudgetKeyOf(const Job& job) -> BudgetKey {
  return BudgetKey{.urgency_class = job.submission->urgency_class,
                   .partner = job.submission->partner};
}

auto WorkKindOf(const Job& job) -> WorkKind {
  return WorkKind{.service = job.submission->service,
                  .kind = job.submission->kind};
}

auto Pick(EventContext& context, const Job& job, const TaskInProgress& progress)
    -> std::optional<size_t> {
  auto& dispatcher = context.dispatcher;
  const auto kind = WorkKindOf(job);
  const ProbeTask probe{.kind = kind, .repeatable = job.submission->repeatable};
  auto exclusions =
      FindExclusions(dispatcher.outlier_detector, probe, context.now);
  auto& excluded = exclusions.excluded;
  excluded.insert(excluded.end(), progress.refused_by.begin(),
                  progress.refused_by.end());
  for (const auto& it : progress.running) {
    excluded.push_back(it.ticket.worker);
  }
  PickRequest request;
  request.service = kind.service;
  request.needs = job.submission->needs;
  request.excluded = excluded;
  request.probe_due = exclusions.probe_due;
  const auto policy = InForce(dispatcher)->policy;
  const auto index = PickWorker(dispatcher.fleet, request, policy,
                                dispatcher.random, context.now);
  if (index && !exclusions.probe_due.empty()) {
    StartProbe(dispatcher.outlier_detector, dispatcher.fleet.workers[*index].id,
               probe, context.now);
  }
  return index;
}

auto OverdueDelay(const EventContext& context,
                  const Job& job,
                  milliseconds timeout) -> microseconds {
  const auto estimate =
      EstimateRunTime(context.dispatcher.estimates, WorkKindOf(job),
                      job.submission->run_time_hint);
  return std::clamp<microseconds>(estimate.high * kOverdueFactor,
                                  kMinOverdueDelay, timeout);
}

auto SendAttempt(EventContext& context,
                 const TaskId& task,
                 Job& job,
                 TaskInProgress& progress,
                 size_t worker) -> void {
  auto& dispatcher = context.dispatcher;
  const auto* service =
      FindService(*InForce(dispatcher), job.submission->service);
  const auto defaults = ServiceDeclaration();
  const auto& timing = service == nullptr ? defaults : *service;
  RunningAttempt running;
  running.number = progress.next_number++;
  running.endpoint = dispatcher.fleet.workers[worker].listed.address;
  running.incarnation = dispatcher.fleet.workers[worker].incarnation;
  running.ticket =
      OnStart(dispatcher.fleet, worker, job.submission->needs, context.now);
  running.started = context.now.boot;
  running.lease_renewed = context.now.boot;
  running.next_query =
      context.now.boot + OverdueDelay(context, job, timing.task_timeout);
  StartAttempt start;
  start.id = AttemptId{.task = task, .attempt = running.number};
  start.endpoint = running.endpoint;
  start.incarnation = running.incarnation;
  start.service = job.submission->service;
  start.kind = job.submission->kind;
  start.needs = job.submission->needs;
  start.lease = timing.lease;
  start.timeout = timing.task_timeout;
  start.payload = job.submission->payloads[task.index];
  progress.running.push_back(std::move(running));
  ++dispatcher.counters.attempts_started;
  context.out.endpoints.emplace_back(std::move(start));
}

auto RecordTaskStarted(EventContext& context,
                       const TaskId& task,
                       Job& job,
                       TaskInProgress& progress) -> void {
  progress.counted_in_quota = true;
  CountTaskStart(context.dispatcher.quota, job.submission->team);
  ApplyQuotaPause(context, job.submission->team);
  job.tasks[task.index] = TaskState::kStarted;
  RecordProgress(context, job, task.index);
}

auto Start(EventContext& context, const QueuedTask& queued) -> StartOutcome {
  auto& dispatcher = context.dispatcher;
  const TaskId task{.job = queued.job, .index = queued.index};
  auto& job = dispatcher.jobs.at(queued.job);
  const auto [it, fresh] = dispatcher.in_progress.try_emplace(task);
  auto& progress = it->second;
  progress.queued = queued;
  progress.holds_queue_slot = true;
  progress.attempts.repeatable = job.submission->repeatable;
  const auto key = BudgetKeyOf(job);
  const auto permit =
      MayStart(dispatcher.budget, key, progress.attempts, context.now);
  if (!permit.IsGranted()) {
    SettleTask(context, task, "no further attempt is allowed");
    return StartOutcome::kEnded;
  }
  const auto worker = Pick(context, job, progress);
  if (!worker) {
    progress.holds_queue_slot = false;
    if (fresh) {
      dispatcher.in_progress.erase(it);
    }
    return StartOutcome::kNoWorker;
  }
  RecordStart(dispatcher.budget, key, progress.attempts, permit);
  dispatcher.counters.attempts_extra += permit.charged ? 1 : 0;
  SendAttempt(context, task, job, progress, *worker);
  RecordTaskStarted(context, task, job, progress);
  return StartOutcome::kStarted;
}

auto StartTasksOf(EventContext& context, ServiceState& service) -> void {
  std::vector<QueuedTask> skipped;
  while (skipped.size() < kMaxSkippedTasks) {
    const auto queued = PopTask(service.queue, context.now.boot);
    if (!queued) {
      break;
    }
    if (Start(context, *queued) == StartOutcome::kNoWorker) {
      skipped.push_back(*queued);
    }
  }
  for (const auto& it : skipped) {
    Requeue(service.queue, it);
  }
}

auto TryHedge(EventContext& context,
              const TaskId& task,
              TaskInProgress& progress) -> void {
  auto& dispatcher = context.dispatcher;
  const auto found = dispatcher.jobs.find(task.job);
  if (found == dispatcher.jobs.end() || found->second.stopping ||
      progress.running.size() != 1) {
    return;
  }
  auto& job = found->second;
  const auto key = BudgetKeyOf(job);
  const auto estimate = EstimateRunTime(dispatcher.estimates, WorkKindOf(job),
                                        job.submission->run_time_hint);
  const auto running_for = context.now.boot - progress.running.front().started;
  const auto permit = MayHedge(dispatcher.budget, key, progress.attempts,
                               estimate, running_for);
  if (!permit.IsGranted()) {
    return;
  }
  const auto worker = Pick(context, job, progress);
  if (!worker) {
    return;
  }
  RecordStraggler(dispatcher.outlier_detector,
                  progress.running.front().ticket.worker, context.now);
  RecordStart(dispatcher.budget, key, progress.attempts, permit);
  ++dispatcher.counters.attempts_extra;
  SendAttempt(context, task, job, progress, *worker);
}

auto RenewLease(const EventContext& context,
                const TaskId& task,
                RunningAttempt& attempt,
                std::map<Address, RenewLeases>& renewals) -> void {
  const auto& job = context.dispatcher.jobs.at(task.job);
  const auto* service =
      FindService(*InForce(context.dispatcher), job.submission->service);
  const auto lease =
      service == nullptr ? ServiceDeclaration().lease : service->lease;
  if (context.now.boot - attempt.lease_renewed < lease / 3) {
    return;
  }
  attempt.lease_renewed = context.now.boot;
  auto& renewal = renewals[attempt.endpoint];
  renewal.endpoint = attempt.endpoint;
  renewal.lease = lease;
  renewal.ids.push_back(AttemptId{.task = task, .attempt = attempt.number});
}

auto ReturnDelayed(EventContext& context) -> void {
  auto& delayed = context.dispatcher.delayed;
  while (!delayed.empty() && delayed.begin()->first <= context.now.boot) {
    const auto task = delayed.begin()->second;
    delayed.erase(delayed.begin());
    ReturnToQueue(context, task);
  }
}

}  // namespace

auto QueueJob(EventContext& context, const Job& job) -> void {
  auto& dispatcher = context.dispatcher;
  const auto& submission = *job.submission;
  const auto* partner = FindPartner(*InForce(dispatcher), submission.partner);
  QueueEntry entry;
  entry.job = submission.id;
  entry.class_index = job.class_index;
  entry.partner = submission.partner;
  entry.weight = partner == nullptr ? 1 : partner->weight;
  entry.task_count = static_cast<uint32_t>(job.tasks.size());
  entry.deadline = job.deadline;
  entry.run_time = EstimateRunTime(dispatcher.estimates, WorkKindOf(job),
                                   submission.run_time_hint)
                       .mean;
  entry.dispatch_limit =
      job.record_mode == RecordMode::kWatermark ? 0 : kNoDispatchLimit;
  Enqueue(dispatcher.services[submission.service].queue, entry);
}

auto UnqueueJob(EventContext& context, const Job& job) -> void {
  Cancel(context.dispatcher.services[job.submission->service].queue,
         job.submission->id);
}

auto RaiseDispatchLimit(EventContext& context, const JobId& job, uint32_t limit)
    -> void {
  const auto found = context.dispatcher.jobs.find(job);
  if (found != context.dispatcher.jobs.end()) {
    SetDispatchLimit(
        context.dispatcher.services[found->second.submission->service].queue,
        job, limit);
  }
}

auto StartTasks(EventContext& context) -> void {
  auto& dispatcher = context.dispatcher;
  if (InForce(dispatcher) == nullptr || dispatcher.fenced) {
    return;
  }
  for (auto& it : dispatcher.services) {
    StartTasksOf(context, it.second);
  }
}

auto AdvanceAttempts(EventContext& context) -> void {
  auto& dispatcher = context.dispatcher;
  ReturnDelayed(context);
  if (InForce(dispatcher) == nullptr) {
    return;
  }
  std::map<Address, RenewLeases> renewals;
  for (auto& [task, progress] : dispatcher.in_progress) {
    for (auto& it : progress.running) {
      RenewLease(context, task, it, renewals);
      if (it.next_query <= context.now.boot && !it.query_pending) {
        SendQuery(context, task, it, it.stop_requested);
      }
    }
    if (progress.attempts.repeatable) {
      TryHedge(context, task, progress);
    }
  }
  for (auto& it : renewals) {
    context.out.endpoints.emplace_back(std::move(it.second));
  }
}

}  // namespace boragecroft
