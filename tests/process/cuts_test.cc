// Availability zones are cut off from each other and from the platform: each
// serves what it can, and afterwards records and configuration agree.
#include "tests/process/story.h"

namespace boragecroft::lab {
namespace {

constexpr milliseconds kNotice{15000};

auto WithLinks() -> ClusterOptions {
  auto options = StoryOptions();
  options.zones = {"bilbao", "santander"};
  options.links = true;
  return options;
}

class ZonesBehindLinks : public Story {
 protected:
  ZonesBehindLinks() : Story(WithLinks()) {}

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

  // An id of one instance can be submitted through the other.
  auto AreJoined() -> bool {
    auto joined = true;
    for (size_t i = 0; i < 2; ++i) {
      const auto job = NewJob(i, 1, 10);
      joined = joined &&
               Submit(Callers(1 - i), job, seconds(2)).Text("state") == "done";
    }
    return joined;
  }
};

TEST_F(ZonesBehindLinks, ServeOnWhileTheyAreCutAndAgreeAfterwards) {
  ASSERT_TRUE(Eventually(kNotice, [&] { return AreJoined(); }));
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
  // The other side does not know how this job stands, and starts nothing.
  const auto through_cut = Submit(Callers(1), shared, seconds(1));
  EXPECT_NE(through_cut.Text("state"), "refused") << through_cut.Text("reason");
  SetLinks("open");
  EXPECT_TRUE(Eventually(kNotice, [&] { return AreJoined(); }));
  jobs.push_back(shared);
  const auto counts = cluster.CountStarts();
  for (const auto& it : jobs) {
    const auto answer = ExpectOneAnswer(cluster, {0, 1}, it.id, it.partner);
    EXPECT_EQ(answer.Text("state"), "done");
    ExpectTrue(answer, counts, it);
  }
  EXPECT_GT(counts.total, before);
  EXPECT_EQ(counts.double_starts, 0);
}

TEST_F(ZonesBehindLinks, CutFromThePlatformTooStillServe) {
  ASSERT_TRUE(Eventually(kNotice, [&] { return AreJoined(); }));
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
    EXPECT_TRUE(Eventually(kNotice, [&] {
      return Get(Operators(i), "/v1/configuration").Number("version") ==
             version + 1;
    }));
  }
  EXPECT_TRUE(Eventually(kNotice, [&] { return AreJoined(); }));
  for (const auto& it : jobs) {
    const auto answer = ExpectOneAnswer(cluster, {0, 1}, it.id, it.partner);
    EXPECT_EQ(answer.Text("state"), "done");
  }
}

TEST_F(ZonesBehindLinks, CutInOneDirectionStartNothingTwice) {
  ASSERT_TRUE(Eventually(kNotice, [&] { return AreJoined(); }));
  const auto job = NewJob(0, 20, 50);
  cluster.ControlLinks("bilbao", "santander", "cut");
  // The relayed request arrives, its answer does not.
  Submit(Callers(1), job, seconds(1));
  Submit(Callers(1), job, seconds(1));
  SetLinks("open");
  EXPECT_TRUE(Eventually(kNotice, [&] { return AreJoined(); }));
  Submit(Callers(1), job, seconds(1));
  const auto answer = ExpectOneAnswer(cluster, {0, 1}, job.id, job.partner);
  EXPECT_EQ(answer.Text("state"), "done") << answer.Text("reason");
  ExpectTrue(answer, cluster.CountStarts(), job);
}

TEST_F(ZonesBehindLinks, NoticeConnectionsThatWentSilent) {
  ASSERT_TRUE(Eventually(kNotice, [&] { return AreJoined(); }));
  SetLinks("silent");
  EXPECT_TRUE(
      Eventually(milliseconds(kNotice * 2), [&] { return AreJoined(); }));
  EXPECT_EQ(cluster.CountStarts().double_starts, 0);
}

}  // namespace
}  // namespace boragecroft::lab
