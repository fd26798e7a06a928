#include "bench/replay/bound.h"

#include <algorithm>
#include <deque>
#include <numeric>

namespace boragecroft::bench {
namespace {

constexpr microseconds kSlot = milliseconds{20};
// Amount of work below which it counts as none, in core-milliseconds.
constexpr double kNegligibleWork = 1e-6;

// Number of objectives that is longer than any caller waits.
constexpr int kUntilCallerLeaves = 1000;

// Work of a job in each slot of its window.
struct PlannedJob {
  size_t first = 0;
  std::vector<double> work_in_slot;
  double max_in_slot = 0;
};

struct Plan {
  std::vector<double> free_work;  // work that still fits into each slot
  std::vector<std::vector<size_t>> users;  // jobs that ever used the slot
  std::vector<PlannedJob> jobs;
};

// Step by which the search reached a slot: work of `job` moves here from slot
// `from`.
struct PathStep {
  bool reached = false;
  size_t job = 0;
  size_t from = 0;
  bool first = false;
};

auto FastestSpeed(const Workload& workload) -> double {
  double fastest = 0;
  for (const auto& it : workload.workers) {
    fastest = std::max(fastest, it.speed);
  }
  return fastest;
}

auto LatestOf(const WorkloadJob& job, int objectives) -> microseconds {
  return job.arrives + std::min(job.objective * objectives, job.leaves_after);
}

// Returns the core-milliseconds of work that all workers do in a slot. A worker
// that becomes slow within the slot counts as healthy for the whole slot.
auto CapacityOfSlot(const Workload& workload, microseconds from) -> double {
  const auto last = from + kSlot - microseconds{1};
  double capacity = 0;
  for (size_t i = 0; i < workload.workers.size(); ++i) {
    const auto& worker = workload.workers[i];
    const auto unresponsive =
        HasFault(workload, i, WorkerFault::kUnresponsive, from) &&
        HasFault(workload, i, WorkerFault::kUnresponsive, last);
    if (unresponsive) {
      continue;
    }
    const auto slowness =
        std::min(SlownessAt(workload, i, from), SlownessAt(workload, i, last));
    capacity += static_cast<double>(worker.capacity.cpu_millis) / 1000 *
                worker.speed / slowness;
  }
  return capacity * std::chrono::duration<double, std::milli>(kSlot).count();
}

auto MakePlan(const Workload& workload, int objectives) -> Plan {
  Plan plan;
  const auto end = workload.shape.length + seconds{10};
  for (microseconds at{0}; at < end; at += kSlot) {
    plan.free_work.push_back(CapacityOfSlot(workload, at));
  }
  plan.users.resize(plan.free_work.size());
  const auto slot_ms = std::chrono::duration<double, std::milli>(kSlot).count();
  const auto fastest = FastestSpeed(workload);
  for (const auto& job : workload.jobs) {
    PlannedJob it;
    it.first = static_cast<size_t>(job.arrives / kSlot);
    const auto last = static_cast<size_t>(
        (LatestOf(job, objectives) - microseconds{1}) / kSlot);
    it.work_in_slot.resize(std::min(last + 1, plan.free_work.size()) -
                           it.first);
    it.max_in_slot = static_cast<double>(job.tasks.size()) *
                     static_cast<double>(job.needs.cpu_millis) / 1000 *
                     fastest * slot_ms;
    plan.jobs.push_back(std::move(it));
  }
  return plan;
}

auto WorkInSlot(Plan& plan, size_t job, size_t slot) -> double& {
  auto& it = plan.jobs[job];
  return it.work_in_slot[slot - it.first];
}

// Adds the slots into which more work of the job can go to the search.
auto ReachSlots(const Plan& plan,
                size_t job,
                const PathStep& by,
                std::vector<PathStep>& steps,
                std::deque<size_t>& open) -> void {
  const auto& it = plan.jobs[job];
  for (size_t n = 0; n < it.work_in_slot.size(); ++n) {
    const auto slot = it.first + n;
    if (!steps[slot].reached &&
        it.work_in_slot[n] + kNegligibleWork < it.max_in_slot) {
      steps[slot] = by;
      open.push_back(slot);
    }
  }
}

// Searches a path from the job to a slot with free capacity; returns the slot,
// or nothing if there is none.
auto FindFreeSlot(Plan& plan, size_t job, std::vector<PathStep>& steps)
    -> std::optional<size_t> {
  std::fill(steps.begin(), steps.end(), PathStep());
  std::deque<size_t> open;
  ReachSlots(plan, job,
             PathStep{.reached = true, .job = job, .from = 0, .first = true},
             steps, open);
  while (!open.empty()) {
    const auto slot = open.front();
    open.pop_front();
    if (plan.free_work[slot] > kNegligibleWork) {
      return slot;
    }
    for (const auto user : plan.users[slot]) {
      if (WorkInSlot(plan, user, slot) > kNegligibleWork) {
        ReachSlots(plan, user,
                   PathStep{.reached = true, .job = user, .from = slot}, steps,
                   open);
      }
    }
  }
  return std::nullopt;
}

// Returns the amount of work that can move along the path.
auto AmountAlongPath(Plan& plan,
                     const std::vector<PathStep>& steps,
                     size_t to,
                     double wanted) -> double {
  auto amount = std::min(wanted, plan.free_work[to]);
  for (auto slot = to;; slot = steps[slot].from) {
    const auto& step = steps[slot];
    const auto most = plan.jobs[step.job].max_in_slot;
    amount = std::min(amount, most - WorkInSlot(plan, step.job, slot));
    if (step.first) {
      return amount;
    }
    amount = std::min(amount, WorkInSlot(plan, step.job, step.from));
  }
}

auto MoveAlongPath(Plan& plan,
                   const std::vector<PathStep>& steps,
                   size_t to,
                   double amount) -> void {
  plan.free_work[to] -= amount;
  for (auto slot = to;; slot = steps[slot].from) {
    const auto& step = steps[slot];
    auto& work = WorkInSlot(plan, step.job, slot);
    auto& users = plan.users[slot];
    if (std::find(users.begin(), users.end(), step.job) == users.end()) {
      users.push_back(step.job);
    }
    work += amount;
    if (step.first) {
      return;
    }
    WorkInSlot(plan, step.job, step.from) -= amount;
  }
}

// Adds the job's work as far as other work can be moved to make it fit; returns
// the share that fits.
auto AddJob(Plan& plan, size_t job, double work, std::vector<PathStep>& steps)
    -> double {
  auto missing = work;
  while (missing > work * 1e-6) {
    const auto slot = FindFreeSlot(plan, job, steps);
    if (!slot) {
      break;
    }
    const auto amount = AmountAlongPath(plan, steps, *slot, missing);
    if (amount <= kNegligibleWork / 10) {
      break;
    }
    MoveAlongPath(plan, steps, *slot, amount);
    missing -= amount;
  }
  return 1 - missing / work;
}

auto CanEnd(const Workload& workload, const WorkloadJob& job, int objectives)
    -> bool {
  const auto least =
      static_cast<double>(LongestWork(job).count()) / FastestSpeed(workload);
  const auto latest = LatestOf(job, objectives) - job.arrives;
  return least <= static_cast<double>(latest.count());
}

auto ByDensity(const Workload& workload) -> std::vector<size_t> {
  std::vector<size_t> order(workload.jobs.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::erase_if(order, [&](size_t i) { return !workload.jobs[i].counted; });
  std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return workload.jobs[a].worth / CoreWorkOf(workload.jobs[a]) >
           workload.jobs[b].worth / CoreWorkOf(workload.jobs[b]);
  });
  return order;
}

}  // namespace

