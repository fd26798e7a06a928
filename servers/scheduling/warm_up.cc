#include "servers/scheduling/warm_up.h"

#include <algorithm>

#include "servers/scheduling/scheduler.h"

namespace boragecroft {
namespace {

// A run that takes up to this multiple of the expected time shows a warm
// worker. Declared run times are 40 % off, so a smaller multiple would keep
// warm workers back.
constexpr double kWarmRatio = 1.5;

auto Begin(const WorkerEntry& entry, Instant now, Instant cold_until)
    -> WarmUp {
  return WarmUp{.since = now,
                .cold_until = std::max(cold_until, entry.cold_until)};
}

}  // namespace

auto StartWarmUp(Scheduler& state, Instant now) -> void {
  state.expects_cold_workers = true;
  for (auto& [id, worker] : state.workers) {
    const auto stated = worker.entry.cold_until > now;
    worker.warm_up =
        Begin(worker.entry, now, stated ? Instant() : now + kReturnWarmUp);
    worker.warm_up->returned = true;
    RemoveWorker(state.run_times, id);
  }
}

auto SetColdUntil(WorkerEntry& entry, const WorkerEntry* known, Instant read_at)
    -> void {
  if (entry.cold_left <= milliseconds{0}) {
    entry.cold_until = Instant();
    return;
  }
  const auto repeated = known != nullptr &&
                        known->started_at == entry.started_at &&
                        known->cold_left == entry.cold_left;
  entry.cold_until = repeated ? known->cold_until : read_at + entry.cold_left;
}

namespace detail {

auto WarmUpAfterRow(const std::optional<WarmUp>& current,
                    const WorkerEntry* before,
                    const WorkerEntry& after,
                    Instant now) -> std::optional<WarmUp> {
  const auto is_cold = after.cold_until > now;
  if (!current) {
    const auto was_cold = before != nullptr &&
                          before->started_at == after.started_at &&
                          before->cold_left > milliseconds{0};
    return is_cold && !was_cold
               ? std::optional<WarmUp>(Begin(after, now, Instant()))
               : std::nullopt;
  }
  const auto says_warm = after.cold_left <= milliseconds{0};
  if (says_warm && !current->returned) {
    return std::nullopt;
  }
  auto out = current;
  if (is_cold) {
    out->cold_until = after.cold_until;
    out->expects_warm = false;
  } else if (says_warm && before != nullptr &&
             before->cold_left > milliseconds{0}) {
    out->cold_until = std::min(out->cold_until, now);
  }
  return out;
}

auto UpdateWarmUp(Scheduler& state,
                  WorkerAccount& worker,
                  const WorkerEntry* before,
                  Instant now) -> void {
  const auto was_warming_up = worker.warm_up.has_value();
  worker.warm_up = WarmUpAfterRow(worker.warm_up, before, worker.entry, now);
  state.expects_cold_workers =
      state.expects_cold_workers || worker.warm_up.has_value();
  if (worker.warm_up.has_value() != was_warming_up) {
    RemoveWorker(state.run_times, worker.entry.id);
  }
}

auto UpdateWarmUpAtRestart(WorkerAccount& worker, Instant now) -> void {
  worker.entry.cold_left = milliseconds{0};
  worker.entry.cold_until = Instant();
  if (worker.warm_up && !worker.warm_up->returned) {
    worker.warm_up.reset();
  }
  if (worker.warm_up) {
    worker.warm_up->since = now;
  }
}

auto JudgeRun(const WarmUp& warm_up,
              Instant ordered_at,
              microseconds run_time,
              microseconds on_warm_worker) -> WarmUpVerdict {
  if (ordered_at < warm_up.since) {
    return WarmUpVerdict::kNoEvidence;
  }
  if (static_cast<double>(run_time.count()) <=
      kWarmRatio * static_cast<double>(on_warm_worker.count())) {
    return WarmUpVerdict::kWarm;
  }
  return ordered_at < warm_up.cold_until ? WarmUpVerdict::kCold
                                         : WarmUpVerdict::kSlow;
}

auto RecordRunWhileWarmingUp(Scheduler& state,
                             WorkerAccount& worker,
                             Instant ordered_at,
                             microseconds run_time,
                             microseconds work) -> WarmUpVerdict {
  auto& times = state.run_times;
  const auto on_warm_worker = microseconds(static_cast<int64_t>(
      static_cast<double>(work.count()) / SpeedOfKind(times, worker.entry)));
  const auto verdict =
      JudgeRun(*worker.warm_up, ordered_at, run_time, on_warm_worker);
  switch (verdict) {
    case WarmUpVerdict::kNoEvidence:
      return verdict;
    case WarmUpVerdict::kCold:
      SetSpeedFromRun(times, worker.entry, work, run_time);
      return verdict;
    case WarmUpVerdict::kSlow:
      SetSpeedFromRun(times, worker.entry, work, run_time);
      break;
    case WarmUpVerdict::kWarm:
      RemoveWorker(times, worker.entry.id);
      RecordWorkerRunTime(times, worker.entry, work, run_time);
      break;
  }
  worker.warm_up.reset();
  return verdict;
}

auto ForgetColdSpeeds(Scheduler& state, Instant now) -> void {
  if (!state.expects_cold_workers) {
    return;
  }
  state.expects_cold_workers = false;
  for (auto& [id, worker] : state.workers) {
    if (!worker.warm_up || worker.warm_up->expects_warm) {
      continue;
    }
    if (worker.warm_up->cold_until > now) {
      state.expects_cold_workers = true;
      continue;
    }
    worker.warm_up->expects_warm = true;
    RemoveWorker(state.run_times, id);
  }
}

}  // namespace detail

}  // namespace boragecroft
