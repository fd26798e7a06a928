// Implements the fair queue of one service on one instance, which decides which
// queued task takes the next free slot.
//
// A job is a single entry with a cursor, whatever its number of tasks. Three
// levels choose the next task: classes by urgency, each with a floor (a
// guaranteed share of the slots); within a class, partners by weighted
// start-time fair queueing of slot time; within a partner, jobs by earliest
// deadline, with a bounded share for the smallest job. No operation except
// `Configure` and `SetPartnerPaused` costs more than O(log n). See
// docs/design/queueing.md.
#ifndef SERVERS_QUEUE_TASK_QUEUE_H_
#define SERVERS_QUEUE_TASK_QUEUE_H_

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "core/base/clock.h"
#include "core/base/ids.h"

namespace boragecroft {

// Method by which the next task is chosen.
enum class QueueOrder : uint8_t {
  kFair,  // by class floors, partner weights and deadlines
  kFifo,  // in order of arrival
};

// Class of urgency. Classes are listed from the most urgent to the least
// urgent.
struct QueueClass {
  std::string name;
  uint32_t floor_percent = 0;  // guaranteed share of the slots, also when more
                               // urgent work exceeds the capacity; at least 1
};

// Dispatch limit that allows every task of a job to be dispatched.
constexpr uint32_t kNoDispatchLimit = std::numeric_limits<uint32_t>::max();

// Job to be enqueued.
struct QueueEntry {
  JobId job;
  uint32_t class_index = 0;
  std::string partner;
  uint32_t weight = 1;  // share relative to the other partners of the class
  uint32_t task_count = 0;
  Instant deadline;
  microseconds run_time{};  // expected slot time of one task
  uint32_t dispatch_limit = kNoDispatchLimit;
};

// Task that was given a slot.
struct QueuedTask {
  JobId job;
  uint32_t index = 0;
  uint32_t class_index = 0;
  std::string partner;
  microseconds charge{};  // slot time charged until the task finishes
  bool by_floor = false;  // charged to the floor of its class
};

// Number of waiting tasks and the slot time that they are expected to take.
struct Backlog {
  uint64_t tasks = 0;
  microseconds cost{};
};

// Job that was removed because its deadline passed while tasks of it were
// waiting.
struct ExpiredJob {
  JobId job;
  uint32_t tasks_removed = 0;
};

namespace detail {

struct QueuedJob;
struct PartnerQueue;

struct JobOrder {
  int64_t rank = 0;
  uint64_t arrival = 0;
  QueuedJob* job = nullptr;

  auto operator<(const JobOrder& other) const -> bool {
    return std::tie(rank, arrival) < std::tie(other.rank, other.arrival);
  }
};

struct PartnerOrder {
  int64_t tag = 0;
  uint64_t arrival = 0;
  PartnerQueue* partner = nullptr;

