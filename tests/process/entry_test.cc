// Tests of entry instances as real processes on the stand-in of the users'
// platform. They compare the runs that the workers recorded with the answers
// that the callers received.
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <thread>

#include "tests/lab/platform_fleet.h"

namespace boragecroft::lab {
namespace {

struct AnswerCounts {
  std::atomic<int> done{0};
  std::atomic<int> refused{0};
  std::atomic<int> other{0};
};

class EntryInstances : public testing::Test {
 protected:
  EntryInstances() : fleet({"north", "south"}, 2, 4) {}

  void SetUp() override { ASSERT_TRUE(fleet.AwaitService()); }

  // Submits `jobs` jobs of three tasks, one after another, through `instance`.
  auto SubmitThrough(size_t instance, uint64_t first, int jobs) -> void {
    for (auto i = 0; i < jobs; ++i) {
      const auto reply = fleet.Submit(fleet.Instances()[instance],
                                      first + static_cast<uint64_t>(i), 3);
      if (reply.status == 200 && reply.Text("state") == "completed") {
        ++answer_counts.done;
      } else if (reply.status == 503) {
        ++answer_counts.refused;
      } else {
        ++answer_counts.other;
      }
    }
  }

  // Expects that no task ran twice at the same time and that no worker ran more
  // tasks than it has slots, according to the workers' own records.
  auto ExpectNoUnsafeRuns() -> void {
    const auto statistics = fleet.FetchRunStatistics();
    EXPECT_TRUE(statistics.at("twice").as_array().empty()) << statistics;
    EXPECT_EQ(statistics.at("over_room").to_number<int64_t>(), 0) << statistics;
  }

  PlatformFleet fleet;
  AnswerCounts answer_counts;
};

TEST_F(EntryInstances, ServeJobsThroughEveryInstance) {
  const auto before =
      fleet.FetchRunStatistics().at("tasks_done").to_number<int64_t>();
  std::vector<std::thread> callers;
  for (size_t n = 0; n < fleet.Instances().size(); ++n) {
    callers.emplace_back([this, n] { SubmitThrough(n, (n + 1) << 32U, 10); });
  }
  for (auto& it : callers) {
    it.join();
  }
  EXPECT_EQ(answer_counts.done, 40);
  const auto after =
      fleet.FetchRunStatistics().at("tasks_done").to_number<int64_t>();
  EXPECT_EQ(after - before, 120);
  ExpectNoUnsafeRuns();
}

TEST_F(EntryInstances, RunTasksSafelyWhenInstancesAreKilledAndRestarted) {
  std::vector<std::thread> callers;
  for (size_t n = 0; n < fleet.Instances().size(); n += 3) {
    callers.emplace_back([this, n] { SubmitThrough(n, (n + 1) << 32U, 40); });
  }
  for (const size_t n : {1U, 2U}) {
    auto& instance = fleet.Instances()[n];
    instance.process->Kill();
    std::this_thread::sleep_for(milliseconds(700));
    fleet.Start(instance);
  }
  for (auto& it : callers) {
    it.join();
  }
  EXPECT_GT(answer_counts.done, 0);
  ExpectNoUnsafeRuns();
  EXPECT_TRUE(fleet.AwaitService());
}

TEST_F(EntryInstances, AnswerCorrectlyWhenOneStopsAsPlanned) {
  auto& instance = fleet.Instances()[0];
  std::thread caller([this] { SubmitThrough(3, 1ULL << 40U, 40); });
  instance.process->Signal(SIGTERM);
  EXPECT_EQ(instance.process->Wait(seconds(10)), 0);
  fleet.Start(instance);
  caller.join();
  EXPECT_EQ(answer_counts.other, 0);
  ExpectNoUnsafeRuns();
  EXPECT_TRUE(fleet.AwaitService());
}

// Guards against connections that break without an answer: the process ended
// while jobs that outlast the drain were still in progress.
TEST_F(EntryInstances, AnswerJobsThatOutlastTheirPlannedStop) {
  for (const auto* id : {"north-1", "north-2", "north-3", "north-4", "south-1",
                         "south-2", "south-3", "south-4"}) {
    fleet.Control("/worker", {{"id", id}, {"run_ms", 20'000}});
  }
  auto& instance = fleet.Instances()[0];
  auto status = 0;
  std::thread caller([&] {
    status = fleet.Submit(instance, 1ULL << 43U, 3, seconds(30)).status;
  });
  std::this_thread::sleep_for(milliseconds(500));
  instance.process->Signal(SIGTERM);
  EXPECT_EQ(instance.process->Wait(seconds(6)), 0);
  caller.join();
  EXPECT_EQ(status, 504);
  ExpectNoUnsafeRuns();
}

TEST_F(EntryInstances, FailOverWhenStoreIsUnavailable) {
  fleet.Control("/store", {{"mode", "refuses"}});
  // Kills each of the two instances of one zone in turn, because one of them is
  // the group holder.
  for (const size_t n : {0U, 1U}) {
    auto& other = fleet.Instances()[n == 0 ? 1 : 0];
    fleet.Instances()[n].process->Kill();
    auto served = false;
    for (auto i = 0; i < 200 && !served; ++i) {
      served =
          fleet.Submit(other, 0x9000 + static_cast<uint64_t>(n * 1000 + i), 3)
              .status == 200;
    }
    EXPECT_TRUE(served);
    fleet.Control("/store", {{"mode", "up"}});
    fleet.Start(fleet.Instances()[n]);
    EXPECT_TRUE(fleet.AwaitService());
    fleet.Control("/store", {{"mode", "refuses"}});
  }
  fleet.Control("/store", {{"mode", "up"}});
  ExpectNoUnsafeRuns();
}

TEST_F(EntryInstances, ServeJobsWhenWorkersAreUnresponsiveOrRestarted) {
  fleet.Control("/worker", {{"id", "north-1"}, {"mode", "silent"}});
  SubmitThrough(0, 1ULL << 41U, 5);
  fleet.Control("/worker", {{"id", "north-1"}, {"mode", "up"}});
  fleet.Control("/worker", {{"id", "north-2"}, {"mode", "restart"}});
  fleet.Control("/worker", {{"id", "north-3"}, {"mode", "draining"}});
  SubmitThrough(0, 1ULL << 42U, 10);
  EXPECT_GE(answer_counts.done, 10);
  ExpectNoUnsafeRuns();
}

TEST_F(EntryInstances, RejectInvalidRequestsWhenReady) {
  const auto& instance = fleet.Instances()[0];
  const auto send = [&](const std::string& method, const std::string& target,
                        const std::string& body) {
    return Send(instance.callers, method, target, body, seconds(5)).status;
  };
  // A request without the Host header of the route matches no queue.
  EXPECT_EQ(send("POST", "/reminders/0123456789abcdef", "{}"), 404);
  EXPECT_EQ(fleet.Submit(instance, 1, 0).status, 400);
  EXPECT_EQ(Get(instance.readiness, "/readyz").status, 200);
  EXPECT_EQ(Get(instance.metrics, "/metrics").status, 200);
}

}  // namespace
}  // namespace boragecroft::lab