auto FitInOrder(const Workload& workload,
                const std::vector<size_t>& order,
                int objectives) -> std::vector<double> {
  auto plan = MakePlan(workload, objectives);
  std::vector<double> fits(workload.jobs.size());
  std::vector<PathStep> steps(plan.free_work.size());
  for (const auto i : order) {
    if (CanEnd(workload, workload.jobs[i], objectives)) {
      fits[i] = AddJob(plan, i, CoreWorkOf(workload.jobs[i]), steps);
    }
  }
  return fits;
}

auto BoundOf(const Workload& workload) -> Credits {
  const auto order = ByDensity(workload);
  const auto in_time = FitInOrder(workload, order, 1);
  const auto at_all = FitInOrder(workload, order, kLateObjectives);
  Credits out(workload.jobs.size());
  for (const auto i : order) {
    out[i] = workload.jobs[i].worth *
             ((1 - kLateWorth) * in_time[i] + kLateWorth * at_all[i]);
  }
  return out;
}

auto ServedBoundOf(const Workload& workload) -> Credits {
  return FitInOrder(workload, ByDensity(workload), kUntilCallerLeaves);
}

auto MissedShare(const Workload& workload, const SimulationResult& result)
    -> double {
  std::vector<bool> served(workload.jobs.size());
  std::vector<bool> refused(workload.jobs.size());
  for (const auto& it : result.records) {
    if (!it.is_retry) {
      served[it.job] = it.outcome == JobOutcome::kDone && !it.caller_left;
      refused[it.job] = it.outcome == JobOutcome::kRefused;
    }
  }
  auto order = ByDensity(workload);
  std::stable_partition(order.begin(), order.end(),
                        [&](size_t i) { return served[i]; });
  const auto fits = FitInOrder(workload, order, 1);
  double missed = 0;
  double possible = 0;
  for (const auto i : order) {
    missed += refused[i] ? workload.jobs[i].worth * fits[i] : 0;
    possible += workload.jobs[i].worth;
  }
  return possible > 0 ? missed / possible : 0;
}

}  // namespace boragecroft::bench
