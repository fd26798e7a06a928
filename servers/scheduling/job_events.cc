// Handles the scheduler's events about jobs and origin instances, and the
// actions that are due by time.
#include <algorithm>
#include <utility>

#include "servers/scheduling/dispatching.h"
#include "servers/scheduling/give_up.h"
#include "servers/scheduling/scheduler.h"
#include "servers/scheduling/waiting.h"

namespace boragecroft {
namespace {

// Time after which a holder that has got no offer in its term reports idle
// workers as room. Under load the first offer comes within milliseconds.
constexpr milliseconds kFirstOfferWait{1000};
// Weight of a new offer in the moving average of the needs of a task, in
// percent.
constexpr int64_t kTypicalNeedsWeightPercent = 5;

auto UpdateTypicalNeeds(Scheduler& state, const JobOffer& offer) -> void {
  auto& typical = state.typical_needs;
  typical.cpu_millis += (offer.needs.cpu_millis - typical.cpu_millis) *
                        kTypicalNeedsWeightPercent / 100;
  typical.memory_mb = offer.needs.memory_mb;
  typical.accelerators = offer.needs.accelerators;
  state.typical_service = offer.service;
  state.awaits_first_offer = false;
}

// Assigns a job that was handed over before, on this or another connection, to
// `origin`. The job continues unchanged.
auto Reattach(ScheduledJob& job, OriginId origin, uint32_t submission) -> void {
  job.origin = origin;
  job.offer.submission = submission;
  job.orphaned_at = Instant();
}

auto MakeJob(const Scheduler& state,
             OriginId origin,
             JobOffer offer,
             Instant now) -> ScheduledJob {
  ScheduledJob job;
  const auto fastest =
      WarmSpeedOfFastest(state.workers, state.run_times, offer.service);
  job.forecast =
      MakeForecast(state.run_times, offer.kind, offer.run_estimate, fastest);
  const auto run_time = job.forecast.median;
  job.times = PlanTimes(offer, run_time, detail::RulesOf(state).waiting, now);
  job.offered_at = now;
  job.task_work = std::chrono::duration<double, std::milli>(run_time).count() *
                  static_cast<double>(offer.needs.cpu_millis) / 1000;
  job.origin = origin;
  job.spec = std::make_shared<const std::string>(std::move(offer.spec));
  job.tasks.resize(offer.count);
  // The attempts of a job that was handed over before are numbered above those
  // that an earlier holder may have used.
  constexpr uint32_t kAttemptsPerSubmission = 100;
  for (auto& it : job.tasks) {
    it.attempt = offer.submission * kAttemptsPerSubmission;
  }
  job.offer = std::move(offer);
  detail::UpdateChanceGoneAt(job);
  return job;
}

auto GiveUp(Scheduler& state,
            ScheduledJob& job,
            GiveUpReason reason,
            Instant now,
            SchedulerCommands& out) -> void {
  const auto may_have_run = detail::MayHaveRun(job);
  const auto outcome =
      may_have_run ? JobOutcome::kStopped : JobOutcome::kRefused;
  job.reason = reason;
  job.chance = detail::ChanceOf(job, now);
  if (reason == GiveUpReason::kNoChance) {
    ++(may_have_run ? state.counters.jobs_given_up
                    : state.counters.jobs_hopeless);
  }
  detail::EndJob(state, job, outcome, now, out);
}

// Refuses the waiting jobs that would start too late after a job has arrived.
auto TurnAwayLateJobs(Scheduler& state,
                      JobName arrived,
                      Instant now,
                      SchedulerCommands& out) -> void {
  for (const auto& it : detail::JobsToTurnAway(state, arrived, now)) {
    GiveUp(state, state.jobs.at(it.job), GiveUpReason::kNoRoom, now, out);
    if (it.displaced_by) {
      ++state.counters.jobs_displaced;
      std::get<ResultCommand>(out.back()).displaced_by = it.displaced_by;
    }
  }
}

}  // namespace

auto OnOffer(Scheduler& state,
             OriginId origin,
             JobOffer offer,
             Instant now,
             SchedulerCommands& out) -> void {
  const auto it = state.jobs.find(offer.name);
  if (it != state.jobs.end() && !it->second.ended) {
    Reattach(it->second, origin, offer.submission);
    return;
  }
  ++state.counters.jobs_offered;
  const auto ending = it != state.jobs.end();
  if (state.evacuated_since && !ending && offer.count > 0) {
    const auto job = MakeJob(state, origin, std::move(offer), now);
    detail::GiveBack(state, job, now, out);
    return;
  }
  if (ending || state.leaving || offer.count == 0) {
    const auto outcome = ending || offer.may_run_elsewhere
                             ? JobOutcome::kStopped
                             : JobOutcome::kRefused;
    out.push_back(ResultCommand{.origin = origin,
                                .result = {.name = offer.name,
                                           .outcome = outcome,
                                           .submission = offer.submission}});
    return;
  }
  UpdateTypicalNeeds(state, offer);
  state.has_priorities = state.has_priorities || offer.priority > 0;
  const auto name = offer.name;
  auto job = MakeJob(state, origin, std::move(offer), now);
  // A job that may still run elsewhere must not be reported as not run.
  const auto immediate_only =
      job.offer.immediate_only && !job.offer.may_run_elsewhere;
  if (immediate_only && !detail::CanStartAllTasks(state, job, now)) {
    ++state.counters.jobs_redirected;
    out.push_back(detail::MakeRedirect(job, now));
    return;
  }
  auto& accepted = state.jobs.emplace(name, std::move(job)).first->second;
  if (!accepted.offer.may_run_elsewhere && detail::IsHopeless(accepted, now)) {
    GiveUp(state, accepted, GiveUpReason::kNoChance, now, out);
    return;
  }
  accepted.floor =
      RecordOffered(state.floors, accepted.offer.kind,
                    accepted.task_work * accepted.offer.count, now);
  detail::StartWaitingTasks(state, now, out);
  TurnAwayLateJobs(state, name, now, out);
}

auto OnCancel(Scheduler& state,
              OriginId origin,
              JobName job,
              Instant now,
              SchedulerCommands& out) -> void {
  const auto it = state.jobs.find(job);
  if (it == state.jobs.end() || it->second.origin != origin ||
      it->second.ended) {
    return;
  }
  GiveUp(state, it->second, GiveUpReason::kWithdrawn, now, out);
}

auto OnCancelledByCaller(Scheduler& state,
                         JobName job,
                         Instant now,
                         SchedulerCommands& out) -> bool {
  const auto it = state.jobs.find(job);
  if (it == state.jobs.end() || it->second.ended) {
    return false;
  }
  it->second.reason = GiveUpReason::kWithdrawn;
  detail::EndJob(state, it->second, JobOutcome::kCancelled, now, out);
  return true;
}

auto OnOriginLost(Scheduler& state, OriginId origin, Instant lost_at) -> void {
  for (auto& [name, job] : state.jobs) {
    if (job.origin == origin && job.orphaned_at == Instant()) {
      job.orphaned_at = lost_at;
    }
  }
}

auto OnTime(Scheduler& state, Instant now, SchedulerCommands& out) -> void {
  state.awaits_first_offer =
      state.typical_service.empty() && now - state.since >= kFirstOfferWait;
  std::vector<JobName> due;
  for (const auto& [name, job] : state.jobs) {
    if (!job.ended && detail::GiveUpAt(job) <= now) {
      due.push_back(name);
    }
  }
  for (const auto name : due) {
    auto& job = state.jobs.at(name);
    GiveUp(state, job, detail::GiveUpReasonOf(job, now), now, out);
  }
  for (auto& [id, worker] : state.workers) {
    if (!worker.reachable && !worker.runs.empty() && ExpiredBy(worker) <= now) {
      for (const auto& run : RemoveAllRuns(worker)) {
        ++state.counters.runs_expired;
        detail::HandleRunEnd(state, worker, run, RunEnd::kLeaseExpired, now,
                             out);
      }
      worker.fenced = false;
    }
    detail::RenewIfNeeded(state, worker, now, out);
  }
  detail::StartWaitingTasks(state, now, out);
}

auto NextDue(const Scheduler& state) -> std::optional<Instant> {
  std::optional<Instant> next;
  const auto consider = [&](Instant at) {
    next = next ? std::min(*next, at) : at;
  };
  for (const auto& [name, job] : state.jobs) {
    if (!job.ended) {
      consider(detail::GiveUpAt(job));
      if (const auto at = detail::GraceEndOf(state, job)) {
        consider(*at);
      }
    }
  }
  for (const auto& [id, worker] : state.workers) {
    if (worker.warm_up && !worker.warm_up->expects_warm) {
      consider(worker.warm_up->cold_until);
    }
    if (worker.reachable || !worker.listed) {
      continue;
    }
    if (!worker.renewal_in_flight) {
      consider(worker.next_renewal);
    }
    if (!worker.runs.empty()) {
      consider(ExpiredBy(worker));
    }
  }
  return next;
}

// Returns the free slots to report. Before the first offer of a term the size
// of a task is not known, and one slot for each idle worker is reported once
// no offer has come for a while: a group without free slots gets no jobs while
// another one has some, so it would never get its first offer.
static auto FreeSlotsOf(const Scheduler& state) -> FreeSlots {
  if (state.awaits_first_offer) {
    const auto idle = CountIdleWorkers(state.workers);
    return {.all = idle, .fast = idle};
  }
  return CountFreeSlots(state.workers, state.run_times, state.typical_service,
                        state.typical_needs);
}

auto LoadOf(const Scheduler& state) -> GroupLoad {
  GroupLoad load;
  const auto slots = FreeSlotsOf(state);
  if (!state.evacuated_since) {
    load.free_slots = slots.all;
    load.fast_slots = slots.fast;
  }
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
