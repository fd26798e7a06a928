#include "servers/scheduling/dispatching.h"

#include <algorithm>

#include "servers/scheduling/give_up.h"
#include "servers/scheduling/waiting.h"

namespace boragecroft::detail {
namespace {

// Time for which a worker may delay the answer to a lease renewal until a run
// ends. An answer within it extends leases of 550 ms in time.
constexpr milliseconds kRenewalWait{220};
// Shorter time, used while renewals are lost, and while leases are not extended
// so that they can be as soon as possible. Short tasks run about as long.
constexpr milliseconds kShortRenewalWait{50};
constexpr milliseconds kRenewalLossMemory{5000};

auto StartTask(Scheduler& state,
               ScheduledJob& job,
               uint32_t index,
               WorkerAccount& worker,
               Instant now,
               SchedulerCommands& out) -> void {
  auto& task = job.tasks[index];
  const auto name = TaskName{.job = job.offer.name, .index = index};
  ++task.attempt;
  task.in_progress = true;
  task.progress = {.started_at = now,
                   .speed = SpeedOf(state.run_times, worker.entry)};
  ++job.in_progress;
  ++job.uncertain;
  ++state.counters.starts;
  RecordUsage(state, job.offer.kind, RunTimeOf(state, job), now);
  RecordStarted(state.floors, job.floor, job.task_work, now);
  // Beside a run that must end, the lease that was granted before is used.
  const auto lease =
      HasRunToEnd(worker) ? worker.leased_until : NextLease(worker, now);
  worker.leased_until = std::max(worker.leased_until, lease);
  AddRun(worker, Run{.task = name,
                     .attempt = task.attempt,
                     .resources = job.offer.needs,
                     .state = RunState::kOrdered,
                     .ordered_at = now,
                     .expected = ExpectedOn(state, job, worker)});
  out.push_back(StartCommand{.target = TargetOf(state, worker),
                             .task = name,
                             .attempt = task.attempt,
                             .spec = job.spec,
                             .lease = lease});
  RenewIfNeeded(state, worker, now, out);
}

// Starts the job's waiting tasks. Returns false when no worker has free
// resources for the next one.
auto StartTasks(Scheduler& state,
                ScheduledJob& job,
                Instant now,
                SchedulerCommands& out) -> bool {
  const auto in_progress = job.in_progress;
  auto all = true;
  for (uint32_t i = 0; i < job.tasks.size(); ++i) {
    auto& task = job.tasks[i];
    if (task.done || task.in_progress) {
      continue;
    }
    auto* worker = PlaceTaskOf(state, job, task.failed_on, now);
    if (worker == nullptr) {
      all = false;
      break;
    }
    StartTask(state, job, i, *worker, now, out);
  }
  if (job.in_progress > in_progress) {
    UpdateChanceGoneAt(job);
  }
  return all;
}

auto StopRunsOf(Scheduler& state,
                const ScheduledJob& job,
                SchedulerCommands& out) -> void {
  for (auto& [id, worker] : state.workers) {
    for (auto& run : worker.runs) {
      if (run.task.job != job.offer.name) {
        continue;
      }
      run.job_ended = true;
      if (run.state == RunState::kOrdered || run.state == RunState::kRunning) {
        StopRun(state, worker, run, out);
      }
    }
  }
}

// Returns the time after which the caller of the refused job should retry.
auto RetryAfterOf(Scheduler& state, const ScheduledJob& job, Instant now)
    -> milliseconds {
  const auto slots =
      CountSlots(state.workers, job.offer.service, job.offer.needs);
  return AdviseRetry(state.retry_advice,
                     RunTimeOf(state, job) * job.offer.count, slots, now);
}

auto Count(SchedulerCounters& counters, JobOutcome outcome) -> void {
  switch (outcome) {
    case JobOutcome::kDone:
      ++counters.jobs_done;
      return;
    case JobOutcome::kFailed:
      ++counters.jobs_failed;
      return;
    case JobOutcome::kRefused:
      ++counters.jobs_refused;
      return;
    case JobOutcome::kStopped:
    case JobOutcome::kCancelled:
      ++counters.jobs_stopped;
      return;
  }
}

}  // namespace

auto TargetOf(const Scheduler& state, const WorkerAccount& worker)
    -> OrderTarget {
  return OrderTarget{.worker = worker.entry.id,
                     .address = worker.entry.address,
                     .token = state.token + worker.incarnations_seen,
                     .incarnation = worker.entry.started_at};
}

auto RunTimeOf(const Scheduler& /*state*/, const ScheduledJob& job)
    -> microseconds {
  return job.forecast.median;
}

auto ExpectedOn(const Scheduler& state,
                const ScheduledJob& job,
                const WorkerAccount& worker) -> microseconds {
  const auto work = static_cast<double>(RunTimeOf(state, job).count());
  return microseconds(
      static_cast<int64_t>(work / SpeedOf(state.run_times, worker.entry)));
}

static auto RequestFor(const Scheduler& state,
                       const ScheduledJob& job,
                       const std::string& avoid) -> PlacementRequest {
  return PlacementRequest{.rule = state.policy.placement,
                          .sequence = state.counters.starts,
                          .service = job.offer.service,
                          .needs = job.offer.needs,
                          .run_time = RunTimeOf(state, job),
                          .shortest_run_time = job.forecast.shortest,
                          .arrived = job.times.arrived,
                          .target = job.offer.target,
                          .slack_factor = job.offer.slack_factor,
                          .latest = job.times.stop_at,
                          .avoid = avoid};
}

auto PlaceTaskOf(Scheduler& state,
                 const ScheduledJob& job,
                 const std::string& avoid,
                 Instant now) -> WorkerAccount* {
  return PlaceTask(state.workers, state.run_times,
                   RequestFor(state, job, avoid), now);
}

auto IsHopeless(const ScheduledJob& job, Instant now) -> bool {
  return ChanceOf(job, now) < kMinChanceToStart;
}

auto CanStartAllTasks(Scheduler& state, const ScheduledJob& job, Instant now)
    -> bool {
  if (!WaitingJobs(state, now).empty()) {
    return false;
  }
  std::vector<WorkerAccount*> placed;
  placed.reserve(job.tasks.size());
  while (placed.size() < job.tasks.size()) {
    auto* worker = PlaceTaskOf(state, job, {}, now);
    if (worker == nullptr) {
      break;
    }
    worker->used += job.offer.needs;
    placed.push_back(worker);
  }
  for (auto* it : placed) {
    it->used -= job.offer.needs;
  }
  return placed.size() == job.tasks.size();
}

auto StartWaitingTasks(Scheduler& state, Instant now, SchedulerCommands& out)
    -> void {
  WithholdStarts(state, now, out);
  ForgetColdSpeeds(state, now);
  for (auto* job : WaitingJobs(state, now)) {
    StartTasks(state, *job, now, out);
  }
}

// Returns how long a worker may wait for an end before it answers a renewal.
// When a renewal is lost, so is the report of the ends that it waited for.
// Therefore the wait is short for a while after a renewal of a reachable worker
// has remained unanswered.
static auto RenewalWait(const Scheduler& state, Instant now) -> milliseconds {
  const auto lossy = state.renewal_lost_at != Instant() &&
                     now - state.renewal_lost_at < kRenewalLossMemory;
  return lossy ? kShortRenewalWait : kRenewalWait;
}

auto RenewIfNeeded(Scheduler& state,
                   WorkerAccount& worker,
                   Instant now,
                   SchedulerCommands& out) -> void {
  const auto unacked = worker.ended_seen > worker.ended_acked;
  const auto needed =
      !worker.fenced || !worker.reachable || !worker.runs.empty() || unacked;
  if (worker.renewal_in_flight || !needed || !worker.listed) {
    return;
  }
  if (!worker.reachable && now < worker.next_renewal) {
    return;
  }
  RenewCommand renewal;
  renewal.target = TargetOf(state, worker);
  renewal.ack = worker.ended_seen;
  const auto has_own_runs =
      std::any_of(worker.runs.begin(), worker.runs.end(),
                  [](const Run& it) { return !it.inherited; });
  // Leases are not extended beside a run that must end, nor on a worker that
  // does not answer: these runs end when their leases expire.
  const auto extend = has_own_runs && !HasRunToEnd(worker);
  if (worker.fenced && worker.reachable && !worker.runs.empty()) {
    renewal.wait = extend ? RenewalWait(state, now) : kShortRenewalWait;
  }
  if (worker.fenced && worker.reachable && extend) {
    renewal.lease = NextLease(worker, now);
    worker.leased_until = std::max(worker.leased_until, renewal.lease);
  }
  worker.renewal_in_flight = true;
  ++state.counters.renewals;
  out.push_back(renewal);
}

auto StopRun(Scheduler& state,
             WorkerAccount& worker,
             Run& run,
             SchedulerCommands& out) -> void {
  run.state = RunState::kStopping;
  ++state.counters.stops;
  out.push_back(StopCommand{.target = TargetOf(state, worker),
                            .task = run.task,
                            .attempt = run.attempt});
}

auto HandleRunEnd(Scheduler& state,
                  const WorkerAccount& worker,
                  const Run& run,
                  RunEnd end,
                  Instant now,
                  SchedulerCommands& out) -> void {
  const auto it = state.jobs.find(run.task.job);
  if (it == state.jobs.end() || run.inherited) {
    return;
  }
  auto& job = it->second;
  if (run.task.index >= job.tasks.size()) {
    return;
  }
  auto& task = job.tasks[run.task.index];
  if (task.attempt != run.attempt || !task.in_progress) {
    return;
  }
  task.in_progress = false;
  --job.in_progress;
  if (job.ended) {
    if (IsFinished(job)) {
      state.jobs.erase(it);
    }
    return;
  }
  if (end == RunEnd::kDone) {
    task.done = true;
    ++job.done;
    if (job.done == job.tasks.size()) {
      EndJob(state, job, JobOutcome::kDone, now, out);
    } else {
      UpdateChanceGoneAt(job);
    }
    return;
  }
  task.failed_on = worker.entry.id;
  UpdateChanceGoneAt(job);
  if (end == RunEnd::kFailed && ++task.failures >= job.offer.max_attempts) {
    EndJob(state, job, JobOutcome::kFailed, now, out);
  }
}

auto EndJob(Scheduler& state,
            ScheduledJob& job,
            JobOutcome outcome,
            Instant now,
            SchedulerCommands& out) -> void {
  const auto retry_after = outcome == JobOutcome::kRefused
                               ? RetryAfterOf(state, job, now)
                               : milliseconds{0};
  Count(state.counters, outcome);
  job.ended = true;
  const auto since_arrival = [&](Instant at) {
    return std::chrono::duration_cast<milliseconds>(at - job.times.arrived);
  };
  out.push_back(ResultCommand{.origin = job.origin,
                              .result = {.name = job.offer.name,
                                         .outcome = outcome,
                                         .retry_after = retry_after,
                                         .submission = job.offer.submission},
                              .tasks = static_cast<uint32_t>(job.tasks.size()),
                              .done = job.done,
                              .in_progress = job.in_progress,
                              .age = since_arrival(now),
                              .objective = since_arrival(job.times.objective),
                              .reason = job.reason,
                              .chance = job.chance});
  if (outcome != JobOutcome::kDone) {
    StopRunsOf(state, job, out);
  }
  if (IsFinished(job)) {
    const auto name = job.offer.name;
    state.jobs.erase(name);
  }
}

auto IsFinished(const ScheduledJob& job) -> bool {
  return job.ended && job.in_progress == 0;
}

}  // namespace boragecroft::detail
