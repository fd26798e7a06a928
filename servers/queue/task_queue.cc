#include "servers/queue/task_queue.h"

#include <algorithm>
#include <utility>

#include "servers/queue/task_order.h"

namespace boragecroft {
namespace {

using detail::ClassQueue;
using detail::PartnerQueue;
using detail::QueuedJob;

constexpr uint32_t kPercent = 100;
constexpr uint32_t kMillisPerPercent = 10;
constexpr uint32_t kMinFloorPercent = 1;

// Bounds of the charge at dispatch. They limit how far a wrong estimate shifts
// the shares until the task finishes.
constexpr microseconds kMinCharge = milliseconds(1);
constexpr microseconds kMaxCharge = seconds(5);

// A finished task moves the expected run time of its job by the difference
// divided by this number.
constexpr int kRunTimeSmoothingDivisor = 8;

auto SetFloors(TaskQueue& queue, const std::vector<QueueClass>& classes)
    -> void {
  uint32_t total = 0;
  for (const auto& it : classes) {
    total += std::max(it.floor_percent, kMinFloorPercent);
  }
  const auto scale = std::max(total, kPercent);
  for (size_t i = 0; i < classes.size(); ++i) {
    const auto percent = std::max(classes[i].floor_percent, kMinFloorPercent);
    queue.classes[i]->floor_millis =
        std::max(percent * kMillisPerPercent * kPercent / scale, 1U);
  }
}

// Moves the class with this name out of `old`, or creates it.
auto ExtractOrCreateClass(std::vector<std::unique_ptr<ClassQueue>>& old,
                          const std::string& name)
    -> std::unique_ptr<ClassQueue> {
  for (auto& it : old) {
    if (it != nullptr && it->name == name) {
      return std::move(it);
    }
  }
  auto created = std::make_unique<ClassQueue>();
  created->name = name;
  return created;
}

auto RenumberClasses(TaskQueue& queue) -> void {
  for (size_t i = 0; i < queue.classes.size(); ++i) {
    auto& partners = queue.classes[i]->partners;
    std::erase_if(partners, [](auto& it) { return it.second.jobs == 0; });
    for (auto& [name, partner] : partners) {
      partner.class_index = static_cast<uint32_t>(i);
    }
  }
}

auto SetOrder(TaskQueue& queue, QueueOrder order) -> void {
  if (queue.order == order) {
    return;
  }
  queue.order = order;
  queue.by_arrival.clear();
  for (auto& [id, job] : queue.jobs) {
    detail::UnlistJob(queue, job);
    detail::RefreshJob(queue, job);
  }
}

auto FindOrAddPartner(TaskQueue& queue, const QueueEntry& entry)
    -> PartnerQueue& {
  auto& partners = queue.classes[entry.class_index]->partners;
  const auto [it, added] = partners.try_emplace(entry.partner);
  auto& partner = it->second;
  if (added) {
    partner.name = entry.partner;
    partner.class_index = entry.class_index;
    partner.arrival = queue.next_arrival++;
    partner.paused = queue.paused_partners.contains(entry.partner);
  }
  return partner;
}

auto SetWeight(ClassQueue& class_queue, PartnerQueue& partner, uint32_t weight)
    -> void {
  const auto effective = std::max(weight, 1U);
  if (partner.backlog.tasks > 0) {
    class_queue.active_weight += effective;
    class_queue.active_weight -= partner.weight;
  }
  partner.weight = effective;
}

// Adds `tasks` of a job to the backlogs of its partner, its class and the
// queue; a negative number removes them.
auto AddBacklog(TaskQueue& queue, const QueuedJob& job, int64_t tasks) -> void {
  auto& partner = *job.partner;
  auto& class_queue = *queue.classes[partner.class_index];
  const auto was_active = partner.backlog.tasks > 0;
  for (auto* it : {&queue.backlog, &class_queue.backlog, &partner.backlog}) {
    it->tasks += static_cast<uint64_t>(tasks);
    it->cost += job.run_time * tasks;
  }
  const auto is_active = partner.backlog.tasks > 0;
  if (is_active && !was_active) {
    class_queue.active_weight += partner.weight;
    partner.pace = {};
  } else if (was_active && !is_active) {
    class_queue.active_weight -= partner.weight;
  }
}

// Updates the expected run time of a job from a finished task. The expectation
// is used for the charges of the job's later tasks and for its backlog. The
// sample is limited to between half and twice the expected value, so that one
// unusually slow task has little effect.
auto LearnRunTime(TaskQueue& queue, QueuedJob& job, microseconds run_time)
    -> void {
  const auto known = std::max(job.run_time, kMinCharge);
  const auto sample = std::clamp(run_time, known / 2, known * 2);
  const auto learned = known + (sample - known) / kRunTimeSmoothingDivisor;
  const auto change = learned - job.run_time;
  const int64_t waiting = detail::CountWaitingTasks(job);
  auto& partner = *job.partner;
  auto& class_queue = *queue.classes[partner.class_index];
  for (auto* it : {&queue.backlog, &class_queue.backlog, &partner.backlog}) {
    it->cost += change * waiting;
  }
  job.run_time = learned;
}

auto ExpiryOf(QueuedJob& job) -> detail::JobOrder {
  return {job.deadline.time_since_epoch().count(), job.arrival, &job};
}

auto RemoveIfEmpty(TaskQueue& queue, QueuedJob& job) -> void {
  if (detail::CountWaitingTasks(job) > 0) {
    return;
  }
  queue.by_expiry.erase(ExpiryOf(job));
  if (job.in_progress == 0) {
    --job.partner->jobs;
    queue.jobs.erase(JobId(job.id));
  }
}

auto AddInProgress(TaskQueue& queue, QueuedJob& job, int32_t tasks) -> void {
  auto& partner = *job.partner;
  for (auto* it : {&job.in_progress, &partner.in_progress,
                   &queue.classes[partner.class_index]->in_progress}) {
    *it += static_cast<uint32_t>(tasks);
  }
}

auto PopTaskIndex(QueuedJob& job) -> uint32_t {
  if (job.returned.empty()) {
    return job.cursor++;
  }
  const auto index = job.returned.back();
  job.returned.pop_back();
  return index;
}

auto Dispatch(TaskQueue& queue, const detail::JobChoice& choice, Instant now)
    -> QueuedTask {
  auto& job = *choice.job;
  auto& partner = *job.partner;
  auto& class_queue = *queue.classes[partner.class_index];
  detail::RecordDispatch(partner, job, now);
  QueuedTask task{.job = job.id,
                  .index = PopTaskIndex(job),
                  .class_index = partner.class_index,
                  .partner = partner.name,
                  .charge = std::clamp(job.run_time, kMinCharge, kMaxCharge),
                  .by_floor = choice.by_floor};
  class_queue.virtual_time = std::max(class_queue.virtual_time, partner.tag);
  detail::Charge(queue, partner, task.charge, task.by_floor);
  AddBacklog(queue, job, -1);
  AddInProgress(queue, job, 1);
  detail::RefreshJob(queue, job);
  RemoveIfEmpty(queue, job);
  return task;
}

auto FindJob(TaskQueue& queue, const JobId& id) -> QueuedJob* {
  const auto it = queue.jobs.find(id);
  return it == queue.jobs.end() ? nullptr : &it->second;
}

auto FindClassQueue(const TaskQueue& queue, uint32_t class_index)
    -> const ClassQueue* {
  return class_index < queue.classes.size() ? queue.classes[class_index].get()
                                            : nullptr;
}

auto FindPartnerQueue(const TaskQueue& queue,
                      uint32_t class_index,
                      std::string_view name) -> const PartnerQueue* {
  const auto* class_queue = FindClassQueue(queue, class_index);
  if (class_queue == nullptr) {
    return nullptr;
  }
  const auto it = class_queue->partners.find(name);
  return it == class_queue->partners.end() ? nullptr : &it->second;
}

}  // namespace

auto Configure(TaskQueue& queue,
               const std::vector<QueueClass>& classes,
               QueueOrder order) -> void {
  auto old = std::exchange(queue.classes, {});
  for (const auto& it : classes) {
    queue.classes.push_back(ExtractOrCreateClass(old, it.name));
  }
  for (auto& it : old) {
    if (it != nullptr && (it->backlog.tasks > 0 || it->in_progress > 0)) {
      it->floor_millis = 0;
      queue.classes.push_back(std::move(it));
    }
  }
  SetFloors(queue, classes);
  RenumberClasses(queue);
  SetOrder(queue, order);
}

auto Enqueue(TaskQueue& queue, const QueueEntry& entry) -> bool {
  if (entry.task_count == 0 || entry.class_index >= queue.classes.size()) {
    return false;
  }
  const auto [it, added] = queue.jobs.try_emplace(entry.job);
  if (!added) {
    return false;
  }
  auto& job = it->second;
  auto& partner = FindOrAddPartner(queue, entry);
  SetWeight(*queue.classes[entry.class_index], partner, entry.weight);
  ++partner.jobs;
  job = {.id = entry.job,
         .arrival = queue.next_arrival++,
         .partner = &partner,
         .task_count = entry.task_count,
         .dispatch_limit = entry.dispatch_limit,
         .deadline = entry.deadline,
         .run_time = entry.run_time};
  queue.by_expiry.insert(ExpiryOf(job));
  AddBacklog(queue, job, entry.task_count);
  detail::RefreshJob(queue, job);
  return true;
}

auto PopTask(TaskQueue& queue, Instant now) -> std::optional<QueuedTask> {
  while (true) {
    const auto choice = detail::ChooseJob(queue, now);
    if (choice.job == nullptr) {
      return std::nullopt;
    }
    if (choice.job->deadline > now) {
      return Dispatch(queue, choice, now);
    }
    detail::UnlistJob(queue, *choice.job);
    detail::RefreshPartner(queue, *choice.job->partner);
  }
}

auto Requeue(TaskQueue& queue, const QueuedTask& task) -> bool {
  auto* job = FindJob(queue, task.job);
  if (job == nullptr) {
    return false;
  }
  detail::Charge(queue, *job->partner, -task.charge, task.by_floor);
  AddInProgress(queue, *job, -1);
  if (job->cancelled) {
    RemoveIfEmpty(queue, *job);
    return false;
  }
  job->returned.push_back(task.index);
  queue.by_expiry.insert(ExpiryOf(*job));
  AddBacklog(queue, *job, 1);
  detail::RefreshJob(queue, *job);
  return true;
}

auto Finish(TaskQueue& queue, const QueuedTask& task, microseconds run_time)
    -> void {
  auto* job = FindJob(queue, task.job);
  if (job == nullptr) {
    return;
  }
  detail::Charge(queue, *job->partner, run_time - task.charge, task.by_floor);
  AddInProgress(queue, *job, -1);
  LearnRunTime(queue, *job, run_time);
  RemoveIfEmpty(queue, *job);
}

auto Cancel(TaskQueue& queue, const JobId& id) -> uint32_t {
  auto* job = FindJob(queue, id);
  if (job == nullptr) {
    return 0;
  }
  const auto removed = detail::CountWaitingTasks(*job);
  AddBacklog(queue, *job, -static_cast<int64_t>(removed));
  job->cancelled = true;
  job->cursor = job->task_count;
  job->returned.clear();
  detail::RefreshJob(queue, *job);
  RemoveIfEmpty(queue, *job);
  return removed;
}

auto SetDispatchLimit(TaskQueue& queue, const JobId& id, uint32_t limit)
    -> void {
  auto* job = FindJob(queue, id);
  if (job == nullptr) {
    return;
  }
  job->dispatch_limit = limit;
  detail::RefreshJob(queue, *job);
}

auto SetPartnerPaused(TaskQueue& queue, std::string_view name, bool paused)
    -> void {
  if (paused) {
    queue.paused_partners.emplace(name);
  } else if (const auto it = queue.paused_partners.find(name);
             it != queue.paused_partners.end()) {
    queue.paused_partners.erase(it);
  }
  for (auto& class_queue : queue.classes) {
    const auto it = class_queue->partners.find(name);
    if (it != class_queue->partners.end()) {
      detail::PausePartner(queue, it->second, paused);
    }
  }
}

auto ExpireDue(TaskQueue& queue, Instant now) -> std::vector<ExpiredJob> {
  std::vector<ExpiredJob> expired;
  while (!queue.by_expiry.empty()) {
    const auto* job = queue.by_expiry.begin()->job;
    if (job->deadline > now) {
      break;
    }
    const auto id = job->id;
    expired.push_back({.job = id, .tasks_removed = Cancel(queue, id)});
  }
  return expired;
}

auto NextExpiry(const TaskQueue& queue) -> std::optional<Instant> {
  if (queue.by_expiry.empty()) {
    return std::nullopt;
  }
  return queue.by_expiry.begin()->job->deadline;
}

auto QueuedTasks(const TaskQueue& queue, const JobId& id) -> uint32_t {
  const auto it = queue.jobs.find(id);
  return it == queue.jobs.end() ? 0 : detail::CountWaitingTasks(it->second);
}

auto ClassBacklog(const TaskQueue& queue, uint32_t class_index) -> Backlog {
  const auto* class_queue = FindClassQueue(queue, class_index);
  return class_queue == nullptr ? Backlog() : class_queue->backlog;
}

auto PartnerBacklog(const TaskQueue& queue,
                    uint32_t class_index,
                    std::string_view partner) -> Backlog {
  const auto* it = FindPartnerQueue(queue, class_index, partner);
  return it == nullptr ? Backlog() : it->backlog;
}

auto PartnerWeight(const TaskQueue& queue,
                   uint32_t class_index,
                   std::string_view partner) -> uint32_t {
  const auto* it = FindPartnerQueue(queue, class_index, partner);
  return it == nullptr ? 0 : it->weight;
}

auto ActiveWeight(const TaskQueue& queue, uint32_t class_index) -> uint64_t {
  const auto* class_queue = FindClassQueue(queue, class_index);
  return class_queue == nullptr ? 0 : class_queue->active_weight;
}

auto InProgress(const TaskQueue& queue, uint32_t class_index) -> uint32_t {
  const auto* class_queue = FindClassQueue(queue, class_index);
  return class_queue == nullptr ? 0 : class_queue->in_progress;
}

auto ListPartnerUsage(const TaskQueue& queue, uint32_t class_index)
    -> std::vector<PartnerUsage> {
  std::vector<PartnerUsage> uses;
  if (const auto* class_queue = FindClassQueue(queue, class_index)) {
    for (const auto& [name, it] : class_queue->partners) {
      uses.push_back({name, it.weight, it.slot_time});
    }
  }
  return uses;
}

auto FloorMillis(const TaskQueue& queue, uint32_t class_index) -> uint32_t {
  const auto* class_queue = FindClassQueue(queue, class_index);
  return class_queue == nullptr ? 0 : class_queue->floor_millis;
}

}  // namespace boragecroft
