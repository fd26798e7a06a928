#include "servers/scheduling/run_watch.h"

#include <algorithm>

#include "servers/scheduling/dispatching.h"

namespace boragecroft::detail {
namespace {

// A run is overdue after this many times the expected run time and a little
// more. Declared run times are 40 % off, so less would take sound runs for
// slow.
constexpr int kOverdueRatio = 2;
constexpr milliseconds kOverdueSlack{60};
// Tasks of one job differ by about 15 %. So one that is expected to end just
// before its caller leaves ends too late about every second time: on 120
// replayed days 110 had the best mark of 85, 100, 110 and 120.
constexpr int kLateRunPercent = 110;
// A stop, its end and a new start: stops take up to 50 ms.
constexpr milliseconds kMoveTime{55};

auto ExpectedOn(const Scheduler& state,
                const ScheduledJob& job,
                const WorkerAccount& worker) -> microseconds {
  const auto work = static_cast<double>(RunTimeOf(state, job).count());
  return microseconds(
      static_cast<int64_t>(work / SpeedOf(state.run_times, worker.entry.id)));
}

// True when the job's ended tasks show that the run ends after its caller has
// left, or so shortly before that it probably does.
auto WillEndTooLate(const ScheduledJob& job,
                    const Run& run,
                    microseconds expected) -> bool {
  return job.observed_run_time > microseconds{0} &&
         run.ordered_at + expected * kLateRunPercent / 100 > job.times.stop_at;
}

}  // namespace

auto RecordFinishedRun(Scheduler& state,
                       const WorkerAccount& worker,
                       const Run& run,
                       Instant now) -> void {
  const auto it = state.jobs.find(run.task.job);
  if (it == state.jobs.end()) {
    return;
  }
  auto& job = it->second;
  const auto run_time =
      std::chrono::duration_cast<microseconds>(now - run.ordered_at);
  const auto speed = SpeedOf(state.run_times, worker.entry.id);
  job.observed_run_time = std::max(
      job.observed_run_time,
      microseconds(
          static_cast<int64_t>(static_cast<double>(run_time.count()) * speed)));
  RecordRunTime(state.run_times, job.offer.kind, worker.entry.id,
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
      RecordOverdue(state.run_times, worker.entry.id);
    }
    if (!overdue && !WillEndTooLate(job, run, expected)) {
      continue;
    }
    if (PlaceTaskOf(state, job, worker.entry.id, now + kMoveTime) != nullptr) {
      StopRun(state, worker, run, out);
    }
  }
}

}  // namespace boragecroft::detail
