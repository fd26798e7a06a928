#include <algorithm>
#include <utility>

#include "servers/dispatcher/job_table.h"
#include "servers/dispatcher/record_flow.h"
#include "servers/dispatcher/task_flow.h"
#include "servers/dispatcher/task_settlement.h"
#include "servers/fleet/pick.h"

namespace boragecroft {
namespace {

// Tasks that find no worker are set aside so that others can be tried; this
// bounds the search.
constexpr size_t kMaxSetAside = 8;

constexpr milliseconds kOverdueFloor{1000};
constexpr int kOverdueFactor = 3;

enum class StartOutcome : uint8_t { kStarted, kEnded, kNoWorker };

auto KeyOf(const Job& job) -> BudgetKey {
  return BudgetKey{.urgency_class = job.submission->urgency_class,
                   .partner = job.submission->partner};
}

auto KindOf(const Job& job) -> WorkKind {
  return WorkKind{.service = job.submission->service,
                  .kind = job.submission->kind};
}

auto Pick(Step& step, const Job& job, const TaskInProgress& progress)
    -> std::optional<size_t> {
  auto& dispatcher = step.dispatcher;
  const auto kind = KindOf(job);
  const ProbeTask probe{.kind = kind, .repeatable = job.submission->repeatable};
  auto exclusions =
      FindExclusions(dispatcher.outlier_detector, probe, step.now);
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
                                dispatcher.random, step.now);
  if (index && !exclusions.probe_due.empty()) {
    StartProbe(dispatcher.outlier_detector, dispatcher.fleet.workers[*index].id,
               probe, step.now);
  }
  return index;
}

auto OverdueAfter(const Step& step, const Job& job, milliseconds timeout)
    -> microseconds {
  const auto estimate = EstimateRunTime(step.dispatcher.estimates, KindOf(job),
                                        job.submission->run_time_hint);
  return std::clamp<microseconds>(estimate.high * kOverdueFactor, kOverdueFloor,
                                  timeout);
}

auto SendAttempt(Step& step,
                 const TaskId& task,
                 Job& job,
                 TaskInProgress& progress,
                 size_t worker) -> void {
  auto& dispatcher = step.dispatcher;
  const auto* service =
      FindService(*InForce(dispatcher), job.submission->service);
  const auto defaults = ServiceDeclaration();
  const auto& timing = service == nullptr ? defaults : *service;
  RunningAttempt running;
  running.number = progress.next_number++;
  running.endpoint = dispatcher.fleet.workers[worker].listed.address;
  running.incarnation = dispatcher.fleet.workers[worker].incarnation;
  running.ticket =
      OnStart(dispatcher.fleet, worker, job.submission->needs, step.now);
  running.started = step.now.boot;
  running.lease_renewed = step.now.boot;
  running.next_query =
      step.now.boot + OverdueAfter(step, job, timing.task_timeout);
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
  step.out.endpoints.emplace_back(std::move(start));
}

auto NoteStarted(Step& step,
                 const TaskId& task,
                 Job& job,
                 TaskInProgress& progress) -> void {
  progress.counted_in_quota = true;
  CountTaskStart(step.dispatcher.quota, job.submission->team);
  ApplyQuotaHold(step, job.submission->team);
  job.tasks[task.index] = TaskState::kStarted;
  RecordProgress(step, job, task.index);
}

auto Start(Step& step, const QueuedTask& queued) -> StartOutcome {
  auto& dispatcher = step.dispatcher;
  const TaskId task{.job = queued.job, .index = queued.index};
  auto& job = dispatcher.jobs.at(queued.job);
  const auto [it, fresh] = dispatcher.in_progress.try_emplace(task);
  auto& progress = it->second;
  progress.queued = queued;
  progress.popped = true;
  progress.attempts.repeatable = job.submission->repeatable;
  const auto key = KeyOf(job);
  const auto permit =
      MayStart(dispatcher.budget, key, progress.attempts, step.now);
  if (!permit.IsGranted()) {
    SettleTask(step, task, "no further attempt is allowed");
    return StartOutcome::kEnded;
  }
  const auto worker = Pick(step, job, progress);
  if (!worker) {
    progress.popped = false;
    if (fresh) {
      dispatcher.in_progress.erase(it);
    }
    return StartOutcome::kNoWorker;
  }
  RecordStart(dispatcher.budget, key, progress.attempts, permit);
  dispatcher.counters.attempts_extra += permit.charged ? 1 : 0;
  SendAttempt(step, task, job, progress, *worker);
  NoteStarted(step, task, job, progress);
  return StartOutcome::kStarted;
}

auto StartTasksOf(Step& step, ServiceState& service) -> void {
  std::vector<QueuedTask> set_aside;
  while (set_aside.size() < kMaxSetAside) {
    const auto queued = PopTask(service.queue, step.now.boot);
    if (!queued) {
      break;
    }
    if (Start(step, *queued) == StartOutcome::kNoWorker) {
      set_aside.push_back(*queued);
    }
  }
  for (const auto& it : set_aside) {
    Requeue(service.queue, it);
  }
}

auto TryHedge(Step& step, const TaskId& task, TaskInProgress& progress)
    -> void {
  auto& dispatcher = step.dispatcher;
  const auto found = dispatcher.jobs.find(task.job);
  if (found == dispatcher.jobs.end() || found->second.stopping ||
      progress.running.size() != 1) {
    return;
  }
  auto& job = found->second;
  const auto key = KeyOf(job);
  const auto estimate = EstimateRunTime(dispatcher.estimates, KindOf(job),
                                        job.submission->run_time_hint);
  const auto running_for = step.now.boot - progress.running.front().started;
  const auto permit = MayHedge(dispatcher.budget, key, progress.attempts,
                               estimate, running_for);
  if (!permit.IsGranted()) {
    return;
  }
  const auto worker = Pick(step, job, progress);
  if (!worker) {
    return;
  }
  RecordStraggler(dispatcher.outlier_detector,
                  progress.running.front().ticket.worker, step.now);
  RecordStart(dispatcher.budget, key, progress.attempts, permit);
  ++dispatcher.counters.attempts_extra;
  SendAttempt(step, task, job, progress, *worker);
}

auto RenewLease(const Step& step,
                const TaskId& task,
                RunningAttempt& attempt,
                std::map<Address, RenewLeases>& renewals) -> void {
  const auto& job = step.dispatcher.jobs.at(task.job);
  const auto* service =
      FindService(*InForce(step.dispatcher), job.submission->service);
  const auto lease =
      service == nullptr ? ServiceDeclaration().lease : service->lease;
  if (step.now.boot - attempt.lease_renewed < lease / 3) {
    return;
  }
  attempt.lease_renewed = step.now.boot;
  auto& renewal = renewals[attempt.endpoint];
  renewal.endpoint = attempt.endpoint;
  renewal.lease = lease;
  renewal.ids.push_back(AttemptId{.task = task, .attempt = attempt.number});
}

auto ReturnDelayed(Step& step) -> void {
  auto& delayed = step.dispatcher.delayed;
  while (!delayed.empty() && delayed.begin()->first <= step.now.boot) {
    const auto task = delayed.begin()->second;
    delayed.erase(delayed.begin());
    ReturnToQueue(step, task);
  }
}

}  // namespace

