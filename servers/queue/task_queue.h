// The fair queue of one service on one instance: decides which queued task
// takes the next free slot.
//
// A job is one entry with a cursor, whatever its number of tasks. Three levels
// choose the next task: classes by urgency, each with a floor; in a class,
// partners by weighted start-time fair queueing of slot time; in a partner,
// jobs by earliest deadline, with a bounded share for the smallest job. No
// operation but `Configure` and `SetPartnerPaused` costs more than O(log n).
// See docs/design/queueing.md.
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

// How the next task is chosen.
enum class QueueOrder : uint8_t {
  kFair,  // floors, weights and deadlines
  kFifo,  // one queue in order of arrival
};

// A class of urgency; the most urgent is listed first.
struct QueueClass {
  std::string name;
  uint32_t floor_percent = 0;  // kept while more urgent work floods; at least 1
};

// Allows every task of a job to be dispatched.
constexpr uint32_t kNoDispatchLimit = std::numeric_limits<uint32_t>::max();

// A job to enqueue.
struct QueueEntry {
  JobId job;
  uint32_t class_index = 0;
  std::string partner;
  uint32_t weight = 1;  // share relative to other partners of the class
  uint32_t task_count = 0;
  Instant deadline;
  microseconds run_time{};  // expected slot time of one task
  uint32_t dispatch_limit = kNoDispatchLimit;
};

// One task that was given a slot.
struct QueuedTask {
  JobId job;
  uint32_t index = 0;
  uint32_t class_index = 0;
  std::string partner;
  microseconds charge{};  // slot time charged until the task finishes
  bool by_floor = false;  // charged to the floor of its class
};

// Tasks that wait, and the slot time that they are expected to take.
struct Backlog {
  uint64_t tasks = 0;
  microseconds cost{};
};

// A job that was removed because its deadline passed while tasks waited.
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
  std::vector<uint32_t> returned;  // refused before they started
  Instant deadline;
  microseconds run_time{};
  int64_t listed_remaining = 0;  // rank in `by_remaining`
  bool listed = false;
  bool cancelled = false;
};

// The mean time between two dispatches of a partner, over whole windows.
struct DispatchPace {
  Instant window_start;
  uint32_t dispatches = 0;
  microseconds mean_interval{};  // 0 while unknown
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
  microseconds slot_time{};  // given to the partner so far
  uint32_t jobs = 0;
  std::set<JobOrder> by_deadline;   // jobs that may be dispatched
  std::set<JobOrder> by_remaining;  // the same jobs, fewest tasks first
};

struct ClassQueue {
  std::string name;
  uint32_t floor_millis = 0;  // thousandths of the slots
  microseconds
      floor_due{};  // the floor is owed once the total slot time passes this
  int64_t virtual_time = 0;
  Backlog backlog;
  uint32_t in_progress = 0;
  uint64_t active_weight = 0;  // of partners whose tasks wait
  std::map<std::string, PartnerQueue, std::less<>> partners;
  std::set<PartnerOrder> ready;
};

}  // namespace detail

struct TaskQueue {
  QueueOrder order = QueueOrder::kFair;
  std::vector<std::unique_ptr<detail::ClassQueue>> classes;
  std::unordered_map<JobId, detail::QueuedJob> jobs;
  std::set<detail::JobOrder> by_arrival;  // only under `kFifo`
  std::set<detail::JobOrder> by_expiry;   // every job with tasks that wait
  std::set<std::string, std::less<>> paused_partners;
  microseconds slot_time{};  // slot time given out so far
  uint64_t next_arrival = 0;
  Backlog backlog;
};

// Sets the classes and the order. Classes are matched by name; a class that is
// no longer declared is served last, without a floor, until it is empty.
auto Configure(TaskQueue& queue,
               const std::vector<QueueClass>& classes,
               QueueOrder order) -> void;

// Adds a job. False when the id is present, the class unknown or there is no
// task.
auto Enqueue(TaskQueue& queue, const QueueEntry& entry) -> bool;

// Chooses the task for a free slot and charges the slot to its class and
// partner. Empty when nothing may be dispatched. A job past its deadline is
// passed over; `ExpireDue` returns it.
auto PopTask(TaskQueue& queue, Instant now) -> std::optional<QueuedTask>;

// Puts back a task that an endpoint refused before starting it, and returns its
// charge. False when its job was cancelled or expired meanwhile: the task is
// gone.
auto Requeue(TaskQueue& queue, const QueuedTask& task) -> bool;

// Releases the slot of a task and replaces its charge by the time that it took.
auto Finish(TaskQueue& queue, const QueuedTask& task, microseconds run_time)
    -> void;

// Removes the waiting tasks of a job and returns their number. Tasks in
// progress still need `Finish` or `Requeue`.
auto Cancel(TaskQueue& queue, const JobId& job) -> uint32_t;

// Allows the tasks of a job below `limit`. A job at its limit waits without
// holding up others and costs nothing.
auto SetDispatchLimit(TaskQueue& queue, const JobId& job, uint32_t limit)
    -> void;

// Stops or resumes dispatching of one partner's tasks, as when its team has
// used its quota. O(log n) under `kFair`; O(jobs of the partner) under `kFifo`.
auto SetPartnerPaused(TaskQueue& queue, std::string_view partner, bool paused)
    -> void;

// Removes the jobs whose deadline passed while tasks waited.
auto ExpireDue(TaskQueue& queue, Instant now) -> std::vector<ExpiredJob>;

// When the next queued job expires; empty when none waits.
auto NextExpiry(const TaskQueue& queue) -> std::optional<Instant>;

// The tasks of a job that wait; 0 when the job is unknown.
auto QueuedTasks(const TaskQueue& queue, const JobId& job) -> uint32_t;

auto ClassBacklog(const TaskQueue& queue, uint32_t class_index) -> Backlog;
auto PartnerBacklog(const TaskQueue& queue,
                    uint32_t class_index,
                    std::string_view partner) -> Backlog;

// The sum of the weights of the partners whose tasks wait in the class.
auto ActiveWeight(const TaskQueue& queue, uint32_t class_index) -> uint64_t;

// The weight of the partner in the class; 0 when it is unknown there.
auto PartnerWeight(const TaskQueue& queue,
                   uint32_t class_index,
                   std::string_view partner) -> uint32_t;

// The tasks of the class that occupy a slot.
auto InProgress(const TaskQueue& queue, uint32_t class_index) -> uint32_t;

// The slot time given to a partner so far.
struct PartnerUsage {
  std::string partner;
  uint32_t weight = 0;
  microseconds slot_time{};
};

// The partners known in a class. O(partners).
auto ListPartnerUsage(const TaskQueue& queue, uint32_t class_index)
    -> std::vector<PartnerUsage>;

// The floor of the class in thousandths of the slots, after normalisation.
auto FloorMillis(const TaskQueue& queue, uint32_t class_index) -> uint32_t;

}  // namespace boragecroft

#endif  // SERVERS_QUEUE_TASK_QUEUE_H_
