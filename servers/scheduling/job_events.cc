// The scheduler's events about jobs and takers, and what is due by time.
#include <algorithm>
#include <utility>

#include "servers/scheduling/dispatching.h"
#include "servers/scheduling/scheduler.h"

namespace boragecroft {
namespace {

// How long the jobs of a lost taker go on, so that it can connect anew and hand
// them over again.
constexpr milliseconds kTakerGrace{200};
// Weight of an offer in the usual size of a task, in percent.
constexpr int64_t kUsualWeight = 5;

auto NoteUsualNeeds(Scheduler& state, const JobOffer& offer) -> void {
  auto& usual = state.usual_needs;
  usual.cpu_millis +=
      (offer.needs.cpu_millis - usual.cpu_millis) * kUsualWeight / 100;
  usual.memory_mb = offer.needs.memory_mb;
  usual.accelerators = offer.needs.accelerators;
  state.usual_service = offer.service;
}

// Takes over a job that another connection handed over before, or the same one
// again: it goes on as it is.
auto Reattach(ScheduledJob& job, TakerId taker, uint32_t submission) -> void {
  job.taker = taker;
  job.offer.submission = submission;
  job.orphaned = Instant();
}

auto MakeJob(const Scheduler& state, TakerId taker, JobOffer offer, Instant now)
    -> ScheduledJob {
  ScheduledJob job;
  const auto run_time =
      ExpectedRunTime(state.run_times, offer.kind, offer.run_estimate);
  job.times = PlanTimes(offer, run_time, now);
  job.offered = now;
  job.taker = taker;
  job.spec = std::make_shared<const std::string>(std::move(offer.spec));
  job.tasks.resize(offer.count);
  // Attempts of a job that was handed over before begin above those that an
  // earlier holder may have used.
  constexpr uint32_t kAttemptsOfHolder = 100;
  for (auto& it : job.tasks) {
    it.attempt = offer.submission * kAttemptsOfHolder;
  }
  job.offer = std::move(offer);
  return job;
}

auto MayHaveRun(const ScheduledJob& job) -> bool {
  return job.uncertain > 0 || job.offer.may_run_elsewhere;
}

auto PassOn(const ScheduledJob& job, Instant now) -> ResultCommand {
  const auto since_arrival = [&](Instant at) {
    return std::chrono::duration_cast<milliseconds>(at - job.times.arrived);
  };
  return ResultCommand{.taker = job.taker,
                       .result = {.name = job.offer.name,
                                  .outcome = JobOutcome::kRefused,
                                  .submission = job.offer.submission},
                       .passed_on = true,
                       .tasks = job.offer.count,
                       .age = since_arrival(now),
                       .objective = since_arrival(job.times.objective)};
}

auto GiveUp(Scheduler& state,
            ScheduledJob& job,
            Instant now,
            SchedulerCommands& out) -> void {
  const auto outcome =
      MayHaveRun(job) ? JobOutcome::kStopped : JobOutcome::kRefused;
  detail::EndJob(state, job, outcome, now, out);
}

// When the job is given up unless something happens before.
auto GiveUpAt(const ScheduledJob& job) -> Instant {
  auto at = job.uncertain == 0 ? job.times.refuse_at : job.times.stop_at;
  if (job.orphaned != Instant()) {
    at = std::min(at, job.orphaned + kTakerGrace);
  }
  return at;
}

}  // namespace

auto OnOffer(Scheduler& state,
             TakerId taker,
             JobOffer offer,
             Instant now,
             SchedulerCommands& out) -> void {
  const auto it = state.jobs.find(offer.name);
  if (it != state.jobs.end() && !it->second.ended) {
    Reattach(it->second, taker, offer.submission);
    return;
  }
  ++state.counters.jobs_offered;
  const auto ending = it != state.jobs.end();
  if (ending || state.leaving || offer.count == 0) {
    const auto outcome = ending || offer.may_run_elsewhere
                             ? JobOutcome::kStopped
                             : JobOutcome::kRefused;
    out.push_back(ResultCommand{.taker = taker,
                                .result = {.name = offer.name,
                                           .outcome = outcome,
                                           .submission = offer.submission}});
    return;
  }
  NoteUsualNeeds(state, offer);
  const auto name = offer.name;
  auto job = MakeJob(state, taker, std::move(offer), now);
  // What may still run for it elsewhere can't be said not to have run.
  const auto asks_only = job.offer.at_once && !job.offer.may_run_elsewhere;
  if (asks_only && !detail::CanStartWhole(state, job, now)) {
    ++state.counters.jobs_passed_on;
    out.push_back(PassOn(job, now));
    return;
  }
  state.jobs.emplace(name, std::move(job));
  detail::StartWaiting(state, now, out);
}

auto OnCancel(Scheduler& state,
              TakerId taker,
              JobName job,
              Instant now,
              SchedulerCommands& out) -> void {
  const auto it = state.jobs.find(job);
  if (it == state.jobs.end() || it->second.taker != taker || it->second.ended) {
    return;
  }
  GiveUp(state, it->second, now, out);
}

auto OnTakerLost(Scheduler& state, TakerId taker, Instant now) -> void {
  for (auto& [name, job] : state.jobs) {
    if (job.taker == taker && job.orphaned == Instant()) {
      job.orphaned = now;
    }
  }
}

auto OnTime(Scheduler& state, Instant now, SchedulerCommands& out) -> void {
  std::vector<JobName> due;
  for (const auto& [name, job] : state.jobs) {
    if (!job.ended && GiveUpAt(job) <= now) {
      due.push_back(name);
    }
  }
  for (const auto name : due) {
    GiveUp(state, state.jobs.at(name), now, out);
  }
  for (auto& [id, worker] : state.workers) {
    if (!worker.reachable && !worker.runs.empty() && LapsedBy(worker) <= now) {
      for (const auto& run : TakeAllRuns(worker)) {
        ++state.counters.runs_lapsed;
        detail::SettleRun(state, worker, run, RunEnd::kLapsed, now, out);
      }
      worker.fenced = false;
    }
    detail::HoldIfNeeded(state, worker, now, out);
  }
  detail::StartWaiting(state, now, out);
}

auto NextDue(const Scheduler& state) -> std::optional<Instant> {
  std::optional<Instant> next;
  const auto consider = [&](Instant at) {
    next = next ? std::min(*next, at) : at;
  };
  for (const auto& [name, job] : state.jobs) {
    if (!job.ended) {
      consider(GiveUpAt(job));
    }
  }
  for (const auto& [id, worker] : state.workers) {
    if (worker.reachable || !worker.listed) {
      continue;
    }
    if (!worker.hold_busy) {
      consider(worker.next_hold);
    }
    if (!worker.runs.empty()) {
      consider(LapsedBy(worker));
    }
  }
  return next;
}

auto LoadOf(const Scheduler& state) -> GroupLoad {
  GroupLoad load;
  const auto places = CountFreePlaces(state.workers, state.run_times,
                                      state.usual_service, state.usual_needs);
  load.free_places = places.all;
  load.fast_places = places.fast;
  for (const auto& [name, job] : state.jobs) {
    if (!job.ended) {
      ++load.jobs;
      load.waiting +=
          static_cast<uint32_t>(job.tasks.size()) - job.done - job.in_progress;
    }
  }
  return load;
}

}  // namespace boragecroft
