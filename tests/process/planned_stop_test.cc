// Every instance is stopped as planned, one after another, under load: no
// caller sees an error that it need not see.
#include <signal.h>

#include <atomic>
#include <thread>

#include "tests/process/story.h"

namespace boragecroft::lab {
namespace {

auto TwoPerZone() -> ClusterOptions {
  auto options = StoryOptions();
  options.zones = {"bilbao", "santander"};
  options.instances_per_zone = 2;
  return options;
}

class APlannedStop : public Story {
 protected:
  APlannedStop() : Story(TwoPerZone()) {}

  auto StopGracefully(size_t index) -> void {
    cluster.Instances()[index].process->Signal(SIGTERM);
    EXPECT_EQ(cluster.Instances()[index].process->Wait(seconds(20)), 0);
  }

  // One job through a ready instance, as a balancer would choose it, and on
  // failure through the next one under the same id.
  auto ServeOne(size_t first) -> bool {
    JobSpec job;
    for (size_t i = 0; i < 400; ++i) {
      const auto server = Callers((first + i) % 4);
      if (job.id.empty()) {
        const auto ready = Get(server, "/readyz", seconds(1)).status == 200;
        const auto ids = ready ? MintIds(server, job.partner, 1)
                               : std::vector<std::string>();
        job.id = ids.empty() ? std::string() : ids.front();
      }
      if (job.id.empty()) {
        std::this_thread::sleep_for(milliseconds(20));
        continue;
      }
      job.run_ms = 100;
      const auto reply = Submit(server, job, seconds(5));
      if (reply.Text("state") == "done") {
        return true;
      }
      if (reply.Text("state") == "failed") {
        ADD_FAILURE() << reply.Text("reason");
        return false;
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
  }
};

TEST_F(APlannedStop, OfEveryInstanceInTurnCutsNoRequest) {
  std::atomic<bool> stopping = false;
  std::atomic<int> served = 0;
  std::atomic<int> lost = 0;
  std::vector<std::thread> callers;
  for (size_t i = 0; i < 4; ++i) {
    callers.emplace_back([&, i] {
      for (auto n = i; !stopping; ++n) {
        ++(ServeOne(n) ? served : lost);
      }
    });
  }
  for (size_t i = 0; i < 4; ++i) {
    StopGracefully(i);
    cluster.Restart(i);
  }
  stopping = true;
  for (auto& it : callers) {
    it.join();
  }
  EXPECT_GT(served, 0);
  EXPECT_EQ(lost, 0);
  EXPECT_EQ(cluster.CountStarts().double_starts, 0);
}

TEST_F(APlannedStop, LeavesUnusedIdsToASuccessor) {
  const auto job = NewJob(0, 3, 20);
  StopGracefully(0);
  JsonReply reply;
  EXPECT_TRUE(Eventually(seconds(10), [&] {
    reply = Submit(Callers(2), job, seconds(2));
    return IsFinal(reply);
  }));
  EXPECT_EQ(reply.Text("state"), "done") << reply.Text("reason");
  ExpectTrue(reply, cluster.CountStarts(), job);
}

TEST_F(APlannedStop, FinishesWhatItAccepted) {
  const auto job = NewJob(0, 64, 200);
  ASSERT_EQ(Submit(Callers(0), job).status, 202);
  StopGracefully(0);
  const auto answer = ExpectOneAnswer(cluster, {1, 2, 3}, job.id, job.partner);
  EXPECT_EQ(answer.Text("state"), "done") << answer.Text("reason");
  ExpectTrue(answer, cluster.CountStarts(), job);
}

}  // namespace
}  // namespace boragecroft::lab
