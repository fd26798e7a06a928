#include "servers/fleet/pick.h"

#include <algorithm>
#include <cmath>

namespace boragecroft {

namespace {

auto Contains(std::span<const WorkerId> ids, WorkerId id) -> bool {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

// Best candidate so far. Among candidates with equal scores each is kept with
// equal probability.
struct BestCandidate {
  std::optional<size_t> index;
  double score = 0;
  uint32_t ties = 0;

  auto Offer(size_t candidate, double candidate_score, Random& random) -> void {
    if (!index || candidate_score > score) {
      index = candidate;
      score = candidate_score;
      ties = 1;
    } else if (candidate_score == score) {
      ++ties;
      index = DrawBelow(random, ties) == 0 ? candidate : *index;
    }
  }
};

// Reports whether the worker can take the task, regardless of the policy's slot
// allotments.
auto CanTake(const FleetWorker& worker, const PickRequest& request, Now now)
    -> bool {
  return worker.in_progress < worker.max_connections &&
         worker.in_progress < worker.listed.slots && IsUsable(worker, now) &&
         HasCapacity(worker, request.needs);
}

auto PickProbe(const Fleet& fleet,
               std::span<const size_t> pool,
               const PickRequest& request,
               Now now) -> std::optional<size_t> {
  for (const auto n : pool) {
    const auto& worker = fleet.workers[n];
    if (Contains(request.probe_due, worker.id) &&
        CanTake(worker, request, now)) {
      return n;
    }
  }
  return std::nullopt;
}

// A worker that reported no free slot gets no task for this long.
constexpr auto kFullWorkerPause = milliseconds(150);
// A report older than this may be outdated.
constexpr auto kReportIsOld = milliseconds(50);
// A report older than this is ignored.
constexpr auto kReportIsStale = milliseconds(200);
// Time within which a busy answer arrives. Until it has passed, a worker that
// may be full gets no second task.
constexpr auto kBusyAnswerTime = milliseconds(5);
// From this mean number of free slots on, a worker without a recent report is
// assumed to have a free slot.
constexpr auto kMostlyIdleMeanFreeSlots = 3.0;

auto ReportAge(const FleetWorker& worker, Now now) -> microseconds {
  return worker.free_slots ? now.boot - worker.free_slots_reported_at
                           : microseconds::max();
}

auto AwaitsBusyAnswer(const FleetWorker& worker, Now now) -> bool {
  const auto shared = worker.allotted_slots < worker.listed.slots;
  const auto may_be_full =
      ReportAge(worker, now) > kReportIsOld || *worker.free_slots == 0;
  return shared && may_be_full &&
         now.boot - worker.last_start < kBusyAnswerTime;
}

auto ReportedFull(const FleetWorker& worker, Now now) -> bool {
  return ReportAge(worker, now) < kFullWorkerPause && *worker.free_slots == 0;
}

auto HasFreeAllottedSlot(const FleetWorker& worker) -> bool {
  return worker.in_progress - worker.borrowed < worker.allotted_slots;
}

// Returns the worker's speed multiplied by the estimated probability that a
// slot is free.
auto ScoreAllotted(const Fleet& fleet, const FleetWorker& worker, Now now)
    -> double {
  const auto unknown = fleet.mean_free_slots * !worker.free_slots;
  return worker.speed *
         (1 - std::exp(-1 - unknown - EstimateFreeSlots(worker, now)));
}

// Reports whether slots may be borrowed from workers without a recent report.
// This is allowed if reports are rare because there are more workers than
// allotted slots, or if most workers have free slots.
auto MayBorrowUnconfirmed(const Fleet& fleet, std::span<const size_t> pool)
    -> bool {
  size_t allotted_slots = 0;
  for (const auto n : pool) {
    allotted_slots += fleet.workers[n].allotted_slots;
  }
  return fleet.borrow_credit >= 1 &&
         (allotted_slots < pool.size() ||
          fleet.mean_free_slots >= kMostlyIdleMeanFreeSlots);
}

// Picks, in this order: an allotted slot, preferring fast workers that are
// likely to have a free slot; a slot of another instance that a report shows as
// free; a slot of a worker without a recent report on which this instance has
// the fewest tasks, as long as the credit lasts.
auto PickFair(const Fleet& fleet,
              std::span<const size_t> pool,
              const PickRequest& request,
              Random& random,
              Now now) -> std::optional<size_t> {
  const auto may_borrow_unconfirmed = MayBorrowUnconfirmed(fleet, pool);
  BestCandidate allotted;
  BestCandidate lendable;
  BestCandidate unconfirmed;
  for (const auto n : pool) {
    const auto& worker = fleet.workers[n];
    if (!CanTake(worker, request, now) || ReportedFull(worker, now) ||
        Contains(request.excluded, worker.id)) {
      continue;
    }
    if (HasSlotToLend(worker, now) && !HasFreeAllottedSlot(worker)) {
      lendable.Offer(n, EstimateFreeSlots(worker, now), random);
    } else if (AwaitsBusyAnswer(worker, now)) {
      continue;
    } else if (HasFreeAllottedSlot(worker)) {
      allotted.Offer(n, ScoreAllotted(fleet, worker, now), random);
    } else if (may_borrow_unconfirmed &&
               ReportAge(worker, now) >= kReportIsStale) {
      unconfirmed.Offer(n, -static_cast<double>(worker.in_progress), random);
    }
  }
  return allotted.index   ? allotted.index
         : lendable.index ? lendable.index
                          : unconfirmed.index;
}

auto PickRoundRobin(Fleet& fleet,
                    std::span<const size_t> pool,
                    const PickRequest& request,
                    Now now) -> std::optional<size_t> {
  auto& turn = fleet.round_robin[request.service];
  for (size_t n = 0; n < pool.size(); ++n) {
    const auto index = pool[(turn + n) % pool.size()];
    const auto& worker = fleet.workers[index];
    if (CanTake(worker, request, now) &&
        !Contains(request.excluded, worker.id)) {
      turn = (turn + n + 1) % pool.size();
      return index;
    }
  }
  return std::nullopt;
}

// Picks two workers at random and returns the one with fewer tasks of this
// instance.
auto PickTwoChoices(const Fleet& fleet,
                    std::span<const size_t> pool,
                    const PickRequest& request,
                    Random& random,
                    Now now) -> std::optional<size_t> {
  std::vector<size_t> usable;
  for (const auto n : pool) {
    const auto& worker = fleet.workers[n];
    if (CanTake(worker, request, now) &&
        !Contains(request.excluded, worker.id)) {
      usable.push_back(n);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  const auto a = usable[DrawBelow(random, usable.size())];
  const auto b = usable[DrawBelow(random, usable.size())];
  return fleet.workers[b].in_progress < fleet.workers[a].in_progress ? b : a;
}

}  // namespace

auto PickWorker(Fleet& fleet,
                const PickRequest& request,
                DispatchPolicy policy,
                Random& random,
                Now now) -> std::optional<size_t> {
  const auto it = fleet.by_service.find(request.service);
  if (it == fleet.by_service.end()) {
    return std::nullopt;
  }
  const std::span<const size_t> pool = it->second;
  if (!request.probe_due.empty()) {
    if (const auto probe = PickProbe(fleet, pool, request, now)) {
      return probe;
    }
  }
  switch (policy) {
    case DispatchPolicy::kFair:
      return PickFair(fleet, pool, request, random, now);
    case DispatchPolicy::kRoundRobin:
      return PickRoundRobin(fleet, pool, request, now);
    case DispatchPolicy::kTwoChoices:
      return PickTwoChoices(fleet, pool, request, random, now);
  }
  return std::nullopt;
}

}  // namespace boragecroft
