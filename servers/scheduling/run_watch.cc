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
  return job.observed_run_time > microseconds{0} &&
         run.ordered_at + expected * kLateRunPercent / 100 > job.times.stop_at;
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
  job.observed_run_time = std::max(
      job.observed_run_time,
      microseconds(
          static_cast<int64_t>(static_cast<double>(run_time.count()) * speed)));
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
    if (PlaceTaskOf(state, job, worker.entry.id, now + kMoveTime) != nullptr) {
      StopRun(state, worker, run, out);
    }
  }
}

}  // namespace boragecroft::detail
