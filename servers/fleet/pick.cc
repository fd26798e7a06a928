#include "servers/fleet/pick.h"

#include <algorithm>

namespace boragecroft {

namespace {

auto Contains(std::span<const WorkerId> ids, WorkerId id) -> bool {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

// Keeps one of equally good candidates with equal chances.
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

// Allowances of the policy aside.
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

// An own slot of the fastest worker; without one, a slot of others as long as
// busy answers to such tries are few, where this instance has fewest tasks.
auto PickFair(const Fleet& fleet,
              std::span<const size_t> pool,
              const PickRequest& request,
              Random& random,
              Now now) -> std::optional<size_t> {
  const auto may_borrow = fleet.borrow_credit >= 1;
  BestCandidate own;
  BestCandidate foreign;
  for (const auto n : pool) {
    const auto& worker = fleet.workers[n];
    if (!CanTake(worker, request, now) ||
        Contains(request.excluded, worker.id)) {
      continue;
    }
    if (worker.in_progress - worker.borrowed < worker.allotted_slots) {
      own.Offer(n, worker.speed, random);
    } else if (may_borrow) {
      foreign.Offer(n, -static_cast<double>(worker.in_progress), random);
    }
  }
  return own.index ? own.index : foreign.index;
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

// Of two random workers the one with fewer tasks of this instance.
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
