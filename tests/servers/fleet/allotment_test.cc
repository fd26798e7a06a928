#include "servers/fleet/allotment.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

#include <rapidcheck/gtest.h>

namespace boragecroft {
namespace {

auto MakeWorkers(size_t count) -> std::vector<SharedWorker> {
  std::vector<SharedWorker> workers;
  workers.reserve(count);
  for (size_t n = 0; n < count; ++n) {
    workers.push_back({"worker-" + std::to_string(n), 8, 64});
  }
  return workers;
}

auto GenDemands() -> rc::Gen<std::vector<InstanceDemand>> {
  return rc::gen::map(
      rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange(0, 2000)),
      [](std::vector<uint32_t> slots) {
        slots.resize(std::clamp<size_t>(slots.size(), 1, 16), 20);
        std::vector<InstanceDemand> demands;
        demands.reserve(slots.size());
        for (const auto it : slots) {
          demands.push_back({"instance-" + std::to_string(demands.size()), it});
        }
        return demands;
      });
}

auto Assign(const std::vector<SharedWorker>& workers,
            const std::vector<InstanceDemand>& demands) -> SlotOwners {
  SlotOrder order;
  return AssignSlots(order, workers, demands);
}

auto CountSlotsOwnedBy(const SlotOwners& owners, size_t instance) -> size_t {
  size_t count = 0;
  for (const auto& it : owners) {
    count += std::count(it.begin(), it.end(), instance);
  }
  return count;
}

// Counts the slots whose owner differs by name.
auto CountMovedSlots(const SlotOwners& a,
                     const std::vector<InstanceDemand>& names_a,
                     const SlotOwners& b,
                     const std::vector<InstanceDemand>& names_b) -> size_t {
  size_t moved = 0;
  for (size_t w = 0; w < a.size(); ++w) {
    for (size_t slot = 0; slot < a[w].size(); ++slot) {
      moved +=
          names_a[a[w][slot]].instance != names_b[b[w][slot]].instance ? 1 : 0;
    }
  }
  return moved;
}

RC_GTEST_PROP(AllotmentTest,
              AssignsEverySlotToOneOwnerOnWhichAllInstancesAgree,
              ()) {
  auto demands = *GenDemands();
  const auto workers = MakeWorkers(*rc::gen::inRange(1, 99));
  const auto owners = Assign(workers, demands);
  for (const auto& it : owners) {
    RC_ASSERT(it.size() == 8U);
    RC_ASSERT(std::all_of(it.begin(), it.end(),
                          [&](size_t n) { return n < demands.size(); }));
  }
  auto reversed = demands;
  std::reverse(reversed.begin(), reversed.end());
  RC_ASSERT(CountMovedSlots(owners, demands, Assign(workers, reversed),
                            reversed) == 0U);
}

RC_GTEST_PROP(AllotmentTest,
              AllottedSlotsOfAllInstancesCoverTheFleetWithoutOverlap,
              ()) {
  const auto demands = *GenDemands();
  WorkerList list;
  for (const auto& it : MakeWorkers(*rc::gen::inRange(1, 30))) {
    list.workers.push_back({.service = "cartas", .name = it.name});
  }
  std::vector<uint32_t> sums(list.workers.size(), 0);
  for (const auto& self : demands) {
    Fleet fleet;
    ApplyWorkerList(fleet, list, {});
    AllotSlots(fleet, "cartas", demands, self.instance);
    for (size_t n = 0; n < sums.size(); ++n) {
      sums[n] += fleet.workers[n].allotted_slots;
      RC_ASSERT(fleet.workers[n].max_connections * demands.size() <= 64U);
    }
  }
  RC_ASSERT(
      std::all_of(sums.begin(), sums.end(), [](uint32_t n) { return n == 8; }));
}

RC_GTEST_PROP(AllotmentTest, SharesFollowDemandAndKeepMinimum, ()) {
  const auto demands = *GenDemands();
  const auto workers = MakeWorkers(98);
  const auto owners = Assign(workers, demands);
  const auto total = 98U * 8;
  // No instance can use more than its connections allow.
  const auto reachable =
      98.0 * std::min(8U, ConnectionShare(64, demands.size()));
  auto sum = 0.0;
  for (const auto& it : demands) {
    sum += std::min(it.slots, total);
  }
  for (size_t n = 0; n < demands.size(); ++n) {
    const auto even = 1.0 / static_cast<double>(demands.size());
    const auto by_demand =
        sum > 0 ? std::min(demands[n].slots, total) / sum : even;
    const auto target = total * (0.1 * even + 0.9 * by_demand);
    RC_ASSERT(CountSlotsOwnedBy(owners, n) + 2.0 >=
              std::min(target, reachable));
    RC_ASSERT(CountSlotsOwnedBy(owners, n) >=
              static_cast<size_t>(total * 0.1 * even));
  }
}

RC_GTEST_PROP(AllotmentTest, DemandChangeMovesFewMoreSlotsThanNecessary, ()) {
  const auto demands = *GenDemands();
  const auto workers = MakeWorkers(98);
  auto changed = demands;
  const auto index = *rc::gen::inRange<size_t>(0, demands.size());
  changed[index].slots = *rc::gen::inRange(0, 2000);
  const auto before = ShareSlots(workers, demands);
  const auto after = ShareSlots(workers, changed);
  auto necessary = 0.0;
  for (size_t n = 0; n < before.size(); ++n) {
    necessary += std::abs(static_cast<double>(after[n]) - before[n]) / 2;
  }
  const auto moved = CountMovedSlots(Assign(workers, demands), demands,
                                     Assign(workers, changed), changed);
  RC_ASSERT(moved <= 3 * necessary + 8);
}

TEST(AllotmentTest, LeavingInstanceMovesFewSlotsBesidesItsOwn) {
  std::vector<InstanceDemand> demands;
  demands.reserve(16);
  for (auto n = 0; n < 16; ++n) {
    demands.push_back({"instance-" + std::to_string(n), 40});
  }
  const auto workers = MakeWorkers(98);
  const auto before = Assign(workers, demands);
  const auto all = demands;
  demands.pop_back();
  const auto moved =
      CountMovedSlots(before, all, Assign(workers, demands), demands);
  RecordProperty("moved_slots", static_cast<int>(moved));
  EXPECT_LE(moved, 3U * 49);
}

RC_GTEST_PROP(AllotmentTest, KeptOrderGivesSameOwnersAsNewOrder, ()) {
  SlotOrder kept;
  for (auto n = 0; n < 4; ++n) {
    const auto workers = MakeWorkers(*rc::gen::inRange(1, 4));
    const auto demands = *GenDemands();
    RC_ASSERT(AssignSlots(kept, workers, demands) == Assign(workers, demands));
  }
}

TEST(AllotmentTest, ReportStaysWhileDemandFluctuatesAndFollowsLastingChange) {
  DemandMeter meter;
  Now now;
  auto report = [&](uint32_t slots) {
    now.boot += milliseconds(500);
    return UpdateDemand(meter, slots, now);
  };
  for (auto n = 0; n < 40; ++n) {
    report(100);
  }
  const auto settled = meter.reported;
  EXPECT_NEAR(settled, 100, 25);
  for (auto n = 0; n < 40; ++n) {
    EXPECT_EQ(report(n % 2 == 0 ? 90 : 110), settled);
  }
  for (auto n = 0; n < 10; ++n) {
    report(300);
  }
  EXPECT_NEAR(meter.reported, 300, 61);
}

}  // namespace
}  // namespace boragecroft