  auto operator<(const PartnerOrder& other) const -> bool {
    return std::tie(tag, arrival) < std::tie(other.tag, other.arrival);
  }
};

struct QueuedJob {
  JobId id;
  uint64_t arrival = 0;
  PartnerQueue* partner = nullptr;
  uint32_t task_count = 0;
  uint32_t cursor = 0;
  uint32_t dispatch_limit = kNoDispatchLimit;
  uint32_t in_progress = 0;
  // Indices of tasks that a worker refused before they started.
  std::vector<uint32_t> returned;
  Instant deadline;
  microseconds run_time{};
  // Rank under which the job is listed in `by_remaining`.
  int64_t listed_remaining = 0;
  bool listed = false;
  bool cancelled = false;
};

// Mean time between two dispatches of a partner, measured over whole windows.
struct DispatchPace {
  Instant window_start;
  uint32_t dispatches = 0;
  microseconds mean_interval{};  // 0 until the first window has ended
};

struct PartnerQueue {
  std::string name;
  uint32_t class_index = 0;
  uint64_t arrival = 0;
  uint32_t weight = 1;
  int64_t tag = 0;  // virtual start time of the next task
  bool paused = false;
  bool listed = false;
  uint32_t dispatches_since_small = 0;
  DispatchPace pace;
  Backlog backlog;
  uint32_t in_progress = 0;
  microseconds slot_time{};  // total slot time given to the partner
  uint32_t jobs = 0;
  std::set<JobOrder> by_deadline;   // jobs with tasks that may be dispatched
  std::set<JobOrder> by_remaining;  // the same jobs, ordered from the fewest to
                                    // the most waiting tasks
};

struct ClassQueue {
  std::string name;
  uint32_t floor_millis = 0;  // guaranteed share, in thousandths of the slots
  microseconds floor_due{};  // the class is below its floor once the total slot
                             // time of the queue reaches this value
  int64_t virtual_time = 0;
  Backlog backlog;
  uint32_t in_progress = 0;
  // Sum of the weights of the partners with waiting tasks.
  uint64_t active_weight = 0;
  std::map<std::string, PartnerQueue, std::less<>> partners;
  std::set<PartnerOrder> ready;
};

}  // namespace detail

struct TaskQueue {
  QueueOrder order = QueueOrder::kFair;
  std::vector<std::unique_ptr<detail::ClassQueue>> classes;
  std::unordered_map<JobId, detail::QueuedJob> jobs;
  std::set<detail::JobOrder> by_arrival;  // filled only under `kFifo`
  std::set<detail::JobOrder> by_expiry;   // every job with waiting tasks
  std::set<std::string, std::less<>> paused_partners;
  microseconds slot_time{};  // total slot time given to tasks
  uint64_t next_arrival = 0;
  Backlog backlog;
};

// Sets the classes and the order of dispatch. Classes are matched by name. A
// class that is no longer declared is served last, without a floor, until it is
// empty.
auto Configure(TaskQueue& queue,
               const std::vector<QueueClass>& classes,
               QueueOrder order) -> void;

// Adds a job. Returns false if the id is already present, the class is unknown
// or the job has no tasks.
auto Enqueue(TaskQueue& queue, const QueueEntry& entry) -> bool;

// Chooses the task for a free slot and charges the slot to the task's class and
// partner. Returns nothing if no task may be dispatched. Skips a job whose
// deadline has passed; `ExpireDue` returns such a job.
auto PopTask(TaskQueue& queue, Instant now) -> std::optional<QueuedTask>;

// Puts back a task that an endpoint refused before starting it, and refunds its
// charge. Returns false if the job was cancelled or expired in the meantime;
// the task is then dropped.
auto Requeue(TaskQueue& queue, const QueuedTask& task) -> bool;

// Releases the slot of a task and replaces its charge by its actual run time.
auto Finish(TaskQueue& queue, const QueuedTask& task, microseconds run_time)
    -> void;

// Removes the waiting tasks of a job and returns their number. Tasks in
// progress still need a call of `Finish` or `Requeue`.
auto Cancel(TaskQueue& queue, const JobId& job) -> uint32_t;

// Allows the tasks of a job whose index is below `limit` to be dispatched. A
// job at its limit neither delays other jobs nor costs anything.
auto SetDispatchLimit(TaskQueue& queue, const JobId& job, uint32_t limit)
    -> void;

// Pauses or resumes dispatching of one partner's tasks, for example when its
// team has used up its quota. Costs O(log n) under `kFair` and O(jobs of the
// partner) under `kFifo`.
auto SetPartnerPaused(TaskQueue& queue, std::string_view partner, bool paused)
    -> void;

// Removes and returns the jobs whose deadline passed while tasks of them were
// waiting.
auto ExpireDue(TaskQueue& queue, Instant now) -> std::vector<ExpiredJob>;

// Returns the time at which the next queued job expires, or nothing if no job
// has waiting tasks.
auto NextExpiry(const TaskQueue& queue) -> std::optional<Instant>;

// Returns the number of waiting tasks of a job, or 0 if the job is unknown.
auto QueuedTasks(const TaskQueue& queue, const JobId& job) -> uint32_t;

auto ClassBacklog(const TaskQueue& queue, uint32_t class_index) -> Backlog;
auto PartnerBacklog(const TaskQueue& queue,
                    uint32_t class_index,
                    std::string_view partner) -> Backlog;

// Returns the sum of the weights of the partners of the class that have waiting
// tasks.
auto ActiveWeight(const TaskQueue& queue, uint32_t class_index) -> uint64_t;

// Returns the weight of the partner in the class, or 0 if the partner is
// unknown there.
auto PartnerWeight(const TaskQueue& queue,
                   uint32_t class_index,
                   std::string_view partner) -> uint32_t;

// Returns the number of tasks of the class that occupy a slot.
auto InProgress(const TaskQueue& queue, uint32_t class_index) -> uint32_t;

// Total slot time that was given to a partner in a class.
struct PartnerUsage {
  std::string partner;
  uint32_t weight = 0;
  microseconds slot_time{};
};

// Returns the slot time used by each known partner of a class. Costs
// O(partners).
auto ListPartnerUsage(const TaskQueue& queue, uint32_t class_index)
    -> std::vector<PartnerUsage>;

// Returns the floor of the class in thousandths of the slots. Floors whose sum
// exceeds 100 % are scaled down in proportion.
auto FloorMillis(const TaskQueue& queue, uint32_t class_index) -> uint32_t;

}  // namespace boragecroft

#endif  // SERVERS_QUEUE_TASK_QUEUE_H_
