#include "servers/queue/task_queue.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <unordered_set>

#include "core/base/random.h"

namespace boragecroft {
namespace {

constexpr uint32_t kClasses = 3;
constexpr uint32_t kPartners = 3;

auto At(int64_t millis) -> Instant {
  return Instant(milliseconds(millis));
}

auto IdOf(uint64_t sequence) -> JobId {
  return {.incarnation = {1}, .sequence = sequence};
}

auto PartnerName(uint64_t number) -> std::string {
  return std::string("partner-") + std::to_string(number);
}

auto ConfiguredQueue(QueueOrder order) -> TaskQueue {
  TaskQueue queue;
  Configure(queue, {{"urgent", 30}, {"normal", 20}, {"bulk", 10}}, order);
  return queue;
}

struct ModelJob {
  std::set<uint32_t> waiting;
  uint32_t limit = kNoDispatchLimit;
  Instant deadline;
  uint32_t class_index = 0;
  std::string partner;
  bool cancelled = false;
};

// Queue and a simple model of it. Every operation is applied to both, and each
// task that the queue dispatches must be waiting in the model.
struct ModelledQueue {
  TaskQueue queue;
  std::unordered_map<JobId, ModelJob> jobs;
  std::set<std::string> paused;
  std::deque<QueuedTask> in_progress;
  Instant now = At(0);
  uint64_t next_job = 0;

  auto MayDispatch() const -> bool {
    return std::any_of(jobs.begin(), jobs.end(), [&](const auto& it) {
      const auto& job = it.second;
      return !job.waiting.empty() && *job.waiting.begin() < job.limit &&
             job.deadline > now && !paused.contains(job.partner);
    });
  }

  auto AddJob(Random& random) -> void {
    const QueueEntry entry{
        .job = IdOf(next_job++),
        .class_index = static_cast<uint32_t>(DrawBelow(random, kClasses)),
        .partner = PartnerName(DrawBelow(random, kPartners)),
        .weight = static_cast<uint32_t>(1 + DrawBelow(random, 4)),
        .task_count = static_cast<uint32_t>(1 + DrawBelow(random, 12)),
        .deadline = now + milliseconds(DrawBelow(random, 400)),
        .run_time = milliseconds(DrawBelow(random, 300)),
        .dispatch_limit = DrawBelow(random, 2) == 0 ? kNoDispatchLimit : 2};
    ASSERT_TRUE(Enqueue(queue, entry));
    ASSERT_FALSE(Enqueue(queue, entry));
    auto& job = jobs[entry.job];
    job = {.limit = entry.dispatch_limit,
           .deadline = entry.deadline,
           .class_index = entry.class_index,
           .partner = entry.partner};
    for (uint32_t i = 0; i < entry.task_count; ++i) {
      job.waiting.insert(i);
    }
  }

  auto Pop() -> void {
    const auto may_dispatch = MayDispatch();
    const auto task = PopTask(queue, now);
    ASSERT_EQ(task.has_value(), may_dispatch);
    if (!task) {
      return;
    }
    auto& job = jobs.at(task->job);
    ASSERT_EQ(job.waiting.erase(task->index), 1U) << "popped twice";
    ASSERT_LT(task->index, job.limit);
    ASSERT_GT(job.deadline, now);
    ASSERT_FALSE(paused.contains(job.partner));
    in_progress.push_back(*task);
  }

  auto ReturnTask(Random& random, bool refused) -> void {
    if (in_progress.empty()) {
      return;
    }
    const auto task = in_progress.front();
    in_progress.pop_front();
    if (!refused) {
      Finish(queue, task, milliseconds(DrawBelow(random, 900)));
      return;
    }
    auto& job = jobs.at(task.job);
    ASSERT_EQ(Requeue(queue, task), !job.cancelled);
    if (!job.cancelled) {
      job.waiting.insert(task.index);
    }
  }

  auto CancelOne(Random& random) -> void {
    ASSERT_EQ(Cancel(queue, IdOf(next_job)), 0U) << "an unknown job";
    const auto id = IdOf(DrawBelow(random, next_job));
    auto& chosen = jobs[id];
    ASSERT_EQ(Cancel(queue, id), chosen.waiting.size());
    chosen.waiting.clear();
    chosen.cancelled = true;
  }

  auto RaiseLimit(Random& random) -> void {
    const auto id = IdOf(DrawBelow(random, next_job));
    jobs[id].limit += std::min<uint32_t>(3, kNoDispatchLimit - jobs[id].limit);
    SetDispatchLimit(queue, id, jobs[id].limit);
  }

  auto TogglePause(Random& random) -> void {
    const auto partner = PartnerName(DrawBelow(random, kPartners));
    const auto pause = !paused.contains(partner);
    if (pause) {
      paused.insert(partner);
    } else {
      paused.erase(partner);
    }
    SetPartnerPaused(queue, partner, pause);
  }

  auto Expire() -> void {
    std::unordered_set<JobId> due;
    for (const auto& [id, job] : jobs) {
      if (!job.waiting.empty() && job.deadline <= now) {
        due.insert(id);
      }
    }
    for (const auto& it : ExpireDue(queue, now)) {
      ASSERT_EQ(due.erase(it.job), 1U);
      ASSERT_EQ(it.tasks_removed, jobs[it.job].waiting.size());
      jobs[it.job].waiting.clear();
      jobs[it.job].cancelled = true;
    }
    ASSERT_TRUE(due.empty());
  }

