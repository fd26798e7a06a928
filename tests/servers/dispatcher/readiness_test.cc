// Tests when an instance reports to the load balancer that it is ready for
// work.
#include <gtest/gtest.h>

#include "tests/servers/dispatcher/promise_checks.h"
#include "tests/servers/dispatcher/virtual_callers.h"
#include "tests/servers/dispatcher/virtual_fleet.h"

namespace boragecroft {
namespace {

struct NewInstance : testing::Test {
  std::unique_ptr<VirtualFleet> fleet = MakeFleet(2, 1);

  auto TearDown() -> void override { EXPECT_EQ(CheckAll(*fleet), ""); }

  auto IsReady() const -> bool {
    return MakeCallerView(*fleet->nodes[1].dispatcher, fleet->now)->ready;
  }

  // Advances the time until the instance is ready, up to `limit`, and returns
  // the elapsed time.
  auto ElapseUntilReady(milliseconds limit) -> milliseconds {
    milliseconds elapsed{};
    while (!IsReady() && elapsed < limit) {
      Elapse(*fleet, milliseconds(10));
      elapsed += milliseconds(10);
    }
    return elapsed;
  }
};

TEST_F(NewInstance, IsReadyWhenItCanStartJobs) {
  Kill(*fleet, 1);
  Boot(*fleet, 1);
  EXPECT_LT(ElapseUntilReady(seconds(10)), seconds(10));
  const auto id = FetchId(*fleet, 1).value();
  const auto request = Submit(*fleet, 1, MakeJob(id, 2, "reminders"));
  Elapse(*fleet, seconds(1));
  EXPECT_EQ(ReportedState(*fleet, request), JobState::kDone);
}

// Two seconds suffice for one read of the list and two rounds of heartbeats.
TEST_F(NewInstance, IsReadyWithinTwoSecondsWhenAllInstancesAreNew) {
  Kill(*fleet, 0);
  Kill(*fleet, 1);
  Boot(*fleet, 0);
  Boot(*fleet, 1);
  EXPECT_LE(ElapseUntilReady(seconds(10)), seconds(2));
}

// The new instance has no part of the quotas while the unresponsive member may
// be using all of them.
TEST_F(NewInstance, BecomesReadyAfterTimeoutWhenZoneMemberIsUnresponsive) {
  Kill(*fleet, 0);
  Kill(*fleet, 1);
  Boot(*fleet, 1);
  Elapse(*fleet, seconds(3));
  EXPECT_FALSE(IsReady());
  EXPECT_LT(ElapseUntilReady(seconds(10)), seconds(10));
}

}  // namespace
}  // namespace boragecroft
