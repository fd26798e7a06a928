// Tests of partitions between the two instances of a zone, as real processes on
// the stand-in of the users' platform. Both still reach the workers.
#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <thread>

#include "tests/lab/platform_fleet.h"

namespace boragecroft::lab {
namespace {

constexpr auto kZone = "north";

class TwoInstancesOfZone : public testing::Test {
 protected:
  // The holder's row names a new successor after this time.
  static constexpr milliseconds kRowUpdate{2500};
  // Longer than a takeover without the store takes, and than a fenced holder
  // waits before it takes the group back.
  static constexpr milliseconds kPartition{9000};

  void SetUp() override {
    ASSERT_TRUE(fleet.AwaitService());
    fleet.Control("/worker", {{"id", "north-1"}, {"run_ms", 150}});
    fleet.Control("/worker", {{"id", "north-2"}, {"run_ms", 150}});
    for (size_t i = 0; i < fleet.Instances().size(); ++i) {
      callers.emplace_back([this, i] { SubmitJobs(i); });
      callers.emplace_back([this, i] { SubmitJobs(i); });
    }
    std::this_thread::sleep_for(kRowUpdate);
  }

  void TearDown() override { StopCallers(); }

  auto SubmitJobs(size_t instance) -> void {
    while (!stopped) {
      const auto status =
          fleet.Submit(fleet.Instances()[instance], ++last_job, 2, seconds(1))
              .status;
      served += status == 200 ? 1 : 0;
      if (status != 200) {
        std::this_thread::sleep_for(milliseconds(20));
      }
    }
  }

  auto StopCallers() -> void {
    stopped = true;
    for (auto& it : callers) {
      it.join();
    }
    callers.clear();
  }

  // Expects that no task ran twice at the same time, that no worker ran more
  // tasks than it has slots, and that no two processes held a group with the
  // same token.
  auto ExpectOneHolderForEachToken() -> void {
    const auto statistics = fleet.FetchRunStatistics();
    EXPECT_TRUE(statistics.at("twice").as_array().empty()) << statistics;
    EXPECT_EQ(statistics.at("over_room").to_number<int64_t>(), 0) << statistics;
    std::map<uint64_t, std::string> holders;
    for (const auto& it : fleet.HeldTerms()) {
      const auto [known, added] = holders.try_emplace(it.token, it.instance);
      EXPECT_EQ(known->second, it.instance) << "token " << it.token;
    }
  }

  PlatformFleet fleet{{kZone}, 2, 2, FleetNetwork::kRelayed};
  std::vector<std::thread> callers;
  std::atomic<uint64_t> last_job{0};
  std::atomic<int> served{0};
  std::atomic<bool> stopped{false};
};

// Guards against two holders with one token, and so against tasks beyond a
// worker's capacity: a successor that was cut off took over with the token
// reserved for it, and the former holder took the group back with the same one.
TEST_F(TwoInstancesOfZone, NeverShareTokenWhenSuccessorIsCutOff) {
  auto& successor = fleet.Instances()[1 - fleet.FindHolder(kZone)];
  fleet.CutOff(successor);
  std::this_thread::sleep_for(kPartition);
  fleet.Reconnect(successor);
  std::this_thread::sleep_for(seconds(2));
  StopCallers();
  EXPECT_GT(served, 0);
  EXPECT_GT(fleet.HeldTerms().size(), 2U);
  ExpectOneHolderForEachToken();
}

// Guards against a group that can't change hands any more after its row was
// deleted: every conditional write named the version of the deleted row.
TEST_F(TwoInstancesOfZone, TakeOverAfterGroupRowIsDeleted) {
  fleet.Control("/row-drop", {{"table", "boragecroft-groups"}, {"key", kZone}});
  std::this_thread::sleep_for(kRowUpdate);
  const auto holder = fleet.FindHolder(kZone);
  fleet.Instances()[holder].process->Kill();
  std::this_thread::sleep_for(seconds(1));
  StopCallers();
  EXPECT_EQ(fleet.Submit(fleet.Instances()[1 - holder], ++last_job, 2).status,
            200);
  ExpectOneHolderForEachToken();
}

}  // namespace
}  // namespace boragecroft::lab
