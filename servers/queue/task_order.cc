#include "servers/queue/task_order.h"

#include <algorithm>

namespace boragecroft::detail {
namespace {

// Units by which virtual time advances per microsecond of slot time at weight
// 1.
constexpr int64_t kTagUnitsPerMicrosecond = 1024;
constexpr int64_t kMillisPerWhole = 1000;

// One in this many dispatches of a partner goes to its smallest job: the
// relaxed value applies when the whole backlog of the partner is expected to
// fit before its earliest deadline, the tight value when it is not.
constexpr uint32_t kSmallJobTurnRelaxed = 2;
constexpr uint32_t kSmallJobTurnTight = 8;

// Limit by which the slot time that a partner uses in other classes may place
// it behind the other partners of a class, in slot time at weight 1.
constexpr int64_t kMaxCrossClassLag =
    microseconds(seconds(30)).count() * kTagUnitsPerMicrosecond;

constexpr auto kDispatchPaceWindow = milliseconds(500);

auto Rank(Instant instant) -> int64_t {
  return instant.time_since_epoch().count();
}

auto MayDispatch(const QueuedJob& job) -> bool {
  return !job.returned.empty() ||
         job.cursor < std::min(job.dispatch_limit, job.task_count);
}

auto ListJob(TaskQueue& queue, QueuedJob& job) -> void {
  auto& partner = *job.partner;
  job.listed = true;
  job.listed_remaining = CountWaitingTasks(job);
  partner.by_deadline.insert({Rank(job.deadline), job.arrival, &job});
  partner.by_remaining.insert({job.listed_remaining, job.arrival, &job});
  if (queue.order == QueueOrder::kFifo && !partner.paused) {
    queue.by_arrival.insert({0, job.arrival, &job});
  }
}

// Updates the position of a listed job. While the job stays listed, only its
// rank by remaining tasks can change.
auto RerankJob(QueuedJob& job) -> void {
  const auto remaining = static_cast<int64_t>(CountWaitingTasks(job));
  if (remaining == job.listed_remaining) {
    return;
  }
  auto& ranks = job.partner->by_remaining;
  ranks.erase({job.listed_remaining, job.arrival, &job});
  ranks.insert({remaining, job.arrival, &job});
  job.listed_remaining = remaining;
}

// Reports whether the partner's whole backlog, at its current rate of
// dispatches, is dispatched before its earliest deadline. In that case any
// order meets every deadline.
auto FitsBeforeEarliestDeadline(const PartnerQueue& partner, Instant now)
    -> bool {
  const auto tasks = static_cast<int64_t>(partner.backlog.tasks);
  const auto drained = now + partner.pace.mean_interval * tasks;
  return drained <= partner.by_deadline.begin()->job->deadline;
}

auto ChooseJobOfPartner(const PartnerQueue& partner, Instant now)
    -> QueuedJob* {
  auto* earliest = partner.by_deadline.begin()->job;
  auto* smallest = partner.by_remaining.begin()->job;
  if (smallest->listed_remaining >= earliest->listed_remaining) {
    return earliest;
  }
  const auto turn = FitsBeforeEarliestDeadline(partner, now)
                        ? kSmallJobTurnRelaxed
                        : kSmallJobTurnTight;
  return partner.dispatches_since_small + 1 >= turn ? smallest : earliest;
}

auto ChooseClass(const TaskQueue& queue) -> const ClassQueue* {
  const ClassQueue* most_urgent = nullptr;
  for (const auto& it : queue.classes) {
    if (it->ready.empty()) {
      continue;
    }
    if (it->floor_millis > 0 && it->floor_due <= queue.slot_time) {
      return it.get();
    }
    most_urgent = most_urgent == nullptr ? it.get() : most_urgent;
  }
  return most_urgent;
}

auto SetTag(ClassQueue& class_queue, PartnerQueue& partner, int64_t tag)
    -> void {
  if (!partner.listed) {
    partner.tag = tag;
    return;
  }
  class_queue.ready.erase({partner.tag, partner.arrival, &partner});
  partner.tag = tag;
  class_queue.ready.insert({partner.tag, partner.arrival, &partner});
}

// Applies slot time used in one class also to the partner's position in the
// other classes where it has waiting tasks, so that a partner with work in
// several classes gets its share once and not once in each class.
auto ChargeOtherClasses(TaskQueue& queue,
                        const PartnerQueue& charged,
                        int64_t units) -> void {
  for (auto& it : queue.classes) {
    const auto found = it->partners.find(charged.name);
    if (found == it->partners.end() || !found->second.listed ||
        &found->second == &charged) {
      continue;
    }
    auto& partner = found->second;
    const auto latest =
        std::max(it->virtual_time + kMaxCrossClassLag, partner.tag);
    const auto earliest = std::min(it->virtual_time, partner.tag);
    SetTag(*it, partner,
           std::clamp(partner.tag + units / partner.weight, earliest, latest));
  }
}

}  // namespace

auto CountWaitingTasks(const QueuedJob& job) -> uint32_t {
  return job.task_count - job.cursor +
         static_cast<uint32_t>(job.returned.size());
}

auto RefreshJob(TaskQueue& queue, QueuedJob& job) -> void {
  const auto may_dispatch = MayDispatch(job);
  if (may_dispatch && job.listed) {
    RerankJob(job);
  } else if (may_dispatch) {
    ListJob(queue, job);
  } else {
    UnlistJob(queue, job);
  }
  RefreshPartner(queue, *job.partner);
}

auto UnlistJob(TaskQueue& queue, QueuedJob& job) -> void {
  if (!job.listed) {
    return;
  }
  auto& partner = *job.partner;
  job.listed = false;
  partner.by_deadline.erase({Rank(job.deadline), job.arrival, &job});
  partner.by_remaining.erase({job.listed_remaining, job.arrival, &job});
  queue.by_arrival.erase({0, job.arrival, &job});
}

auto RefreshPartner(TaskQueue& queue, PartnerQueue& partner) -> void {
  const auto ready = !partner.paused && !partner.by_deadline.empty();
  if (ready == partner.listed) {
    return;
  }
  partner.listed = ready;
  auto& class_queue = *queue.classes[partner.class_index];
  if (!ready) {
    class_queue.ready.erase({partner.tag, partner.arrival, &partner});
    return;
  }
  if (class_queue.ready.empty()) {
    class_queue.floor_due = std::max(class_queue.floor_due, queue.slot_time);
  }
  partner.tag = std::max(partner.tag, class_queue.virtual_time);
  class_queue.ready.insert({partner.tag, partner.arrival, &partner});
}

auto PausePartner(TaskQueue& queue, PartnerQueue& partner, bool paused)
    -> void {
  partner.paused = paused;
  if (queue.order == QueueOrder::kFifo) {
    for (const auto& it : partner.by_deadline) {
      const JobOrder order_entry{0, it.arrival, it.job};
      if (paused) {
        queue.by_arrival.erase(order_entry);
      } else {
        queue.by_arrival.insert(order_entry);
      }
    }
  }
  RefreshPartner(queue, partner);
}

auto ChooseJob(const TaskQueue& queue, Instant now) -> JobChoice {
  if (queue.order == QueueOrder::kFifo) {
    const auto& jobs = queue.by_arrival;
    return {.job = jobs.empty() ? nullptr : jobs.begin()->job};
  }
  const auto* chosen = ChooseClass(queue);
  if (chosen == nullptr) {
    return {};
  }
  const auto& partner = *chosen->ready.begin()->partner;
  return {.job = ChooseJobOfPartner(partner, now),
          .by_floor =
              chosen->floor_millis > 0 && chosen->floor_due <= queue.slot_time};
}

auto RecordDispatch(PartnerQueue& partner, const QueuedJob& job, Instant now)
    -> void {
  const auto smallest = partner.by_remaining.begin()->job == &job;
  partner.dispatches_since_small =
      smallest ? 0 : partner.dispatches_since_small + 1;
  auto& pace = partner.pace;
  if (pace.window_start == Instant()) {
    pace.window_start = now;
  }
  ++pace.dispatches;
  const auto elapsed = now - pace.window_start;
  if (elapsed >= kDispatchPaceWindow) {
    pace = {.window_start = now, .mean_interval = elapsed / pace.dispatches};
  }
}

auto Charge(TaskQueue& queue,
            PartnerQueue& partner,
            microseconds amount,
            bool by_floor) -> void {
  auto& class_queue = *queue.classes[partner.class_index];
  queue.slot_time += amount;
  partner.slot_time += amount;
  if (by_floor && class_queue.floor_millis > 0) {
    class_queue.floor_due += microseconds(amount.count() * kMillisPerWhole /
                                          class_queue.floor_millis);
  }
  const auto units = amount.count() * kTagUnitsPerMicrosecond;
  SetTag(class_queue, partner, partner.tag + units / partner.weight);
  ChargeOtherClasses(queue, partner, units);
  if (!partner.listed && class_queue.ready.empty()) {
    // Slot time used while no other partner was waiting does not count against
    // the partner later.
    class_queue.virtual_time = std::max(class_queue.virtual_time, partner.tag);
  }
}

}  // namespace boragecroft::detail
