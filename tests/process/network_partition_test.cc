// Guards against lost service and diverging state in a network partition, when
// availability zones cannot reach each other or the platform. Each zone serves
// the jobs that it can; after the partition, records and configuration agree.
#include "tests/process/process_fixture.h"

namespace boragecroft::lab {
namespace {

constexpr milliseconds kRecoveryTimeout{15000};

auto LinkedZoneOptions() -> ClusterOptions {
  auto options = MakeFixtureOptions();
  options.zones = {"bilbao", "santander"};
  options.links = true;
  return options;
}

class NetworkPartition : public ProcessFixture {
 protected:
  NetworkPartition() : ProcessFixture(LinkedZoneOptions()) {}

  auto SetLinks(const std::string& mode) -> void {
    cluster.ControlLinks("*", "*", mode);
  }

  auto PeerState(size_t index, const std::string& name) -> std::string {
    const auto reply = Get(Operators(index), "/v1/instances");
    for (const auto& it : reply.body.at("instances").as_array()) {
      if (it.at("instance").as_string() == name) {
        return std::string(it.at("state").as_string());
      }
    }
    return {};
  }

  auto Counter(size_t index, const std::string& name) -> int64_t {
    const auto reply = Get(Operators(index), "/v1/dump");
    return reply.body.at("counters").at(name).to_number<int64_t>();
  }

  // Reports whether a job with an id of either instance is done when it is
  // submitted through the other one.
  auto CanSubmitBothWays() -> bool {
    auto succeeded = true;
    for (size_t i = 0; i < 2; ++i) {
      const auto job = NewJob(i, 1, 10);
      succeeded =
          succeeded &&
          Submit(Callers(1 - i), job, seconds(2)).Text("state") == "done";
    }
    return succeeded;
  }
};

TEST_F(NetworkPartition, LeavesBothZonesServingAndConsistentAfterwards) {
  ASSERT_TRUE(
      Eventually(kRecoveryTimeout, [&] { return CanSubmitBothWays(); }));
  const auto before = cluster.CountStarts().total;
  const auto shared = NewJob(0, 40, 100);
  ASSERT_EQ(Submit(Callers(0), shared).status, 202);
  SetLinks("cut");
  std::vector<JobSpec> jobs;
  for (size_t i = 0; i < 10; ++i) {
    jobs.push_back(NewJob(i % 2, 4, 50));
    EXPECT_EQ(Submit(Callers(i % 2), jobs.back(), seconds(5)).Text("state"),
              "done");
  }
  // The other zone does not know the state of this job. It must neither refuse
  // the job nor start its tasks.
  const auto reply_during_partition = Submit(Callers(1), shared, seconds(1));
  EXPECT_NE(reply_during_partition.Text("state"), "refused")
      << reply_during_partition.Text("reason");
  SetLinks("open");
  EXPECT_TRUE(
      Eventually(kRecoveryTimeout, [&] { return CanSubmitBothWays(); }));
  jobs.push_back(shared);
  const auto counts = cluster.CountStarts();
  for (const auto& it : jobs) {
    const auto answer =
        ExpectSameFinalAnswer(cluster, {0, 1}, it.id, it.partner);
    EXPECT_EQ(answer.Text("state"), "done");
    ExpectAnswerMatchesStarts(answer, counts, it);
  }
  EXPECT_GT(counts.total, before);
  EXPECT_EQ(counts.double_starts, 0);
}

TEST_F(NetworkPartition, LeavesZoneServingWhenPlatformIsUnreachableToo) {
  ASSERT_TRUE(
      Eventually(kRecoveryTimeout, [&] { return CanSubmitBothWays(); }));
  SetLinks("cut");
  boost::json::object control;
  control["zone"] = "santander";
  control["mode"] = "silent";
  cluster.ControlPlatform(control);
  const auto version = Get(Operators(0), "/v1/configuration").Number("version");
  ASSERT_EQ(cluster.Apply(std::string(BORAGECROFT_DEPLOY) +
                          "/cartas/declarations.jsonc"),
            0);
  std::vector<JobSpec> jobs;
  for (auto i = 0; i < 6; ++i) {
    jobs.push_back(NewJob(1, 4, 50));
    EXPECT_EQ(Submit(Callers(1), jobs.back(), seconds(8)).Text("state"),
              "done");
  }
  control["mode"] = "up";
  cluster.ControlPlatform(control);
  SetLinks("open");
  for (size_t i = 0; i < 2; ++i) {
    EXPECT_TRUE(Eventually(kRecoveryTimeout, [&] {
      return Get(Operators(i), "/v1/configuration").Number("version") ==
             version + 1;
    }));
  }
  EXPECT_TRUE(
      Eventually(kRecoveryTimeout, [&] { return CanSubmitBothWays(); }));
  for (const auto& it : jobs) {
    const auto answer =
        ExpectSameFinalAnswer(cluster, {0, 1}, it.id, it.partner);
    EXPECT_EQ(answer.Text("state"), "done");
  }
}

TEST_F(NetworkPartition, StartsNoTaskTwiceWhenOneWay) {
  ASSERT_TRUE(
      Eventually(kRecoveryTimeout, [&] { return CanSubmitBothWays(); }));
  const auto job = NewJob(0, 20, 50);
  cluster.ControlLinks("bilbao", "santander", "cut");
  // The relayed request arrives at the owner, but the answer is lost.
  Submit(Callers(1), job, seconds(1));
  Submit(Callers(1), job, seconds(1));
  SetLinks("open");
  EXPECT_TRUE(
      Eventually(kRecoveryTimeout, [&] { return CanSubmitBothWays(); }));
  Submit(Callers(1), job, seconds(1));
  const auto answer =
      ExpectSameFinalAnswer(cluster, {0, 1}, job.id, job.partner);
  EXPECT_EQ(answer.Text("state"), "done") << answer.Text("reason");
  ExpectAnswerMatchesStarts(answer, cluster.CountStarts(), job);
}

TEST_F(NetworkPartition, IsDetectedWhenConnectionsStall) {
  ASSERT_TRUE(
      Eventually(kRecoveryTimeout, [&] { return CanSubmitBothWays(); }));
  SetLinks("silent");
  EXPECT_TRUE(Eventually(milliseconds(kRecoveryTimeout * 2),
                         [&] { return CanSubmitBothWays(); }));
  EXPECT_EQ(cluster.CountStarts().double_starts, 0);
}

}  // namespace
}  // namespace boragecroft::lab
