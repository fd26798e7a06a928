// Decides how much work a worker gets that may be cold: one that comes back
// after its availability zone was evacuated, or one whose row in the store says
// that it stays slow for a while after its start.
//
// Handles full traffic on cold workers. Filled at once at the speed that they
// had before, they end most of their tasks after the callers have left, and
// their run times spoil the estimates for all other workers. A worker that
// warms up therefore gets one task at a time until a run shows that it is warm.
#ifndef SERVERS_SCHEDULING_WARM_UP_H_
#define SERVERS_SCHEDULING_WARM_UP_H_

#include <cstdint>
#include <optional>

#include "core/base/clock.h"

namespace boragecroft {

struct Scheduler;
struct WorkerAccount;
struct WorkerEntry;

// State of a worker that is warming up.
struct WarmUp {
  // Runs that were ordered before say nothing about the worker now.
  Instant since;
  // From this time on the worker is expected to be warm. One more task that
  // starts later and ends as done ends the warm-up whatever its run time.
  Instant cold_until;
  // Set when the group's evacuation has ended; else the worker's row asks for
  // the warm-up.
  bool returned = false;
  // Set once the speed learned while the worker was cold has been forgotten.
  bool expects_warm = false;
};

// Time for which a worker that returns from an evacuation may stay slow when
// its row does not say how long. A new holder that finds the end of an
// evacuation less than this time ago calls StartWarmUp().
inline constexpr milliseconds kReturnWarmUp{10'000};

// Starts the warm-up of all workers of the group and forgets the speeds learned
// for them. Sends no command.
//
// To be called when the evacuation of the group ends, before the first start
// after it; and by a new holder after BeginTerm(), which begins with no
// warm-up but those that the workers' rows ask for, if the evacuation of the
// group ended less than kReturnWarmUp ago.
auto StartWarmUp(Scheduler& state, Instant now) -> void;

// Sets the time until which the worker of a row read at `read_at` is cold.
// `known` is the entry of the worker's row before, or null. A row that repeats
// its figure for the same incarnation does not extend that time: rows are
// rewritten now and then for other reasons.
auto SetColdUntil(WorkerEntry& entry, const WorkerEntry* known, Instant read_at)
    -> void;

namespace detail {

// Returns the warm-up that the worker is in after its row has changed from
// `before`, which is null for a new worker, to `after`. A worker that was found
// warm is not slowed down again by later rows of the same incarnation, unless a
// row in between said that it is not cold.
auto WarmUpAfterRow(const std::optional<WarmUp>& current,
                    const WorkerEntry* before,
                    const WorkerEntry& after,
                    Instant now) -> std::optional<WarmUp>;

// Applies a row of the worker as WarmUpAfterRow() says, and forgets its speed
// when a warm-up begins or ends thereby. `before` is as above; the worker's
// entry is the new one already.
auto UpdateWarmUp(Scheduler& state,
                  WorkerAccount& worker,
                  const WorkerEntry* before,
                  Instant now) -> void;
// Handles a restart of the worker. Its next row says whether it is cold.
auto UpdateWarmUpAtRestart(WorkerAccount& worker, Instant now) -> void;

enum class WarmUpVerdict : uint8_t {
  kWarm,        // the run took about as long as on a warm worker
  kCold,        // it took longer
  kSlow,        // it took longer, and the worker should have been warm
  kNoEvidence,  // the run began before the warm-up
};

// Compares a run that was ordered at `ordered_at` and ended as done with
// `on_warm_worker`, the run time to expect on a warm worker of the same kind.
auto JudgeRun(const WarmUp& warm_up,
              Instant ordered_at,
              microseconds run_time,
              microseconds on_warm_worker) -> WarmUpVerdict;

// Records a run of a worker that is warming up, for the worker itself only, and
// ends the warm-up if the run shows that. `work` is the run time to expect on a
// worker of speed 1. Returns the verdict.
auto RecordRunWhileWarmingUp(Scheduler& state,
                             WorkerAccount& worker,
                             Instant ordered_at,
                             microseconds run_time,
                             microseconds work) -> WarmUpVerdict;

// Forgets the speeds of workers that should have become warm. Their speed while
// they were cold could keep away the very task that shows that they are warm.
auto ForgetColdSpeeds(Scheduler& state, Instant now) -> void;

}  // namespace detail

}  // namespace boragecroft

#endif  // SERVERS_SCHEDULING_WARM_UP_H_
