#include "servers/admission/admission.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "core/base/random.h"
#include "servers/admission/queue_state.h"

namespace boragecroft {
namespace {

auto DrawMicros(Random& random, uint64_t below_millis) -> microseconds {
  return milliseconds(DrawBelow(random, below_millis));
}

// Draws an arbitrary job on an instance without any backlog.
auto DrawIdle(Random& random) -> AdmissionInput {
  return {.task_count = static_cast<uint32_t>(1 + DrawBelow(random, 2000)),
          .deadline = milliseconds(1 + DrawBelow(random, 60000)),
          .run_time = {.expected = DrawMicros(random, 5000),
                       .uncertainty = DrawBelow(random, 11) / 10.0},
          .slots = static_cast<uint32_t>(1 + DrawBelow(random, 60)),
          .class_floor = DrawBelow(random, 101) / 100.0,
          .less_urgent_share = DrawBelow(random, 101) / 100.0,
          .more_urgent_load = DrawBelow(random, 200) / 100.0,
          .partner_weight = static_cast<uint32_t>(1 + DrawBelow(random, 9)),
          .max_queued_tasks = 20000};
}

auto AddBacklog(Random& random, AdmissionInput& input) -> void {
  const auto own = DrawMicros(random, 100000);
  const auto others = DrawMicros(random, 100000);
  const auto urgent = DrawMicros(random, 100000);
  input.partner_cost += own;
  input.class_cost += own + others;
  input.more_urgent_cost += urgent;
  input.total_cost += own + others + urgent;
  input.other_weight += DrawBelow(random, 10);
  const auto own_tasks = DrawBelow(random, 2000);
  input.partner_queued_tasks += own_tasks;
  input.class_queued_tasks += own_tasks + DrawBelow(random, 2000);
}

// Returns the shortest time that any order of service could need.
auto LeastTime(const AdmissionInput& input) -> microseconds {
  return std::max(input.run_time.expected,
                  input.run_time.expected * input.task_count / input.slots);
}

RC_GTEST_PROP(IdleInstance,
              RefusesOnlyWhenRunTimeAloneExceedsDeadline,
              (uint64_t seed)) {
  Random random(seed);
  auto input = DrawIdle(random);
  const auto decision = Admit(input);
  RC_ASSERT(decision.Accepted() || LeastTime(input) > input.deadline);
  RC_ASSERT(decision.Accepted() || !decision.retry_after);
}

RC_GTEST_PROP(AnyInstance, RefusesJobThatCannotMeetDeadline, (uint64_t seed)) {
  Random random(seed);
  auto input = DrawIdle(random);
  input.run_time.uncertainty = 0;
  AddBacklog(random, input);
  const auto own_cost = input.run_time.expected * input.task_count;
  const auto least =
      std::max(LeastTime(input), (input.partner_cost + own_cost) / input.slots);
  const auto nearly_idle = input.total_cost <= milliseconds(100) * input.slots;
  if (least > input.deadline + milliseconds(1) && !nearly_idle) {
    RC_ASSERT(!Admit(input).Accepted());
  }
}

RC_GTEST_PROP(AnyInstance, NeverAcceptsMoreWhenBacklogGrows, (uint64_t seed)) {
  Random random(seed);
  auto input = DrawIdle(random);
  AddBacklog(random, input);
  const auto before = Admit(input);
  AddBacklog(random, input);
  const auto after = Admit(input);
  RC_ASSERT(before.Accepted() || !after.Accepted());
  RC_ASSERT(before.expected_completion <= after.expected_completion ||
            before.Accepted() != after.Accepted());
}

// An instance with 43 slots on which one partner has overloaded the normal
// class.
class OverloadByOnePartner : public testing::Test {
 protected:
  OverloadByOnePartner() {
    Configure(queue_, {{"urgent", 30}, {"normal", 20}, {"bulk", 10}},
              QueueOrder::kFair);
    while (Offer("flood", 2000).Accepted()) {
      Enqueue(queue_, {.job = {.sequence = ++jobs_},
                       .class_index = 1,
                       .partner = "flood",
                       .task_count = 2000,
                       .deadline = Instant(seconds(30)),
                       .run_time = kRunTime});
    }
  }

  auto Offer(const std::string& partner, uint32_t tasks) -> AdmissionDecision {
    AdmissionInput input{.task_count = tasks,
                         .deadline = seconds(30),
                         .run_time = {.expected = kRunTime},
                         .slots = 43,
                         .max_queued_tasks = 20000};
    DescribeQueue(queue_, {}, 1, partner, input);
    return Admit(input);
  }

  static constexpr microseconds kRunTime = milliseconds(200);
  TaskQueue queue_;
  uint64_t jobs_ = 0;
};

TEST_F(OverloadByOnePartner, IsRefusedByItsOwnBacklog) {
  const auto decision = Offer("flood", 2000);
  EXPECT_EQ(decision.refusal, Refusal::kDeadline);
  EXPECT_GT(decision.retry_after, milliseconds(0));
  EXPECT_GE(jobs_, 2U);
}

TEST_F(OverloadByOnePartner, LeavesOtherPartnersAccepted) {
  EXPECT_TRUE(Offer("quiet", 2000).Accepted());
}

TEST_F(OverloadByOnePartner, MeasuresRecentUseOfLightPartnersAndClasses) {
  SlotLoads loads;
  MeasureLoads(loads, queue_, 10, Instant(seconds(1)));
  for (uint32_t i = 0; i < 3; ++i) {
    Enqueue(queue_, {.job = {.sequence = 1000 + i},
                     .class_index = i,
                     .partner = "light",
                     .weight = 2,
                     .task_count = 1,
                     .deadline = Instant(seconds(30)),
                     .run_time = seconds(2)});
  }
  while (queue_.slot_time < seconds(20)) {
    PopTask(queue_, Instant(seconds(1)));
  }
  MeasureLoads(loads, queue_, 10, Instant(seconds(3)));
  AdmissionInput input;
  DescribeQueue(queue_, loads, 1, "flood", input);
  EXPECT_DOUBLE_EQ(input.more_urgent_load, 0.1);
  EXPECT_DOUBLE_EQ(input.less_urgent_share, 0.1);
  EXPECT_DOUBLE_EQ(input.other_partners_load, 0.1);
  EXPECT_EQ(input.other_weight, 2U);
  EXPECT_EQ(input.partner_cost, input.class_cost);
}

TEST(FullQueue, RefusesOverloadingPartnerAndKeepsCapacityForNewPartner) {
  AdmissionInput input{.task_count = 100,
                       .deadline = seconds(30),
                       .run_time = {.expected = milliseconds(1)},
                       .slots = 43,
                       .class_floor = 0.2,
                       .class_queued_tasks = 500,
                       .partner_queued_tasks = 500,
                       .max_queued_tasks = 1000};
  EXPECT_EQ(Admit(input).refusal, Refusal::kQueueFull);
  EXPECT_TRUE(Admit(input).retry_after);
  input.partner_queued_tasks = 0;
  EXPECT_TRUE(Admit(input).Accepted());
  input.task_count = 1001;
  EXPECT_EQ(Admit(input).refusal, Refusal::kQueueFull);
  EXPECT_FALSE(Admit(input).retry_after) << "it can never fit into the queue";
}

TEST(InstanceWithoutWorkers, RefusesTemporarilyForAnyDeadline) {
  const auto decision =
      Admit({.task_count = 1, .deadline = seconds(600), .max_queued_tasks = 9});
  EXPECT_EQ(decision.refusal, Refusal::kOverloaded);
  EXPECT_TRUE(decision.retry_after);
}

}  // namespace
}  // namespace boragecroft
