// Guards against a configuration that reverts or differs between instances:
// after two operators write at the same time, in a platform outage, after a
// stale read and after a lost answer.
#include <fstream>
#include <future>
#include <sstream>
#include <thread>

#include "tests/process/process_fixture.h"

namespace boragecroft::lab {
namespace {

class ConfigurationAcrossInstances : public ProcessFixture {
 protected:
  // Writes the deployment's declarations with another weight for one partner to
  // a file and returns its path.
  auto WriteFileWithWeight(int weight) -> std::string {
    std::stringstream text;
    text << std::ifstream(std::string(BORAGECROFT_DEPLOY) +
                          "/cartas/declarations.jsonc")
                .rdbuf();
    auto document = text.str();
    const std::string before = "\"team\": \"portal\", \"weight\": 4";
    const auto at = document.find(before);
    EXPECT_NE(at, std::string::npos);
    document.replace(
        at, before.size(),
        "\"team\": \"portal\", \"weight\": " + std::to_string(weight));
    auto file =
        cluster.Folder() + "/weight-" + std::to_string(weight) + ".jsonc";
    std::ofstream(file) << document;
    return file;
  }

  auto VersionAt(size_t index) -> int64_t {
    return Get(Operators(index), "/v1/configuration").Number("version");
  }

  auto WeightAt(size_t index) -> int64_t {
    const auto reply = Get(Operators(index), "/v1/configuration");
    if (reply.status != 200 || !reply.body.at("document").is_object()) {
      return 0;
    }
    for (const auto& it : reply.body.at("document").at("partners").as_array()) {
      if (it.at("name").as_string() == "agents") {
        return it.at("weight").to_number<int64_t>();
      }
    }
    return 0;
  }

  auto ExpectVersionOnAllInstances(int64_t version) -> void {
    for (size_t i = 0; i < cluster.Instances().size(); ++i) {
      EXPECT_TRUE(
          Eventually(seconds(10), [&] { return VersionAt(i) == version; }))
          << cluster.Instances()[i].name << " has " << VersionAt(i);
    }
  }
};

TEST_F(ConfigurationAcrossInstances, AcceptsExactlyOneOfTwoConcurrentUpdates) {
  const auto expected = VersionAt(0);
  const std::vector<std::string> options = {"--expected-version",
                                            std::to_string(expected)};
  const auto apply = [&](size_t index, int weight) {
    return std::async(std::launch::async, [this, index, options,
                                           file = WriteFileWithWeight(weight)] {
      return cluster.Apply(file, index, options);
    });
  };
  auto first = apply(0, 7);
  auto second = apply(1, 8);
  const auto codes = std::pair(first.get(), second.get());
  EXPECT_TRUE(codes == std::pair(0, 1) || codes == std::pair(1, 0))
      << codes.first << " " << codes.second;
  ExpectVersionOnAllInstances(expected + 1);
  const auto weight = codes.first == 0 ? 7 : 8;
  for (size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(WeightAt(i), weight);
  }
}

TEST_F(ConfigurationAcrossInstances, IsLoadedFromPeersWhenPlatformIsDown) {
  ASSERT_EQ(cluster.Apply(WriteFileWithWeight(9)), 0);
  const auto version = VersionAt(0);
  ExpectVersionOnAllInstances(version);
  cluster.ControlPlatform({{"mode", "down"}});
  cluster.Restart(1, false);
  // Without the platform's list of workers the instance is not ready, but it
  // knows the configuration that is in force.
  EXPECT_TRUE(Eventually(seconds(10), [&] { return VersionAt(1) == version; }));
  EXPECT_EQ(WeightAt(1), 9);
  cluster.ControlPlatform({{"mode", "up"}});
  EXPECT_TRUE(cluster.WaitUntilReady(1));
  EXPECT_EQ(VersionAt(1), version);
}

TEST_F(ConfigurationAcrossInstances, DoesNotRevertWhenReplicaIsStale) {
  const auto before = VersionAt(0);
  // This call updates the replica for the last time.
  cluster.ControlPlatform({{"mode", "up"}});
  ASSERT_EQ(cluster.Apply(WriteFileWithWeight(5)), 0);
  ExpectVersionOnAllInstances(before + 1);
  boost::json::object control;
  control["zone"] = "santander";
  control["mode"] = "stale_reads";
  control["keep_replica"] = true;
  cluster.ControlPlatform(control);
  cluster.Restart(1, false);
  EXPECT_TRUE(cluster.WaitUntilReady(1));
  ExpectVersionOnAllInstances(before + 1);
  for (auto i = 0; i < 20; ++i) {
    EXPECT_EQ(VersionAt(0), before + 1);
    EXPECT_EQ(VersionAt(1), before + 1);
    std::this_thread::sleep_for(milliseconds(50));
  }
}

TEST_F(ConfigurationAcrossInstances, TakesEffectOnceWhenWriteAnswerIsLost) {
  const auto before = VersionAt(0);
  boost::json::object control;
  control["zone"] = cluster.Instances()[0].zone;
  control["mode"] = "lose_answers";
  cluster.ControlPlatform(control);
  const auto code = cluster.Apply(WriteFileWithWeight(6));
  EXPECT_TRUE(code == 0 || code == 4) << code;
  control["mode"] = "up";
  cluster.ControlPlatform(control);
  ExpectVersionOnAllInstances(before + 1);
  EXPECT_EQ(WeightAt(2), 6);
}

}  // namespace
}  // namespace boragecroft::lab
