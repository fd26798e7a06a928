// Tests of jobs that callers cancel, as real processes on the stand-in of the
// users' platform. Each zone has two instances and one worker of two slots.
#include <gtest/gtest.h>
#include <signal.h>

#include <future>
#include <thread>

#include "tests/lab/platform_fleet.h"

namespace boragecroft::lab {
namespace {

constexpr uint64_t kJob = 0x5c0e7a21d94b36f8;

class CancelledJob : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(fleet.AwaitService());
    for (const auto* id : {"north-1", "south-1"}) {
      fleet.Control("/worker", {{"id", id}, {"run_ms", 600}});
    }
  }

  // Submits a job of six tasks, of which two run at a time.
  auto SubmitLongJob(size_t instance) -> std::future<JsonReply> {
    return std::async(std::launch::async, [this, instance] {
      return fleet.Submit(fleet.Instances()[instance], kJob, 6, seconds(4));
    });
  }

  auto Starts() -> int64_t {
    return fleet.FetchRunStatistics().at("starts").to_number<int64_t>();
  }

  PlatformFleet fleet{{"north", "south"}, 2, 1};
};

// Guards against tasks of a cancelled job that are started for seconds more: a
// cancellation was answered "no such job", and nothing withdrew the job.
TEST_F(CancelledJob, StartsNoMoreTasksWhicheverInstanceWasAsked) {
  for (size_t asked = 0; asked < fleet.Instances().size(); ++asked) {
    SCOPED_TRACE(fleet.Instances()[asked].name);
    const auto before = Starts();
    const auto first = kJob + asked * 16;
    auto reply = std::async(std::launch::async, [&] {
      return fleet.Submit(fleet.Instances()[0], first, 6, seconds(4));
    });
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_GT(Starts(), before);
    EXPECT_EQ(fleet.Cancel(fleet.Instances()[asked], first).status, 200);
    const auto started = Starts();
    const auto answer = reply.get();
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.Text("state"), "cancelled");
    std::this_thread::sleep_for(milliseconds(1500));
    EXPECT_EQ(Starts(), started);
  }
}

TEST_F(CancelledJob, IsNotRunWhenItArrivesAfterItsCancellation) {
  EXPECT_EQ(fleet.Cancel(fleet.Instances()[1], kJob).status, 410);
  const auto before = Starts();
  for (size_t i = 0; i < fleet.Instances().size(); ++i) {
    const auto answer = SubmitLongJob(i).get();
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.Text("state"), "cancelled");
  }
  EXPECT_EQ(Starts(), before);
}

TEST_F(CancelledJob, IsNotReportedAsUnknownWhileHolderIsSuspended) {
  // One of the two instances of the north is the holder.
  for (const size_t i : {0U, 1U}) {
    fleet.Instances()[i].process->Signal(SIGSTOP);
  }
  EXPECT_EQ(fleet.Cancel(fleet.Instances()[2], kJob).status, 503);
  for (const size_t i : {0U, 1U}) {
    fleet.Instances()[i].process->Signal(SIGCONT);
  }
}

// A zone whose holder can be cut off from the other instance, which is the
// origin of a job, and from the store.
class JobOfHolderThatIsCutOff : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(fleet.AwaitService());
    fleet.Control("/worker", {{"id", "north-1"}, {"run_ms", 600}});
  }

  PlatformFleet fleet{{"north"}, 2, 1, FleetNetwork::kRelayed};
};

// Guards against a job that is started anew after its cancellation was
// acknowledged: its origin, which knew of no cancellation, handed it to the
// next holder.
TEST_F(JobOfHolderThatIsCutOff, IsNotReportedAsCancelled) {
  const auto holder = fleet.FindHolder("north");
  const auto& origin = fleet.Instances()[1 - holder];
  auto reply = std::async(std::launch::async, [&] {
    return fleet.Submit(origin, kJob, 6, seconds(5));
  });
  std::this_thread::sleep_for(milliseconds(300));
  fleet.CutOff(fleet.Instances()[holder]);
  EXPECT_EQ(fleet.Cancel(fleet.Instances()[holder], kJob).status, 503);
  {
    SCOPED_TRACE("nor as unknown, although the holder has ended it");
    EXPECT_EQ(fleet.Cancel(fleet.Instances()[holder], kJob).status, 503);
  }
  fleet.Reconnect(fleet.Instances()[holder]);
  {
    SCOPED_TRACE("its origin can cancel it");
    EXPECT_EQ(fleet.Cancel(origin, kJob).status, 200);
    EXPECT_EQ(reply.get().Text("state"), "cancelled");
  }
}

}  // namespace
}  // namespace boragecroft::lab