auto QueueJob(Step& step, const Job& job) -> void {
  auto& dispatcher = step.dispatcher;
  const auto& submission = *job.submission;
  const auto* partner = FindPartner(*InForce(dispatcher), submission.partner);
  QueueEntry entry;
  entry.job = submission.id;
  entry.class_index = job.class_index;
  entry.partner = submission.partner;
  entry.weight = partner == nullptr ? 1 : partner->weight;
  entry.task_count = static_cast<uint32_t>(job.tasks.size());
  entry.deadline = job.deadline;
  entry.run_time = EstimateRunTime(dispatcher.estimates, KindOf(job),
                                   submission.run_time_hint)
                       .mean;
  entry.dispatch_limit =
      job.record_mode == RecordMode::kWatermark ? 0 : kNoDispatchLimit;
  Enqueue(dispatcher.services[submission.service].queue, entry);
}

auto UnqueueJob(Step& step, const Job& job) -> void {
  Cancel(step.dispatcher.services[job.submission->service].queue,
         job.submission->id);
}

auto RaiseDispatchLimit(Step& step, const JobId& job, uint32_t limit) -> void {
  const auto found = step.dispatcher.jobs.find(job);
  if (found != step.dispatcher.jobs.end()) {
    SetDispatchLimit(
        step.dispatcher.services[found->second.submission->service].queue, job,
        limit);
  }
}

auto StartTasks(Step& step) -> void {
  auto& dispatcher = step.dispatcher;
  if (InForce(dispatcher) == nullptr || dispatcher.deposed) {
    return;
  }
  for (auto& it : dispatcher.services) {
    StartTasksOf(step, it.second);
  }
}

auto TendAttempts(Step& step) -> void {
  auto& dispatcher = step.dispatcher;
  ReturnDelayed(step);
  if (InForce(dispatcher) == nullptr) {
    return;
  }
  std::map<Address, RenewLeases> renewals;
  for (auto& [task, progress] : dispatcher.in_progress) {
    for (auto& it : progress.running) {
      RenewLease(step, task, it, renewals);
      if (it.next_query <= step.now.boot && !it.query_open) {
        QueryRunning(step, task, it, it.stop_asked);
      }
    }
    if (progress.attempts.repeatable) {
      TryHedge(step, task, progress);
    }
  }
  for (auto& it : renewals) {
    step.out.endpoints.emplace_back(std::move(it.second));
  }
}

}  // namespace boragecroft
