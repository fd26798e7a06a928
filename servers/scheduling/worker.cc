#include "servers/scheduling/worker.h"

#include <algorithm>
#include <utility>

namespace boragecroft {
namespace {

// Length of a lease. A caller whose connection broke sends its job again after
// 1.3 s. Before that, the loss of the origin instance must be noticed (500 ms)
// and the leases of its runs must have expired.
constexpr milliseconds kLeaseDuration{550};
// Length to which workers shorten longer leases.
constexpr milliseconds kMaxLeaseDuration{1000};
// Lower bound of the rate of a worker's clock. Clocks may be 2 % slow; the rest
// is for rounding.
constexpr double kMinClockRate = 0.975;

auto Scale(milliseconds time, double factor) -> milliseconds {
  return std::chrono::duration_cast<milliseconds>(time * factor);
}

auto IsListed(const std::vector<ListedRun>& runs, const Run& run) -> bool {
  return std::any_of(runs.begin(), runs.end(), [&](const ListedRun& it) {
    return it.task == run.task && it.attempt == run.attempt;
  });
}

auto ApplyEnds(WorkerAccount& worker, const RunReport& report, Reconciled& out)
    -> void {
  for (const auto& it : report.ended) {
    if (it.sequence <= worker.ended_seen) {
      continue;
    }
    worker.ended_seen = it.sequence;
    if (const auto* run = FindRun(worker, it.task, it.attempt)) {
      out.ended.push_back({.run = *run, .end = it.end});
      RemoveRun(worker, it.task, it.attempt);
    }
  }
}

auto RemoveVanishedRuns(WorkerAccount& worker,
                        const RunReport& report,
                        Instant sent,
                        Reconciled& out) -> void {
  const auto expired = report.clock >= worker.leased_until;
  for (auto i = worker.runs.size(); i-- > 0;) {
    const auto run = worker.runs[i];
    const auto unanswered =
        run.state == RunState::kOrdered || run.state == RunState::kStopping;
    const auto unsettled = unanswered || run.settled_at >= sent;
    if ((unsettled && !expired) || IsListed(report.running, run)) {
      continue;
    }
    out.ended.push_back({.run = run, .end = RunEnd::kLeaseExpired});
    RemoveRun(worker, run.task, run.attempt);
  }
}

auto AddInheritedRuns(WorkerAccount& worker,
                      const RunReport& report,
                      Instant sent,
                      Reconciled& out) -> void {
  for (const auto& it : report.running) {
    if (FindRun(worker, it.task, it.attempt) != nullptr) {
      continue;
    }
    out.inherited.push_back(it);
    AddRun(worker, Run{.task = it.task,
                       .attempt = it.attempt,
                       .resources = {},
                       .state = RunState::kRunning,
                       .inherited = true,
                       .ordered_at = sent,
                       .settled_at = sent});
  }
}

}  // namespace

auto NextLease(const WorkerAccount& worker, Instant now) -> milliseconds {
  if (!worker.clock) {
    return milliseconds{0};
  }
  const auto age =
      std::chrono::duration_cast<milliseconds>(now - worker.clock_read_at);
  return *worker.clock + Scale(age, kMinClockRate) + kLeaseDuration;
}

auto ExpiredBy(const WorkerAccount& worker) -> Instant {
  if (!worker.clock) {
    return worker.clock_read_at + Scale(kMaxLeaseDuration, 1 / kMinClockRate);
  }
  if (worker.leased_until <= *worker.clock) {
    return worker.clock_read_at;
  }
  return worker.clock_read_at +
         Scale(worker.leased_until - *worker.clock, 1 / kMinClockRate);
}

auto RecordClock(WorkerAccount& worker, milliseconds clock, Instant now)
    -> void {
  // Answers can overtake each other, so a reading may be older than the
  // recorded one.
  if (worker.clock && clock < *worker.clock) {
    return;
  }
  worker.clock = clock;
  worker.clock_read_at = now;
}

auto HasRunToEnd(const WorkerAccount& worker) -> bool {
  return std::any_of(worker.runs.begin(), worker.runs.end(), [](const Run& it) {
    return (it.inherited || it.job_ended) && it.state != RunState::kStopped;
  });
}

auto FindRun(WorkerAccount& worker, TaskName task, uint32_t attempt) -> Run* {
  const auto it =
      std::find_if(worker.runs.begin(), worker.runs.end(), [&](const Run& run) {
        return run.task == task && run.attempt == attempt;
      });
  return it == worker.runs.end() ? nullptr : &*it;
}

auto AddRun(WorkerAccount& worker, Run run) -> void {
  worker.used += run.resources;
  worker.runs.push_back(run);
}

auto RemoveRun(WorkerAccount& worker, TaskName task, uint32_t attempt) -> void {
  auto* run = FindRun(worker, task, attempt);
  if (run == nullptr) {
    return;
  }
  worker.used -= run->resources;
  *run = worker.runs.back();
  worker.runs.pop_back();
}

auto Reconcile(WorkerAccount& worker, const RunReport& report, Instant sent)
    -> Reconciled {
  Reconciled out;
  ApplyEnds(worker, report, out);
  if (report.complete) {
    RemoveVanishedRuns(worker, report, sent, out);
  }
  AddInheritedRuns(worker, report, sent, out);
  return out;
}

auto RemoveAllRuns(WorkerAccount& worker) -> std::vector<Run> {
  worker.used = {};
  return std::exchange(worker.runs, {});
}

}  // namespace boragecroft
