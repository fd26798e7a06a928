#include "servers/scheduling/waiting.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

#include "servers/scheduling/dispatching.h"

namespace boragecroft::detail {
namespace {

// Time from its hand-over until a job that may run elsewhere can start on
// workers that are not all fenced. After this time no run of an earlier holder
// is left: that holder notices within 500 ms that it has lost the origin
// instance, or the origin has withdrawn the job before; it then waits 200 ms
// for the origin to reconnect, and leases last 550 ms.
constexpr milliseconds kEarlierRunWait{1300};
// Half-life of the recorded slot time of a kind.
constexpr milliseconds kUsageHalfLife{1500};

// Sort key of a waiting job; the smallest is started first.
using Rank = std::tuple<int, double, Instant, JobName>;

auto Milliseconds(microseconds time) -> double {
  return std::chrono::duration<double, std::milli>(time).count();
}

auto DecayedUsageOf(const Scheduler& state,
                    const std::string& kind,
                    Instant now) -> double {
  const auto it = state.kind_usage.find(kind);
  if (it == state.kind_usage.end()) {
    return 0;
  }
  const auto halves =
      Milliseconds(now - it->second.updated_at) / Milliseconds(kUsageHalfLife);
  return it->second.slot_ms * std::exp2(-halves);
}

auto DensityOf(const Scheduler& state, const ScheduledJob& job) -> double {
  const auto it = state.policy.worth.find(job.offer.kind);
  const auto worth = it == state.policy.worth.end() ? 1.0 : it->second;
  return worth / (Milliseconds(RunTimeOf(state, job)) * job.offer.count);
}

auto WaitingTasksOf(const ScheduledJob& job) -> size_t {
  return job.tasks.size() - job.done - job.in_progress;
}

auto CoresOf(const Resources& needs, size_t tasks) -> double {
  return static_cast<double>(needs.cpu_millis) * static_cast<double>(tasks) /
         1000;
}

auto CostOf(const ScheduledJob& job) -> double {
  return CostOfTurningAway(
      job.offer.priority,
      job.task_work * static_cast<double>(WaitingTasksOf(job)));
}

// Returns the class of a waiting job: 0 has started tasks, 1 is below its
// floor, 2 is any other.
auto ClassOf(const Scheduler& state, const ScheduledJob& job, Instant now)
    -> int {
  if (job.uncertain > 0) {
    return 0;
  }
  return IsBelowFloor(state.floors, job.floor, now) ? 1 : 2;
}

auto RankOf(const Scheduler& state, const ScheduledJob& job, Instant now)
    -> Rank {
  const auto& name = job.offer.name;
  switch (RulesOf(state).order) {
    case WaitingOrder::kArrival:
      return {0, 0, job.times.arrived, name};
    case WaitingOrder::kLeastSlack:
      return {0, 0, job.times.objective - RunTimeOf(state, job), name};
    case WaitingOrder::kDensity:
      return {0, -DensityOf(state, job), job.times.refuse_at, name};
    case WaitingOrder::kFair:
      return {0, DecayedUsageOf(state, job.offer.kind, now),
              job.times.refuse_at, name};
    case WaitingOrder::kPriority:
      return {job.uncertain == 0 ? 1 : 0,
              static_cast<double>(job.offer.priority), job.times.refuse_at,
              name};
    case WaitingOrder::kPriorityFloors:
      return {ClassOf(state, job, now), static_cast<double>(job.offer.priority),
              job.times.refuse_at, name};
    case WaitingOrder::kLeastCost:
      return {ClassOf(state, job, now), job.uncertain > 0 ? 0 : -CostOf(job),
              job.times.refuse_at, name};
    case WaitingOrder::kUrgent:
      break;
  }
  return {job.uncertain == 0 ? 1 : 0, 0, job.times.refuse_at, name};
}

auto HasWaitingTasks(const ScheduledJob& job) -> bool {
  return !job.ended && job.done + job.in_progress < job.tasks.size();
}

// Reports whether no run of an earlier holder can be in progress on any worker.
// An earlier holder may have used workers of which this instance has not read
// yet, so the workers must have been read since the term began.
auto IsFenceComplete(const Scheduler& state) -> bool {
  if (!state.workers_stable || state.workers_known_until < state.since) {
    return false;
  }
  return std::all_of(
      state.workers.begin(), state.workers.end(), [](const auto& it) {
        const auto& worker = it.second;
        const auto inherited =
            std::any_of(worker.runs.begin(), worker.runs.end(),
                        [](const Run& run) { return run.inherited; });
        return !worker.listed || (worker.fenced && !inherited);
      });
}

auto ForecastOf(const Scheduler& state, Instant now) -> RoomForecast {
  RoomForecast forecast;
  for (const auto& [id, worker] : state.workers) {
    if (!worker.listed || !worker.reachable) {
      continue;
    }
    for (const auto& run : worker.runs) {
      AddRelease(forecast, CoresOf(run.resources, 1),
                 std::chrono::duration_cast<microseconds>(now - run.ordered_at),
                 run.expected);
    }
  }
  return forecast;
}

auto ClaimsOf(const Scheduler& state,
              const std::vector<ScheduledJob*>& jobs,
              Instant now) -> std::vector<WaitingClaim> {
  std::vector<WaitingClaim> out;
  out.reserve(jobs.size());
  for (const auto* job : jobs) {
    out.push_back({.cores = CoresOf(job->offer.needs, WaitingTasksOf(*job)),
                   .run_time = RunTimeOf(state, *job),
                   .start_within = std::chrono::duration_cast<microseconds>(
                       job->times.refuse_at - now),
                   .keep = job->uncertain > 0 || job->offer.may_run_elsewhere});
  }
  return out;
}

}  // namespace

auto RulesOf(const Scheduler& state) -> const WaitingRules& {
  return state.has_priorities ? state.policy.with_priorities
                              : state.policy.without_priorities;
}

auto WaitingJobs(Scheduler& state, Instant now) -> std::vector<ScheduledJob*> {
  std::vector<std::pair<Rank, ScheduledJob*>> ranked;
  // Few jobs may run elsewhere, and the check searches through all workers.
  std::optional<bool> fence_complete;
  const auto is_deferred = [&](const ScheduledJob& job) {
    if (!job.offer.may_run_elsewhere ||
        now - job.offered_at >= kEarlierRunWait) {
      return false;
    }
    if (!fence_complete) {
      fence_complete = IsFenceComplete(state);
    }
    return !*fence_complete;
  };
  for (auto& [name, job] : state.jobs) {
    if (HasWaitingTasks(job) && job.orphaned_at == Instant() &&
        !is_deferred(job)) {
      ranked.emplace_back(RankOf(state, job, now), &job);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<ScheduledJob*> out;
  out.reserve(ranked.size());
  for (const auto& [rank, job] : ranked) {
    out.push_back(job);
  }
  return out;
}

auto JobsToTurnAway(Scheduler& state, JobName arrived, Instant now)
    -> std::vector<TurnedAway> {
  const auto jobs = WaitingJobs(state, now);
  if (jobs.empty() || RulesOf(state).waiting != WaitingTime::kPredictedStart) {
    return {};
  }
  const auto forecast = ForecastOf(state, now);
  const auto claims = ClaimsOf(state, jobs, now);
  const auto starts = PredictStarts(forecast, claims);
  std::vector<TurnedAway> out;
  auto is_behind = false;
  for (size_t i = 0; i < jobs.size(); ++i) {
    const auto& name = jobs[i]->offer.name;
    const auto too_late = !claims[i].keep && starts[i] > claims[i].start_within;
    if (too_late) {
      out.push_back(
          {.job = name,
           .displaced_by = is_behind ? std::optional(arrived) : std::nullopt});
    } else if (name == arrived) {
      is_behind = true;
    }
  }
  return out;
}

auto RecordUsage(Scheduler& state,
                 const std::string& kind,
                 microseconds time,
                 Instant now) -> void {
  if (RulesOf(state).order != WaitingOrder::kFair) {
    return;
  }
  const auto before = DecayedUsageOf(state, kind, now);
  state.kind_usage[kind] =
      KindUsage{.slot_ms = before + Milliseconds(time), .updated_at = now};
}

}  // namespace boragecroft::detail
