// Checks the shares of slot time on a virtual clock. The slots are simulated;
// only the queue decides which task runs.
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <functional>
#include <queue>

#include "core/base/random.h"
#include "servers/queue/task_queue.h"

namespace boragecroft {
namespace {

constexpr uint32_t kSlots = 43;
constexpr uint32_t kTasksPerJob = 2000;
constexpr auto kFarDeadline = Instant(std::chrono::hours(1));

struct Running {
  Instant ends;
  Instant started;
  QueuedTask task;
  auto operator>(const Running& other) const -> bool {
    return ends > other.ends;
  }
};

// Source of work: a partner in a class that always has another job to submit.
struct Source {
  uint32_t class_index = 0;
  std::string partner;
  uint32_t weight = 1;
  microseconds declared{};
  microseconds real{};
  Instant starts_at;
  uint64_t jobs = 0;
};

using Key = std::pair<uint32_t, std::string>;

class Simulation {
 public:
  Simulation(TaskQueue queue, std::vector<Source> sources, Random random)
      : queue_(std::move(queue)),
        sources_(std::move(sources)),
        random_(random) {}

  // Runs until `end`. Counts slot time from `from` on.
  auto Run(Instant from, Instant end) -> void {
    while (now_ < end) {
      Refill();
      while (running_.size() < kSlots) {
        auto task = PopTask(queue_, now_);
        if (!task) {
          break;
        }
        Start(std::move(*task));
      }
      now_ = running_.empty() ? end : running_.top().ends;
      while (!running_.empty() && running_.top().ends <= now_) {
        const auto& done = running_.top();
        const auto begun = std::max(done.started, from);
        if (now_ > begun) {
          used_[{done.task.class_index, done.task.partner}] += now_ - begun;
          total_ += now_ - begun;
        }
        Finish(queue_, done.task, done.ends - done.started);
        running_.pop();
      }
    }
  }

  auto Share(const Key& key) const -> double {
    const auto it = used_.find(key);
    return it == used_.end() ? 0
                             : static_cast<double>(it->second.count()) /
                                   static_cast<double>(total_.count());
  }

 private:
  auto Refill() -> void {
    for (size_t i = 0; i < sources_.size(); ++i) {
      auto& it = sources_[i];
      if (it.starts_at <= now_ &&
          PartnerBacklog(queue_, it.class_index, it.partner).tasks < kSlots) {
        Enqueue(queue_, {.job = {.incarnation = {i}, .sequence = it.jobs++},
                         .class_index = it.class_index,
                         .partner = it.partner,
                         .weight = it.weight,
                         .task_count = kTasksPerJob,
                         .deadline = kFarDeadline,
                         .run_time = it.declared});
      }
    }
  }

  auto Start(QueuedTask task) -> void {
    const auto& source = sources_[task.job.incarnation.value];
    const auto spread = 50 + DrawBelow(random_, 101);
    const auto time = source.real * spread / 100;
    running_.push({now_ + time, now_, std::move(task)});
  }

  TaskQueue queue_;
  std::vector<Source> sources_;
  Random random_;
  Instant now_;
  std::priority_queue<Running, std::vector<Running>, std::greater<>> running_;
  std::map<Key, microseconds> used_;
  microseconds total_{};
};

auto ThreeClasses(QueueOrder order) -> TaskQueue {
  TaskQueue queue;
  Configure(queue, {{"urgent", 30}, {"normal", 20}, {"bulk", 10}}, order);
  return queue;
}

// Draws a run time between 50 ms and 2 s and declares it up to ten times too
// short or too long.
auto DrawTimes(Random& random, Source source) -> Source {
  source.real = milliseconds(50 + DrawBelow(random, 1950));
  const auto tenths = DrawBelow(random, 2) == 0 ? 1 + DrawBelow(random, 10)
                                                : 10 + DrawBelow(random, 91);
  source.declared = source.real * tenths / 10;
  return source;
}

RC_GTEST_PROP(QueueUnderUrgentOverload,
              KeepsFloorOfEveryClassAndGivesRestToMostUrgent,
              (uint64_t seed)) {
  Random random(seed);
  const auto onset = Instant(seconds(20));
  Simulation simulation(
      ThreeClasses(QueueOrder::kFair),
      {DrawTimes(random,
                 {.class_index = 0, .partner = "a", .starts_at = onset}),
       DrawTimes(random, {.class_index = 1, .partner = "a"}),
       DrawTimes(random, {.class_index = 2, .partner = "a"})},
      random);
  simulation.Run(onset + seconds(20), onset + seconds(120));
  RC_ASSERT(simulation.Share({1, "a"}) >= 0.20 * 0.95);
  RC_ASSERT(simulation.Share({2, "a"}) >= 0.10 * 0.95);
  RC_ASSERT(simulation.Share({0, "a"}) >= 0.70 * 0.95);
}

RC_GTEST_PROP(PartnersOfOneClass,
              ShareSlotTimeByWeightForAnyRunTimes,
              (uint64_t seed)) {
  Random random(seed);
  Simulation simulation(
      ThreeClasses(QueueOrder::kFair),
      {DrawTimes(random, {.class_index = 1, .partner = "a", .weight = 1}),
       DrawTimes(random, {.class_index = 1, .partner = "b", .weight = 2}),
       DrawTimes(random, {.class_index = 1,
                          .partner = "c",
                          .weight = 5,
                          .starts_at = Instant(seconds(20))})},
      random);
  simulation.Run(Instant(seconds(40)), Instant(seconds(140)));
  RC_ASSERT(simulation.Share({1, "a"}) >= 0.125 * 0.9);
  RC_ASSERT(simulation.Share({1, "b"}) >= 0.250 * 0.9);
  RC_ASSERT(simulation.Share({1, "c"}) >= 0.625 * 0.9);
}

RC_GTEST_PROP(PartnerOverloadingEveryClass,
              LeavesClassFloorToPartnerOfThatClassOnly,
              (uint64_t seed)) {
  Random random(seed);
  Simulation simulation(
      ThreeClasses(QueueOrder::kFair),
      {DrawTimes(random, {.class_index = 0, .partner = "flood", .weight = 2}),
       DrawTimes(random, {.class_index = 1, .partner = "flood", .weight = 2}),
       DrawTimes(random, {.class_index = 2, .partner = "flood", .weight = 2}),
       DrawTimes(random, {.class_index = 1, .partner = "quiet"})},
      random);
  simulation.Run(Instant(seconds(20)), Instant(seconds(120)));
  RC_ASSERT(simulation.Share({1, "quiet"}) >= 0.20 * 0.9);
}

// A partner submits several jobs of 2,000 tasks each, more than the slots can
// take.
class OverloadingPartner : public testing::Test {
 protected:
  auto Add(uint64_t id,
           const std::string& partner,
           uint32_t tasks,
           Instant deadline) -> void {
    Enqueue(queue_, {.job = {.sequence = id},
                     .class_index = 1,
                     .partner = partner,
                     .task_count = tasks,
                     .deadline = deadline,
                     .run_time = milliseconds(200)});
  }

