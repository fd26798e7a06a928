#include "servers/scheduling/give_up.h"

#include <algorithm>
#include <optional>

namespace boragecroft::detail {
namespace {

// Time for which the jobs of a lost origin continue, so that it can reconnect
// and hand them over again.
constexpr milliseconds kOriginGrace{200};
// A job whose chance is gone so shortly before its caller leaves continues
// until then: a stop takes up to 50 ms, so that it frees no room earlier.
constexpr milliseconds kMinTimeSaved{50};

auto TightestRunOf(const ScheduledJob& job) -> std::optional<RunProgress> {
  std::optional<RunProgress> out;
  for (const auto& it : job.tasks) {
    if (it.in_progress &&
        (!out || IsTighter(it.progress, *out, job.times.stop_at))) {
      out = it.progress;
    }
  }
  return out;
}

auto WaitingTasksOf(const ScheduledJob& job) -> uint32_t {
  return static_cast<uint32_t>(job.tasks.size()) - job.done - job.in_progress;
}

// A job that may have run waits for room as long as its caller does: to give it
// up earlier would waste its work, and could not be told as "not run".
auto RoomGoneAt(const ScheduledJob& job) -> Instant {
  return MayHaveRun(job) ? job.times.stop_at : job.times.refuse_at;
}

}  // namespace

auto MayHaveRun(const ScheduledJob& job) -> bool {
  return job.uncertain > 0 || job.offer.may_run_elsewhere;
}

auto ChanceOf(const ScheduledJob& job, Instant now) -> double {
  const auto waiting = WaitingTasksOf(job);
  return job.uncertain == 0
             ? ChanceToStart(job.forecast, waiting, now, job.times.stop_at)
             : ChanceToContinue(job.forecast, TightestRunOf(job), waiting, now,
                                job.times.stop_at);
}

auto UpdateChanceGoneAt(ScheduledJob& job) -> void {
  const auto waiting = WaitingTasksOf(job);
  const auto latest = job.times.stop_at;
  if (MayHaveRun(job)) {
    const auto gone_at =
        LatestContinue(job.forecast, TightestRunOf(job), waiting, latest);
    job.chance_gone_at = latest - gone_at < kMinTimeSaved ? latest : gone_at;
  } else {
    job.chance_gone_at =
        LatestStart(job.forecast, waiting, kMinChanceToStart, latest);
  }
}

auto GiveUpAt(const ScheduledJob& job) -> Instant {
  auto at = std::min(RoomGoneAt(job), job.chance_gone_at);
  if (job.orphaned_at != Instant()) {
    at = std::min(at, job.orphaned_at + kOriginGrace);
  }
  return at;
}

auto GiveUpReasonOf(const ScheduledJob& job, Instant now) -> GiveUpReason {
  if (job.orphaned_at != Instant() && job.orphaned_at + kOriginGrace <= now) {
    return GiveUpReason::kOriginLost;
  }
  if (job.times.stop_at <= now) {
    return GiveUpReason::kDeadline;
  }
  return job.chance_gone_at <= now ? GiveUpReason::kNoChance
                                   : GiveUpReason::kNoRoom;
}

}  // namespace boragecroft::detail
