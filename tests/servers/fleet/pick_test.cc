#include "servers/fleet/pick.h"

#include <gtest/gtest.h>

#include <algorithm>

#include <rapidcheck/gtest.h>

#include "servers/fleet/allotment.h"

namespace boragecroft {
namespace {

struct PickTest : testing::Test {
  Fleet fleet;
  Random random{11};
  Now now{Instant(seconds(1000)), WallTime(seconds(1000))};
  PickRequest request{.service = "cartas"};
  std::vector<ListedWorker> pool;
  std::vector<InstanceDemand> demands;

  auto FillFleet(size_t workers, size_t instances, uint32_t demand) -> void {
    for (size_t n = 0; n < workers; ++n) {
      pool.push_back({.service = "cartas",
                      .name = std::to_string(n),
                      .capacity = {32'000, 128'000, 0}});
    }
    for (size_t n = 0; n < instances; ++n) {
      demands.push_back({std::to_string(n), demand});
    }
    ApplyWorkerList(fleet, WorkerList{now.wall, pool}, now);
    AllotSlots(fleet, "cartas", demands, "0");
  }
  auto Pick(DispatchPolicy policy) -> std::optional<size_t> {
    return PickWorker(fleet, request, policy, random, now);
  }
};

RC_GTEST_FIXTURE_PROP(PickTest, PicksRespectAllotmentsLimitsAndExclusions, ()) {
  FillFleet(*rc::gen::inRange(1, 20), *rc::gen::inRange(1, 17),
            *rc::gen::inRange(0, 60));
  const auto policy = static_cast<DispatchPolicy>(*rc::gen::inRange(0, 3));
  const std::vector<WorkerId> ejected = {fleet.workers[0].id};
  request.excluded = ejected;
  request.needs.cpu_millis = *rc::gen::inRange(0, 9'000);
  std::vector<Ticket> tickets;
  for (auto n = 0; n < 200; ++n) {
    now.boot += milliseconds(*rc::gen::inRange(0, 50));
    if (*rc::gen::inRange(0, 40) == 0) {
      pool[*rc::gen::inRange<size_t>(0, pool.size())].leaving = true;
      now.wall += seconds(1);
      ApplyWorkerList(fleet, WorkerList{now.wall, pool}, now);
      AllotSlots(fleet, "cartas", demands, "0");
    }
    if (!tickets.empty() && *rc::gen::inRange(0, 3) == 0) {
      OnAnswer(fleet, tickets.back(),
               static_cast<EndpointAnswer>(*rc::gen::inRange(0, 6)), now);
      tickets.pop_back();
      continue;
    }
    const auto index = Pick(policy);
    if (!index) {
      continue;
    }
    const auto& worker = fleet.workers[*index];
    RC_ASSERT(worker.id != ejected[0]);
    RC_ASSERT(worker.state == WorkerState::kLive && !worker.draining);
    RC_ASSERT(now.boot >= worker.backoff_until);
    const auto credit = fleet.borrow_credit;
    tickets.push_back(OnStart(fleet, *index, request.needs, now));
    RC_ASSERT(worker.in_progress <= worker.listed.slots);
    RC_ASSERT(worker.in_progress <= worker.max_connections);
    RC_ASSERT(worker.occupied.cpu_millis <= worker.listed.capacity.cpu_millis);
    if (policy == DispatchPolicy::kFair) {
      // Tasks that started before the allotment shrank may still be in
      // progress. A new task beyond the allotment is borrowed and charged to
      // the credit.
      RC_ASSERT(!tickets.back().borrowed || credit >= 1);
      RC_ASSERT(tickets.back().borrowed ||
                worker.in_progress - worker.borrowed <= worker.allotted_slots);
    }
  }
}

RC_GTEST_FIXTURE_PROP(PickTest,
                      BusyAnswersToBorrowedSlotsStayWithinTheirShareOfStarts,
                      ()) {
  FillFleet(16, 8, *rc::gen::inRange(1, 12));
  auto starts = 0;
  auto busy = 0;
  for (auto n = 0; n < 2000; ++n) {
    now.boot += milliseconds(5);
    const auto index = Pick(DispatchPolicy::kFair);
    if (!index) {
      continue;
    }
    const auto ticket = OnStart(fleet, *index, {}, now);
    ++starts;
    // Allotted slots become free from time to time, so that borrowing
    // continues.
    const auto is_busy = ticket.borrowed && n % 3 != 0;
    busy += is_busy ? 1 : 0;
    if (ticket.borrowed || n % 20 == 0) {
      OnAnswer(fleet, ticket,
               is_busy ? EndpointAnswer::kBusy : EndpointAnswer::kRan, now);
    }
    RC_ASSERT(busy <= kInitialBorrowCredit + starts * kBorrowCreditPerStart);
  }
}

RC_GTEST_FIXTURE_PROP(
    PickTest,
    BorrowsOnlySlotsReportedFreeBesidesOneForOwnerOrChargedToCredit,
    ()) {
  FillFleet(*rc::gen::inRange(2, 20), *rc::gen::inRange(2, 17),
            *rc::gen::inRange(0, 60));
  std::vector<Ticket> tickets;
  for (auto n = 0; n < 200; ++n) {
    now.boot += milliseconds(*rc::gen::inRange(0, 50));
    if (!tickets.empty() && *rc::gen::inRange(0, 2) == 0) {
      RecordFreeSlots(fleet, tickets.back(), *rc::gen::inRange(0, 9), now);
      OnAnswer(fleet, tickets.back(), EndpointAnswer::kRan, now);
      tickets.pop_back();
    }
    const auto index = Pick(DispatchPolicy::kFair);
    if (!index) {
      continue;
    }
    const auto& worker = fleet.workers[*index];
    const auto reported = worker.free_slots.value_or(0);
    const auto age = now.boot - worker.free_slots_reported_at;
    const auto credit = fleet.borrow_credit;
    RC_ASSERT(!worker.free_slots || reported > 0 || age >= milliseconds(150));
    tickets.push_back(OnStart(fleet, *index, {}, now));
    RC_ASSERT(!tickets.back().borrowed || tickets.back().unconfirmed ||
              reported >= 2);
    RC_ASSERT(!tickets.back().unconfirmed || credit >= 1);
  }
}

TEST_F(PickTest, BorrowsSlotsOfOthersOnlyWhileReportIsFresh) {
  FillFleet(1, 2, 10);
  fleet.borrow_credit = 0;
  auto& worker = fleet.workers[0];
  Ticket last;
  for (auto left = worker.allotted_slots; left > 0; --left) {
    last = OnStart(fleet, 0, {}, now);
  }
  now.boot += seconds(1);
  EXPECT_EQ(Pick(DispatchPolicy::kFair), std::nullopt);
  RecordFreeSlots(fleet, last, 3, now);
  EXPECT_EQ(Pick(DispatchPolicy::kFair), 0U);
  now.boot += milliseconds(100);
  EXPECT_EQ(Pick(DispatchPolicy::kFair), std::nullopt);
}

TEST_F(PickTest, GivesSharedWorkerThatMayBeFullOneTaskUntilBusyAnswerIsDue) {
  FillFleet(1, 2, 10);
  ASSERT_GE(fleet.workers[0].allotted_slots, 2U);
  OnStart(fleet, 0, {}, now);
  EXPECT_EQ(Pick(DispatchPolicy::kFair), std::nullopt);
  now.boot += milliseconds(5);
  EXPECT_EQ(Pick(DispatchPolicy::kFair), 0U);
}

TEST_F(PickTest, PicksFastestWorkerWithFreeAllottedSlot) {
  FillFleet(16, 1, 10);
  fleet.workers[5].speed = 3;
  for (auto n = 0; n < 8; ++n) {
    const auto index = Pick(DispatchPolicy::kFair);
    ASSERT_EQ(index, 5U);
    OnStart(fleet, *index, {}, now);
  }
  EXPECT_NE(Pick(DispatchPolicy::kFair), 5U);
}

TEST_F(PickTest, BackoffGrowsWithBusyAnswersInARowAndEndsWithAnAcceptedTask) {
  FillFleet(1, 1, 1);
  auto answer = [&](EndpointAnswer it) {
    OnAnswer(fleet, OnStart(fleet, 0, {}, now), it, now);
    return fleet.workers[0].backoff_until - now.boot;
  };
  EXPECT_EQ(answer(EndpointAnswer::kBusy), milliseconds(30));
  EXPECT_EQ(Pick(DispatchPolicy::kRoundRobin), std::nullopt);
  EXPECT_EQ(answer(EndpointAnswer::kBusy), milliseconds(60));
  answer(EndpointAnswer::kRan);
  EXPECT_EQ(answer(EndpointAnswer::kBusy), milliseconds(30));
}

TEST_F(PickTest, GivesEjectedWorkerTaskOnlyAsProbe) {
  FillFleet(1, 1, 1);
  const std::vector<WorkerId> ids = {fleet.workers[0].id};
  request.excluded = ids;
  EXPECT_EQ(Pick(DispatchPolicy::kFair), std::nullopt);
  request.probe_due = ids;
  EXPECT_EQ(Pick(DispatchPolicy::kFair), 0U);
}

TEST_F(PickTest, RoundRobinTakesTurns) {
  FillFleet(3, 1, 1);
  for (size_t n = 0; n < 9; ++n) {
    EXPECT_EQ(Pick(DispatchPolicy::kRoundRobin), n % 3);
  }
}

}  // namespace
}  // namespace boragecroft
