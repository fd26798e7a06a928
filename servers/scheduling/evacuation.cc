// Withholds the starts of a group that an operator has evacuated.
#include <vector>

#include "servers/scheduling/dispatching.h"
#include "servers/scheduling/scheduler.h"
#include "servers/scheduling/warm_up.h"

namespace boragecroft {
namespace detail {
namespace {

auto NeedsStart(const ScheduledJob& job) -> bool {
  return !job.ended && job.done + job.in_progress < job.tasks.size();
}

auto Stop(Scheduler& state,
          ScheduledJob& job,
          Instant now,
          SchedulerCommands& out) -> void {
  const auto first = out.size();
  EndJob(state, job, JobOutcome::kStopped, now, out);
  // The result precedes the stops of the job's runs.
  std::get<ResultCommand>(out[first]).withheld = true;
}

}  // namespace

auto MakeRedirect(const ScheduledJob& job, Instant now) -> ResultCommand {
  const auto since_arrival = [&](Instant at) {
    return std::chrono::duration_cast<milliseconds>(at - job.times.arrived);
  };
  return ResultCommand{.origin = job.origin,
                       .result = {.name = job.offer.name,
                                  .outcome = JobOutcome::kRefused,
                                  .submission = job.offer.submission},
                       .redirected = true,
                       .tasks = job.offer.count,
                       .age = since_arrival(now),
                       .objective = since_arrival(job.times.objective)};
}

auto GiveBack(Scheduler& state,
              const ScheduledJob& job,
              Instant now,
              SchedulerCommands& out) -> void {
  auto answer = MakeRedirect(job, now);
  answer.withheld = true;
  if (job.offer.may_run_elsewhere) {
    // An earlier holder may have started it: "not run" could be untrue.
    answer.redirected = false;
    answer.result.outcome = JobOutcome::kStopped;
    ++state.counters.jobs_stopped;
  } else {
    answer.result.evacuated = true;
    ++state.counters.jobs_redirected;
    ++state.jobs_given_back;
  }
  out.push_back(answer);
}

auto WithholdStarts(Scheduler& state, Instant now, SchedulerCommands& out)
    -> void {
  if (!state.evacuated_since) {
    return;
  }
  const auto grace_ended =
      now - *state.evacuated_since >= state.started_job_grace;
  std::vector<JobName> withheld;
  for (const auto& [name, job] : state.jobs) {
    const auto begun = job.uncertain > 0;
    if (NeedsStart(job) && (!begun || grace_ended)) {
      withheld.push_back(name);
    }
  }
  for (const auto name : withheld) {
    auto& job = state.jobs.at(name);
    if (job.uncertain > 0) {
      Stop(state, job, now, out);
    } else {
      // No start was ordered, or workers refused all of them, so that no run
      // has to end before the job is forgotten.
      GiveBack(state, job, now, out);
      state.jobs.erase(name);
    }
  }
}

auto GraceEndOf(const Scheduler& state, const ScheduledJob& job)
    -> std::optional<Instant> {
  if (!state.evacuated_since || !NeedsStart(job)) {
    return std::nullopt;
  }
  return *state.evacuated_since + state.started_job_grace;
}

}  // namespace detail

auto OnEvacuated(Scheduler& state, Instant now, SchedulerCommands& out)
    -> void {
  if (state.evacuated_since) {
    return;
  }
  state.evacuated_since = now;
  state.jobs_given_back = 0;
  detail::WithholdStarts(state, now, out);
}

auto OnEvacuationEnded(Scheduler& state, Instant now, SchedulerCommands& out)
    -> void {
  if (!state.evacuated_since) {
    return;
  }
  state.evacuated_since.reset();
  StartWarmUp(state, now);
  detail::StartWaitingTasks(state, now, out);
}

auto CountRuns(const Scheduler& state) -> size_t {
  size_t n = 0;
  for (const auto& [id, worker] : state.workers) {
    n += worker.runs.size();
  }
  return n;
}

}  // namespace boragecroft
