#include "bench/replay/bound.h"

#include <algorithm>
#include <deque>
#include <numeric>

namespace boragecroft::bench {
namespace {

constexpr microseconds kSlot = milliseconds{20};
// Less work than this is none: core-milliseconds.
constexpr double kNothing = 1e-6;

// What a job has in the plan: work in each slot of its window.
struct PlannedJob {
  size_t first = 0;
  std::vector<double> in_slot;
  double most_in_slot = 0;
};

struct Plan {
  std::vector<double> left;                // room of each slot
  std::vector<std::vector<size_t>> users;  // jobs that ever used the slot
  std::vector<PlannedJob> jobs;
};

// How a slot was reached: by moving work of `job` from slot `from`.
struct Step {
  bool reached = false;
  size_t job = 0;
  size_t from = 0;
  bool first = false;
};

auto FastestSpeed(const Day& day) -> double {
  double fastest = 0;
  for (const auto& it : day.workers) {
    fastest = std::max(fastest, it.speed);
  }
  return fastest;
}

auto LatestOf(const DayJob& job, int objectives) -> microseconds {
  return job.arrives + std::min(job.objective * objectives, job.leaves_after);
}

// Core-milliseconds of work that all workers do in a slot. A worker that turns
// slow within the slot counts as sound for it.
auto RoomOfSlot(const Day& day, microseconds from) -> double {
  const auto last = from + kSlot - microseconds{1};
  double room = 0;
  for (size_t i = 0; i < day.workers.size(); ++i) {
    const auto& worker = day.workers[i];
    const auto silent = HasTrouble(day, i, WorkerTrouble::kSilent, from) &&
                        HasTrouble(day, i, WorkerTrouble::kSilent, last);
    if (silent) {
      continue;
    }
    const auto slowness =
        std::min(SlownessAt(day, i, from), SlownessAt(day, i, last));
    room += static_cast<double>(worker.capacity.cpu_millis) / 1000 *
            worker.speed / slowness;
  }
  return room * std::chrono::duration<double, std::milli>(kSlot).count();
}

auto MakePlan(const Day& day, int objectives) -> Plan {
  Plan plan;
  const auto end = day.shape.length + seconds{10};
  for (microseconds at{0}; at < end; at += kSlot) {
    plan.left.push_back(RoomOfSlot(day, at));
  }
  plan.users.resize(plan.left.size());
  const auto slot_ms = std::chrono::duration<double, std::milli>(kSlot).count();
  const auto fastest = FastestSpeed(day);
  for (const auto& job : day.jobs) {
    PlannedJob it;
    it.first = static_cast<size_t>(job.arrives / kSlot);
    const auto last = static_cast<size_t>(
        (LatestOf(job, objectives) - microseconds{1}) / kSlot);
    it.in_slot.resize(std::min(last + 1, plan.left.size()) - it.first);
    it.most_in_slot = static_cast<double>(job.tasks.size()) *
                      static_cast<double>(job.needs.cpu_millis) / 1000 *
                      fastest * slot_ms;
    plan.jobs.push_back(std::move(it));
  }
  return plan;
}

auto Amount(Plan& plan, size_t job, size_t slot) -> double& {
  auto& it = plan.jobs[job];
  return it.in_slot[slot - it.first];
}

// Reaches the slots into which the job's work could go beside what it has
// there.
auto Reach(const Plan& plan,
           size_t job,
           const Step& by,
           std::vector<Step>& steps,
           std::deque<size_t>& open) -> void {
  const auto& it = plan.jobs[job];
  for (size_t n = 0; n < it.in_slot.size(); ++n) {
    const auto slot = it.first + n;
    if (!steps[slot].reached && it.in_slot[n] + kNothing < it.most_in_slot) {
      steps[slot] = by;
      open.push_back(slot);
    }
  }
}

// The way from the job to a slot with room, or none.
auto FindRoom(Plan& plan, size_t job, std::vector<Step>& steps)
    -> std::optional<size_t> {
  std::fill(steps.begin(), steps.end(), Step());
  std::deque<size_t> open;
  Reach(plan, job, Step{.reached = true, .job = job, .from = 0, .first = true},
        steps, open);
  while (!open.empty()) {
    const auto slot = open.front();
    open.pop_front();
    if (plan.left[slot] > kNothing) {
      return slot;
    }
    for (const auto user : plan.users[slot]) {
      if (Amount(plan, user, slot) > kNothing) {
        Reach(plan, user, Step{.reached = true, .job = user, .from = slot},
              steps, open);
      }
    }
  }
  return std::nullopt;
}

// How much can move along the way.
auto WidthOf(Plan& plan,
             const std::vector<Step>& steps,
             size_t to,
             double wanted) -> double {
  auto width = std::min(wanted, plan.left[to]);
  for (auto slot = to;; slot = steps[slot].from) {
    const auto& step = steps[slot];
    const auto most = plan.jobs[step.job].most_in_slot;
    width = std::min(width, most - Amount(plan, step.job, slot));
    if (step.first) {
      return width;
    }
    width = std::min(width, Amount(plan, step.job, step.from));
  }
}

auto MoveAlong(Plan& plan,
               const std::vector<Step>& steps,
               size_t to,
               double width) -> void {
  plan.left[to] -= width;
  for (auto slot = to;; slot = steps[slot].from) {
    const auto& step = steps[slot];
    auto& amount = Amount(plan, step.job, slot);
    auto& users = plan.users[slot];
    if (std::find(users.begin(), users.end(), step.job) == users.end()) {
      users.push_back(step.job);
    }
    amount += width;
    if (step.first) {
      return;
    }
    Amount(plan, step.job, step.from) -= width;
  }
}

// Adds the job as far as room can be made; returns the part that fits.
auto AddJob(Plan& plan, size_t job, double work, std::vector<Step>& steps)
    -> double {
  auto missing = work;
  while (missing > work * 1e-6) {
    const auto slot = FindRoom(plan, job, steps);
    if (!slot) {
      break;
    }
    const auto width = WidthOf(plan, steps, *slot, missing);
    if (width <= kNothing / 10) {
      break;
    }
    MoveAlong(plan, steps, *slot, width);
    missing -= width;
  }
  return 1 - missing / work;
}

auto CanEnd(const Day& day, const DayJob& job, int objectives) -> bool {
  const auto least =
      static_cast<double>(LongestWork(job).count()) / FastestSpeed(day);
  const auto latest = LatestOf(job, objectives) - job.arrives;
  return least <= static_cast<double>(latest.count());
}

auto ByDensity(const Day& day) -> std::vector<size_t> {
  std::vector<size_t> order(day.jobs.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::erase_if(order, [&](size_t i) { return !day.jobs[i].owed; });
  std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return day.jobs[a].worth / CoreWorkOf(day.jobs[a]) >
           day.jobs[b].worth / CoreWorkOf(day.jobs[b]);
  });
  return order;
}

}  // namespace