  auto CheckBacklogs() const -> void {
    std::vector<uint64_t> of_class(kClasses, 0);
    std::map<std::pair<uint32_t, std::string>, uint64_t> of_partner;
    for (const auto& [id, job] : jobs) {
      ASSERT_EQ(QueuedTasks(queue, id), job.waiting.size());
      of_class[job.class_index] += job.waiting.size();
      of_partner[{job.class_index, job.partner}] += job.waiting.size();
    }
    for (uint32_t i = 0; i < kClasses; ++i) {
      ASSERT_EQ(ClassBacklog(queue, i).tasks, of_class[i]);
      ASSERT_TRUE(of_class[i] > 0 || ClassBacklog(queue, i).cost.count() == 0);
    }
    for (const auto& [key, tasks] : of_partner) {
      ASSERT_EQ(PartnerBacklog(queue, key.first, key.second).tasks, tasks);
    }
  }

  auto RunRandomOperation(Random& random) -> void {
    const auto action = DrawBelow(random, 20);
    now += milliseconds(DrawBelow(random, 8));
    if (next_job == 0 || action < 4) {
      AddJob(random);
    } else if (action < 8) {
      ReturnTask(random, action < 6);
    } else if (action == 8) {
      CancelOne(random);
    } else if (action == 9) {
      RaiseLimit(random);
    } else if (action == 10) {
      TogglePause(random);
    } else if (action == 11) {
      Expire();
    } else {
      Pop();
    }
  }
};

auto RunRandomOperations(QueueOrder order, uint64_t seed) -> void {
  Random random(seed);
  ModelledQueue model{.queue = ConfiguredQueue(order)};
  for (auto i = 0; i < 300 && !testing::Test::HasFatalFailure(); ++i) {
    if (i == 150) {
      // The queue order changes while jobs are waiting.
      Configure(
          model.queue, {{"urgent", 30}, {"normal", 20}, {"bulk", 10}},
          order == QueueOrder::kFair ? QueueOrder::kFifo : QueueOrder::kFair);
    }
    model.RunRandomOperation(random);
    model.CheckBacklogs();
  }
  for (const auto& it : std::set<std::string>(model.paused)) {
    SetPartnerPaused(model.queue, it, false);
  }
  while (!model.in_progress.empty()) {
    model.ReturnTask(random, false);
  }
  for (auto& [id, job] : model.jobs) {
    Cancel(model.queue, id);
  }
  ASSERT_TRUE(model.queue.jobs.empty());
  ASSERT_TRUE(model.queue.by_expiry.empty());
  ASSERT_EQ(model.queue.backlog.tasks, 0U);
  ASSERT_EQ(model.queue.backlog.cost, microseconds::zero());
}

RC_GTEST_PROP(TaskQueueTest,
              FairQueueNeitherLosesNorRepeatsTasksNorLeavesSlotIdle,
              (uint64_t seed)) {
  RunRandomOperations(QueueOrder::kFair, seed);
  RC_ASSERT(!testing::Test::HasFatalFailure());
}

RC_GTEST_PROP(TaskQueueTest,
              FifoQueueNeitherLosesNorRepeatsTasksNorLeavesSlotIdle,
              (uint64_t seed)) {
  RunRandomOperations(QueueOrder::kFifo, seed);
  RC_ASSERT(!testing::Test::HasFatalFailure());
}

class QueueWithOneJob : public testing::Test {
 protected:
  QueueWithOneJob() {
    Enqueue(queue_, {.job = IdOf(1),
                     .class_index = 1,
                     .partner = "bank",
                     .task_count = 4,
                     .deadline = At(1000),
                     .run_time = milliseconds(100)});
  }
  TaskQueue queue_ = ConfiguredQueue(QueueOrder::kFair);
};

TEST_F(QueueWithOneJob, DispatchesRefusedTaskNext) {
  const auto first = PopTask(queue_, At(0));
  ASSERT_TRUE(first);
  ASSERT_TRUE(Requeue(queue_, *first));
  EXPECT_EQ(queue_.slot_time, microseconds::zero());
  const auto again = PopTask(queue_, At(0));
  ASSERT_TRUE(again);
  EXPECT_EQ(again->index, first->index);
}

TEST_F(QueueWithOneJob, StopsAtDispatchLimitUntilItIsRaised) {
  SetDispatchLimit(queue_, IdOf(1), 1);
  EXPECT_TRUE(PopTask(queue_, At(0)));
  EXPECT_FALSE(PopTask(queue_, At(0)));
  EXPECT_TRUE(queue_.classes[1]->ready.empty()) << "nothing is left to poll";
  SetDispatchLimit(queue_, IdOf(1), 2);
  EXPECT_TRUE(PopTask(queue_, At(0)));
}

TEST_F(QueueWithOneJob, EstimatesBacklogFromObservedRunTimes) {
  EXPECT_EQ(ClassBacklog(queue_, 1).cost, milliseconds(400));
  const auto task = PopTask(queue_, At(0));
  ASSERT_TRUE(task);
  Finish(queue_, *task, milliseconds(180));
  EXPECT_EQ(ClassBacklog(queue_, 1).cost, 3 * milliseconds(110));
  EXPECT_EQ(queue_.slot_time, milliseconds(180));
}

TEST_F(QueueWithOneJob, KeepsClassByNameWhenClassesAreRedeclared) {
  const auto started = PopTask(queue_, At(0));
  Configure(queue_, {{"bulk", 10}, {"urgent", 30}}, QueueOrder::kFair);
  EXPECT_EQ(ClassBacklog(queue_, 2).tasks, 3U);
  EXPECT_EQ(InProgress(queue_, 2), 1U);
  const auto next = PopTask(queue_, At(0));
  ASSERT_TRUE(started && next);
  EXPECT_EQ(next->class_index, 2U);
  Finish(queue_, *started, milliseconds(80));
  EXPECT_EQ(InProgress(queue_, 2), 1U);
}

}  // namespace
}  // namespace boragecroft
