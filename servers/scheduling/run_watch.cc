#include "servers/scheduling/run_watch.h"

#include <algorithm>

#include "servers/scheduling/dispatching.h"

namespace boragecroft::detail {
namespace {

// A run is overdue after this multiple of the expected run time and this slack.
// Declared run times are 40 % off, so a smaller multiple would count normal
// runs as slow.
constexpr int kOverdueRatio = 2;
constexpr milliseconds kOverdueSlack{60};
// Expected run times are raised to this percentage in the check whether a run
// ends too late. Tasks of one job differ by about 15 %, so one that is expected
// to end just before its caller leaves ends too late about every second time.
// Of 85, 100, 110 and 120 %, 110 % had the best mark on 120 replayed workloads.
constexpr int kLateRunPercent = 110;
// Time for a stop, the report of its end and a new start. A stop takes up to 50
// ms.
constexpr milliseconds kMoveTime{55};

// Reports whether the ended tasks of the job show that the run ends after its
// caller has left, or so shortly before that it probably does.
auto WillEndTooLate(const ScheduledJob& job,
                    const Run& run,
                    microseconds expected) -> bool {
  return job.forecast.ended.count > 0 &&
         run.ordered_at + expected * kLateRunPercent / 100 > job.times.stop_at;
}

// Reports whether the run ends in time more probably if it is started again on
// another worker, where it loses what it has done.
auto GainsByMove(const Scheduler& state,
                 const ScheduledJob& job,
                 const Run& run,
                 const WorkerAccount& worker,
                 const WorkerAccount& other,
                 Instant now) -> bool {
  const auto until = [&](Instant from) {
    return std::chrono::duration_cast<microseconds>(job.times.stop_at - from);
  };
  const auto stays = ChanceOfEnd(
      job.forecast.task, SpeedOf(state.run_times, worker.entry),
      std::chrono::duration_cast<microseconds>(now - run.ordered_at),
      until(run.ordered_at));
  const auto moves =
      ChanceOfEnd(job.forecast.task, SpeedOf(state.run_times, other.entry),
                  microseconds{0}, until(now + kMoveTime));
  return moves > stays;
}

}  // namespace

auto RecordFinishedRun(Scheduler& state,
                       WorkerAccount& worker,
                       const Run& run,
                       Instant now) -> void {
  const auto it = state.jobs.find(run.task.job);
  if (it == state.jobs.end()) {
    return;
  }
  auto& job = it->second;
  const auto run_time =
      std::chrono::duration_cast<microseconds>(now - run.ordered_at);
  if (worker.warm_up) {
    RecordRunWhileWarmingUp(state, worker, run.ordered_at, run_time,
                            RunTimeOf(state, job));
    return;
  }
  const auto speed = SpeedOf(state.run_times, worker.entry);
  AddEndedTask(job.forecast,
               microseconds(static_cast<int64_t>(
                   static_cast<double>(run_time.count()) * speed)),
               job.done + job.in_progress);
  if (job.forecast.ended.count == job.tasks.size()) {
    RecordTasksOfJob(state.run_times, job.offer.kind, job.forecast.ended);
  }
  RecordRunTime(state.run_times, job.offer.kind, worker.entry,
                job.offer.run_estimate, run_time);
}

auto MoveLateRuns(Scheduler& state,
                  WorkerAccount& worker,
                  Instant now,
                  SchedulerCommands& out) -> void {
  for (auto& run : worker.runs) {
    const auto it = state.jobs.find(run.task.job);
    if (run.state != RunState::kRunning || run.inherited ||
        it == state.jobs.end() || it->second.ended) {
      continue;
    }
    const auto& job = it->second;
    const auto expected = ExpectedOn(state, job, worker);
    const auto overdue =
        now - run.ordered_at >= expected * kOverdueRatio + kOverdueSlack;
    if (overdue && !run.overdue) {
      run.overdue = true;
      ++state.counters.runs_overdue;
      RecordOverdue(state.run_times, worker.entry);
    }
    if (!overdue && !WillEndTooLate(job, run, expected)) {
      continue;
    }
    // The task could not start anywhere else in this group.
    if (state.evacuated_since) {
      continue;
    }
    const auto* other =
        PlaceTaskOf(state, job, worker.entry.id, now + kMoveTime);
    if (other != nullptr &&
        (overdue || GainsByMove(state, job, run, worker, *other, now))) {
      StopRun(state, worker, run, out);
    }
  }
}

}  // namespace boragecroft::detail
