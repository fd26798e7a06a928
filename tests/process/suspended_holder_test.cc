// Tests of a group holder that is suspended, as real processes on the stand-in
// of the users' platform.
#include <gtest/gtest.h>
#include <signal.h>

#include <array>
#include <thread>
#include <vector>

#include "tests/lab/platform_fleet.h"

namespace boragecroft::lab {
namespace {

// One instance and one worker of two slots in each zone, so that nobody takes
// over from an instance that is suspended for 3 s.
class SuspendedHolder : public testing::Test {
 protected:
  static constexpr milliseconds kDeadline{1500};
  // After this time a caller without an answer sends its job again.
  static constexpr milliseconds kRetransmit{1300};

  void SetUp() override {
    ASSERT_TRUE(fleet.AwaitService());
    for (const auto* id : {"north-1", "south-1"}) {
      fleet.Control("/worker", {{"id", id}, {"run_ms", 600}});
    }
  }

  // Submits two jobs of two tasks through the instance of the south; one of
  // them may fill the south, so that the other one goes to the north. Returns
  // those that were not served.
  auto SubmitTwoJobs() -> std::vector<uint64_t> {
    std::array<int, 2> statuses{};
    std::vector<std::thread> callers;
    for (size_t i = 0; i < statuses.size(); ++i) {
      callers.emplace_back([&, i] {
        statuses[i] =
            fleet.Submit(fleet.Instances()[1], i + 1, 2, kDeadline).status;
      });
      std::this_thread::sleep_for(milliseconds(40));
    }
    std::vector<uint64_t> unserved;
    for (size_t i = 0; i < statuses.size(); ++i) {
      callers[i].join();
      if (statuses[i] != 200) {
        unserved.push_back(i + 1);
      }
    }
    return unserved;
  }

  PlatformFleet fleet{{"north", "south"}, 1, 1};
};

// Guards against two runs of one task: a holder that was suspended started a
// job that waited in its connection, although the origin instance had given it
// up and its caller had sent it again.
TEST_F(SuspendedHolder, DoesNotStartJobsThatWaitedInItsConnections) {
  auto& north = *fleet.Instances()[0].process;
  north.Signal(SIGSTOP);
  const auto unserved = SubmitTwoJobs();
  ASSERT_FALSE(unserved.empty());
  std::this_thread::sleep_for(kRetransmit);
  std::thread caller([&] {
    fleet.Submit(fleet.Instances()[1], unserved.front(), 2, kDeadline);
  });
  std::this_thread::sleep_for(milliseconds(200));
  north.Signal(SIGCONT);
  caller.join();
  const auto statistics = fleet.FetchRunStatistics();
  EXPECT_TRUE(statistics.at("twice").as_array().empty()) << statistics;
}

}  // namespace
}  // namespace boragecroft::lab
