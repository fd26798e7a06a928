#include "servers/scheduling/placement.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <vector>

#include "core/base/random.h"

namespace boragecroft {
namespace {

// Time for two orders and an answer within an availability zone, and for the
// worker to wake up.
constexpr milliseconds kDispatchOverhead{5};

// Declared run times are off by 40 %. A task fits a worker safely when it ends
// in time even if it takes 1.8 times its expected run time, and barely when it
// does so with 1.2 times.
constexpr double kSafeRunTimeFactor = 1.8;
constexpr double kBarelyRunTimeFactor = 1.2;

// A long task waits for a worker that is safe or among the fastest during 1/8
// of the time until its latest useful end. Waiting for 1/5 or 1/3 served fewer
// jobs.
constexpr int kFastWorkerWaitDivisor = 8;
// Run time from which a task counts as long. A shorter task ends before its
// caller leaves on any worker, even if it takes twice its expected time.
constexpr milliseconds kLongTaskRunTime{350};
// Workers with at least this share of the fastest worker's speed count as being
// among the fastest.
constexpr double kNearFastestSpeedShare = 0.85;

// Fast workers have spare capacity while less than this share of it is used.
constexpr double kSpareUsedShare = 0.65;

enum class Fit : uint8_t {
  kSafe,
  kBarely,
  kAfterObjective,
  kUnlikely,  // in time only if its run time is much overestimated
  kAfterLatest,
};

// Sort key of a worker; the smallest is chosen. It avoids the worker of the
// last failure, then prefers the safer fit, then the slowest worker among those
// in time (the fastest among the late ones), then the least unused capacity.
using Preference = std::tuple<bool, Fit, double, int64_t>;

// Reports whether a task that starts now and takes `factor` times its expected
// run time ends within its objective, which grows with its run time as well.
auto IsInTime(const PlacementRequest& request,
              double speed,
              double factor,
              Instant now) -> bool {
  const auto work = static_cast<double>(request.run_time.count()) * factor;
  const auto end = now + kDispatchOverhead +
                   microseconds(static_cast<int64_t>(work / speed));
  const auto objective =
      request.arrived + request.target +
      microseconds(static_cast<int64_t>(work * request.slack_factor));
  return end <= objective && end <= request.latest;
}

auto FitOf(const PlacementRequest& request, double speed, Instant now) -> Fit {
  if (IsInTime(request, speed, kSafeRunTimeFactor, now)) {
    return Fit::kSafe;
  }
  if (IsInTime(request, speed, kBarelyRunTimeFactor, now)) {
    return Fit::kBarely;
  }
  const auto is_in_time = [&](microseconds run_time) {
    const auto us = static_cast<double>(run_time.count()) / speed;
    return now + kDispatchOverhead + microseconds(static_cast<int64_t>(us)) <=
           request.latest;
  };
  if (is_in_time(request.run_time)) {
    return Fit::kAfterObjective;
  }
  return is_in_time(request.shortest_run_time) ? Fit::kUnlikely
                                               : Fit::kAfterLatest;
}

auto Prefer(const WorkerAccount& worker,
            const RunTimes& times,
            const PlacementRequest& request,
            bool prefer_fast,
            Instant now) -> Preference {
  const auto speed = SpeedOf(times, worker.entry);
  const auto fit = FitOf(request, speed, now);
  const auto left = worker.entry.capacity.cpu_millis - worker.used.cpu_millis -
                    request.needs.cpu_millis;
  const auto avoided = worker.entry.id == request.avoid;
  const auto fastest_first = prefer_fast || fit >= Fit::kAfterObjective;
  return {avoided, fit, fastest_first ? -speed : speed, left};
}

// Reports whether the task should still wait for a worker that is safe or among
// the fastest. Handles bursts of long jobs: if they start immediately on any
// worker, most of their tasks end after the caller has left and occupy the
// worker until then.
auto ShouldWaitForFastWorker(const PlacementRequest& request, Instant now)
    -> bool {
  return request.run_time >= kLongTaskRunTime &&
         now - request.arrived <
             (request.latest - request.arrived) / kFastWorkerWaitDivisor;
}

// Reports whether the fastest workers have spare capacity.
//
// Handles quiet load: a long task then takes the fastest worker, and not the
// slowest one that is probably fast enough, because its run time is uncertain.
auto HasSpareFastCapacity(const WorkerAccounts& workers,
                          const RunTimes& times,
                          const std::string& service,
                          double fastest) -> bool {
  int64_t capacity = 0;
  int64_t used = 0;
  for (const auto& [id, worker] : workers) {
    // A worker that warms up has no capacity to spare.
    if (IsUsable(worker, service) && !worker.warm_up &&
        SpeedOf(times, worker.entry) >= fastest * kNearFastestSpeedShare) {
      capacity += worker.entry.capacity.cpu_millis;
      used += worker.used.cpu_millis;
    }
  }
  return static_cast<double>(used) <
         static_cast<double>(capacity) * kSpareUsedShare;
}

auto CountSlotsBeside(const Resources& capacity,
                      const Resources& used,
                      const Resources& needs) -> uint32_t {
  auto slots = std::numeric_limits<int64_t>::max();
  const auto limit = [&](int64_t all, int64_t taken, int64_t each) {
    if (each > 0) {
      slots = std::min(slots, std::max<int64_t>(0, all - taken) / each);
    }
  };
  limit(capacity.cpu_millis, used.cpu_millis, needs.cpu_millis);
  limit(capacity.memory_mb, used.memory_mb, needs.memory_mb);
  limit(capacity.accelerators, used.accelerators, needs.accelerators);
  return static_cast<uint32_t>(
      std::min<int64_t>(slots, std::numeric_limits<uint32_t>::max()));
}

// Returns how many tasks with these needs the worker can take beside those that
// it has: at most one altogether while it warms up.
auto CountFreeSlotsOf(const WorkerAccount& worker, const Resources& needs)
    -> uint32_t {
  const auto n = CountSlotsBeside(worker.entry.capacity, worker.used, needs);
  if (!worker.warm_up) {
    return n;
  }
  // A trial placement adds to `used` without a run, and a run of an earlier
  // holder is a run whose resources are unknown.
  const auto idle = worker.runs.empty() && worker.used == Resources();
  return idle ? std::min(n, 1U) : 0;
}

auto HasRoom(const WorkerAccount& worker, const Resources& needs) -> bool {
  return Fits(worker.entry.capacity, worker.used, needs) &&
         (!worker.warm_up || CountFreeSlotsOf(worker, needs) > 0);
}

// Applies the placement rules that consider free capacity only. They exist for
// comparison.
auto PlaceByFreeCapacity(WorkerAccounts& workers,
                         const PlacementRequest& request) -> WorkerAccount* {
  std::vector<WorkerAccount*> candidates;
  for (auto& [id, worker] : workers) {
    if (IsUsable(worker, request.service) && HasRoom(worker, request.needs)) {
      candidates.push_back(&worker);
    }
  }
  if (candidates.empty()) {
    return nullptr;
  }
  const auto n = candidates.size();
  if (request.rule == PlacementRule::kRoundRobin) {
    return candidates[request.sequence % n];
  }
  auto* a = candidates[MixHash(request.sequence, 1) % n];
  auto* b = candidates[MixHash(request.sequence, 2) % n];
  return a->used.cpu_millis <= b->used.cpu_millis ? a : b;
}

// Reports whether the run of an ended job may last until its lease expires,
// because a stop was not answered. The leases of all other runs on its worker
// expire as well, so that none should be started there.
auto MayOutliveJob(const Run& run) -> bool {
  return run.job_ended && run.stop_unanswered &&
         run.state != RunState::kStopped;
}

// Reports whether a start can use a lease that was granted before.
auto HasLease(const WorkerAccount& worker) -> bool {
  return worker.clock && worker.leased_until > *worker.clock;
}

}  // namespace

auto IsUsable(const WorkerAccount& worker, const std::string& service) -> bool {
  if (!worker.listed || !worker.fenced || !worker.reachable) {
    return false;
  }
  if (worker.entry.draining || worker.entry.service != service) {
    return false;
  }
  if (HasRunToEnd(worker) && !HasLease(worker)) {
    return false;
  }
  return std::none_of(
      worker.runs.begin(), worker.runs.end(),
      [](const Run& it) { return it.inherited || MayOutliveJob(it); });
}

auto SpeedOfFastest(const WorkerAccounts& workers,
                    const RunTimes& times,
                    const std::string& service) -> double {
  double fastest = 0;
  for (const auto& [id, worker] : workers) {
    if (IsUsable(worker, service)) {
      fastest = std::max(fastest, SpeedOf(times, worker.entry));
    }
  }
  return fastest;
}

auto WarmSpeedOfFastest(const WorkerAccounts& workers,
                        const RunTimes& times,
                        const std::string& service) -> double {
  double fastest = 0;
  for (const auto& [id, worker] : workers) {
    if (IsUsable(worker, service)) {
      fastest =
          std::max(fastest, worker.warm_up ? SpeedOfKind(times, worker.entry)
                                           : SpeedOf(times, worker.entry));
    }
  }
  return fastest;
}

auto PlaceTask(WorkerAccounts& workers,
               const RunTimes& times,
               const PlacementRequest& request,
               Instant now) -> WorkerAccount* {
  if (request.rule != PlacementRule::kObjective) {
    return PlaceByFreeCapacity(workers, request);
  }
  const auto fastest = SpeedOfFastest(workers, times, request.service);
  const auto wait_for_fast = ShouldWaitForFastWorker(request, now);
  const auto prefer_fast =
      request.run_time >= kLongTaskRunTime &&
      HasSpareFastCapacity(workers, times, request.service, fastest);
  WorkerAccount* best = nullptr;
  Preference best_preference;
  for (auto& [id, worker] : workers) {
    if (!IsUsable(worker, request.service) || !HasRoom(worker, request.needs)) {
      continue;
    }
    const auto preference = Prefer(worker, times, request, prefer_fast, now);
    const auto fit = std::get<Fit>(preference);
    // An attempt that probably fails is made only once, and only on capacity
    // that nothing else needs.
    const auto may_try = prefer_fast && request.avoid.empty();
    if (fit == Fit::kAfterLatest || (fit == Fit::kUnlikely && !may_try)) {
      continue;
    }
    const auto good = fit == Fit::kSafe || SpeedOf(times, worker.entry) >=
                                               fastest * kNearFastestSpeedShare;
    if (wait_for_fast && !good) {
      continue;
    }
    if (best == nullptr || preference < best_preference) {
      best = &worker;
      best_preference = preference;
    }
  }
  return best;
}

auto CountFreeSlots(const WorkerAccounts& workers,
                    const RunTimes& times,
                    const std::string& service,
                    const Resources& needs) -> FreeSlots {
  FreeSlots slots;
  const auto fastest = SpeedOfFastest(workers, times, service);
  for (const auto& [id, worker] : workers) {
    if (!IsUsable(worker, service) || needs.cpu_millis <= 0) {
      continue;
    }
    const auto n = CountFreeSlotsOf(worker, needs);
    slots.all += n;
    slots.fast +=
        SpeedOf(times, worker.entry) >= fastest * kNearFastestSpeedShare ? n
                                                                         : 0;
  }
  return slots;
}

auto CountIdleWorkers(const WorkerAccounts& workers) -> uint32_t {
  return static_cast<uint32_t>(
      std::count_if(workers.begin(), workers.end(), [](const auto& it) {
        return IsUsable(it.second, it.second.entry.service) &&
               it.second.runs.empty();
      }));
}

auto CountSlots(const WorkerAccounts& workers,
                const std::string& service,
                const Resources& needs) -> uint32_t {
  uint32_t slots = 0;
  for (const auto& [id, worker] : workers) {
    if (IsUsable(worker, service) && needs.cpu_millis > 0) {
      const auto n =
          CountSlotsBeside(worker.entry.capacity, Resources(), needs);
      slots += worker.warm_up ? std::min(n, 1U) : n;
    }
  }
  return slots;
}

}  // namespace boragecroft