  // Dispatches until no task of the job is waiting, and returns the number of
  // dispatches.
  auto DispatchesUntilAllStarted(uint64_t id) -> int {
    auto count = 0;
    for (; QueuedTasks(queue_, {.sequence = id}) > 0; ++count) {
      PopTask(queue_, now_);
      now_ += milliseconds(5);
    }
    return count;
  }

  TaskQueue queue_ = ThreeClasses(QueueOrder::kFair);
  Instant now_;
};

TEST_F(OverloadingPartner, DoesNotDelayOtherPartner) {
  for (uint64_t i = 0; i < 10; ++i) {
    Add(i, "flood", kTasksPerJob, kFarDeadline);
  }
  DispatchesUntilAllStarted(0);
  Add(100, "quiet", 10, kFarDeadline);
  EXPECT_LE(DispatchesUntilAllStarted(100), 21);
}

TEST_F(OverloadingPartner, GetsSmallJobsEverySecondDispatchWhileAllFits) {
  Add(0, "flood", kTasksPerJob, now_ + seconds(30));
  PopTask(queue_, now_);
  Add(1, "flood", 10, now_ + seconds(31));
  EXPECT_LE(DispatchesUntilAllStarted(1), 20);
}

TEST_F(OverloadingPartner, KeepsEarliestDeadlineWhenTimeIsShort) {
  for (uint64_t i = 0; i < 4; ++i) {
    Add(i, "flood", kTasksPerJob, Instant(seconds(30)) + milliseconds(i));
  }
  while (now_ < Instant(seconds(1))) {
    PopTask(queue_, now_);
    now_ += milliseconds(5);
  }
  Add(100, "flood", 10, now_ + seconds(30));
  EXPECT_LE(DispatchesUntilAllStarted(100), 80);
  // Small jobs keep arriving; the large job still gets 7 of 8 dispatches.
  for (uint64_t i = 101; QueuedTasks(queue_, {.sequence = 0}) > 0; ++i) {
    ASSERT_LE(now_, Instant(seconds(12)));
    Add(i, "flood", 10, now_ + seconds(30));
    DispatchesUntilAllStarted(i);
  }
}

TEST_F(OverloadingPartner, DoesNotCompensateClassThatWasIdle) {
  Enqueue(queue_, {.job = {.sequence = 0},
                   .class_index = 0,
                   .partner = "flood",
                   .task_count = kTasksPerJob,
                   .deadline = kFarDeadline,
                   .run_time = milliseconds(200)});
  for (auto i = 0; i < 1000; ++i) {
    PopTask(queue_, now_);
  }
  Add(1, "idle", kTasksPerJob, kFarDeadline);
  for (auto i = 0; i < 100; ++i) {
    PopTask(queue_, now_);
  }
  const auto dispatched = kTasksPerJob - QueuedTasks(queue_, {.sequence = 1});
  EXPECT_GE(dispatched, 20U);
  EXPECT_LE(dispatched, 21U);
}

TEST(FifoQueue, ServesByArrivalForAnyClassAndDeadline) {
  auto queue = ThreeClasses(QueueOrder::kFifo);
  for (uint32_t i = 0; i < 3; ++i) {
    Enqueue(queue, {.job = {.sequence = i},
                    .class_index = 2 - i,
                    .partner = "p",
                    .task_count = 1,
                    .deadline = kFarDeadline - seconds(i),
                    .run_time = milliseconds(100)});
  }
  for (uint32_t i = 0; i < 3; ++i) {
    EXPECT_EQ(PopTask(queue, Instant())->job.sequence, i);
  }
}

}  // namespace
}  // namespace boragecroft
