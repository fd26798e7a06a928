// Guards against errors that callers see during a planned stop (SIGTERM), also
// when all instances are stopped and restarted one after another under load.
#include <signal.h>

#include <array>
#include <atomic>
#include <boost/json/serialize.hpp>
#include <thread>

#include "tests/process/process_fixture.h"

namespace boragecroft::lab {
namespace {

auto TwoInstancesPerZone(milliseconds balancer_grace) -> ClusterOptions {
  auto options = MakeFixtureOptions(balancer_grace);
  options.zones = {"bilbao", "santander"};
  options.instances_per_zone = 2;
  return options;
}

class PlannedStop : public ProcessFixture {
 protected:
  explicit PlannedStop(milliseconds balancer_grace = milliseconds(300))
      : ProcessFixture(TwoInstancesPerZone(balancer_grace)) {}

  auto StopGracefully(size_t index) -> void {
    cluster.Instances()[index].process->Signal(SIGTERM);
    EXPECT_EQ(cluster.Instances()[index].process->Wait(seconds(20)), 0);
  }
};

class RollingPlannedStop : public PlannedStop {
 protected:
  // Load balancers remove an instance that is not ready within seconds, so an
  // instance that stops waits 3 s for them.
  RollingPlannedStop() : PlannedStop(seconds(3)) {}

  // Returns the first instance from `first` on that reports ready, as a load
  // balancer does.
  auto FindReadyInstance(size_t first) -> Address {
    for (auto i = first;; ++i) {
      auto server = Callers(i % 4);
      if (Get(server, "/readyz", seconds(1)).status == 200) {
        return server;
      }
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  // Fetches an id from one instance and submits a job with that id through
  // another, without retries. Returns an empty string when the job is done, or
  // else the status and body that the caller received.
  auto ServeOneJob(size_t first) -> std::string {
    JobSpec job;
    job.run_ms = 100;
    const auto ids = MintIds(FindReadyInstance(first), job.partner, 1);
    if (ids.empty()) {
      return "no id";
    }
    job.id = ids.front();
    const auto reply = Submit(FindReadyInstance(first + 1), job, seconds(10));
    return reply.Text("state") == "done"
               ? std::string()
               : std::to_string(reply.status) + " " +
                     boost::json::serialize(reply.body);
  }
};

TEST_F(RollingPlannedStop, CausesNoCallerErrors) {
  std::atomic<bool> stopping = false;
  std::atomic<int> served = 0;
  std::array<std::vector<std::string>, 4> errors;
  std::vector<std::thread> callers;
  for (size_t i = 0; i < errors.size(); ++i) {
    callers.emplace_back([&, i] {
      for (auto n = i; !stopping; ++n) {
        auto error = ServeOneJob(n);
        error.empty() ? void(++served) : errors[i].push_back(std::move(error));
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
  for (const auto& caller : errors) {
    for (const auto& it : caller) {
      ADD_FAILURE() << it;
    }
  }
  EXPECT_EQ(cluster.CountStarts().double_starts, 0);
}

TEST_F(PlannedStop, LeavesUnusedIdsToSuccessor) {
  const auto job = NewJob(0, 3, 20);
  StopGracefully(0);
  JsonReply reply;
  EXPECT_TRUE(Eventually(seconds(10), [&] {
    reply = Submit(Callers(2), job, seconds(2));
    return IsFinal(reply);
  }));
  EXPECT_EQ(reply.Text("state"), "done") << reply.Text("reason");
  ExpectAnswerMatchesStarts(reply, cluster.CountStarts(), job);
}

TEST_F(PlannedStop, FinishesAcceptedJobs) {
  const auto job = NewJob(0, 64, 200);
  ASSERT_EQ(Submit(Callers(0), job).status, 202);
  StopGracefully(0);
  const auto answer =
      ExpectSameFinalAnswer(cluster, {1, 2, 3}, job.id, job.partner);
  EXPECT_EQ(answer.Text("state"), "done") << answer.Text("reason");
  ExpectAnswerMatchesStarts(answer, cluster.CountStarts(), job);
}

}  // namespace
}  // namespace boragecroft::lab