auto FitInOrder(const Day& day,
                const std::vector<size_t>& order,
                int objectives) -> std::vector<double> {
  auto plan = MakePlan(day, objectives);
  std::vector<double> fits(day.jobs.size());
  std::vector<Step> steps(plan.left.size());
  for (const auto i : order) {
    if (CanEnd(day, day.jobs[i], objectives)) {
      fits[i] = AddJob(plan, i, CoreWorkOf(day.jobs[i]), steps);
    }
  }
  return fits;
}

auto BoundOf(const Day& day) -> Credits {
  const auto order = ByDensity(day);
  const auto in_time = FitInOrder(day, order, 1);
  const auto at_all = FitInOrder(day, order, kLateObjectives);
  Credits out(day.jobs.size());
  for (const auto i : order) {
    out[i] = day.jobs[i].worth *
             ((1 - kLateWorth) * in_time[i] + kLateWorth * at_all[i]);
  }
  return out;
}

auto MissedShare(const Day& day, const Played& played) -> double {
  std::vector<bool> served(day.jobs.size());
  std::vector<bool> refused(day.jobs.size());
  for (const auto& it : played.records) {
    if (!it.returned) {
      served[it.job] = it.outcome == JobOutcome::kDone && !it.left;
      refused[it.job] = it.outcome == JobOutcome::kRefused;
    }
  }
  auto order = ByDensity(day);
  std::stable_partition(order.begin(), order.end(),
                        [&](size_t i) { return served[i]; });
  const auto fits = FitInOrder(day, order, 1);
  double missed = 0;
  double owed = 0;
  for (const auto i : order) {
    missed += refused[i] ? day.jobs[i].worth * fits[i] : 0;
    owed += day.jobs[i].worth;
  }
  return owed > 0 ? missed / owed : 0;
}

}  // namespace boragecroft::bench
