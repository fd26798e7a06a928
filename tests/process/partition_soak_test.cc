// A soak of entry instances as real processes: partitions, suspensions, kills
// and outages of the store overlap at random, beside callers that send jobs
// again. BORAGECROFT_SEED sets the seed and BORAGECROFT_SOAK_SECONDS the time.
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <cstdlib>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include "tests/lab/platform_fleet.h"

namespace boragecroft::lab {
namespace {

auto NumberFromEnvironment(const char* name, uint64_t otherwise) -> uint64_t {
  const auto* text = std::getenv(name);
  return text == nullptr ? otherwise : std::stoull(text);
}

class PartitionSoak : public testing::Test {
 protected:
  // A caller without an answer sends its job again after this time.
  static constexpr milliseconds kRetransmit{1300};
  static constexpr milliseconds kDeadline{1500};

  void SetUp() override {
    ASSERT_TRUE(fleet.AwaitService());
    for (const auto* id : {"north-1", "north-2", "south-1", "south-2"}) {
      fleet.Control("/worker", {{"id", id}, {"run_ms", 200}});
    }
    for (uint64_t i = 0; i < 8; ++i) {
      callers.emplace_back([this, i] { SubmitJobs(i); });
    }
  }

  void TearDown() override { StopCallers(); }

  // Submits jobs one after another to random instances. A job that was not
  // answered is sent again with its name, to another instance.
  auto SubmitJobs(uint64_t caller) -> void {
    std::mt19937_64 random(seed * 100 + caller);
    while (!stopped) {
      const auto name = ++last_job;
      for (auto i = 0; i < 3 && !stopped; ++i) {
        const auto status =
            fleet.Submit(CopyOf(random() % 4), name, 2, kDeadline).status;
        served += status == 200 ? 1 : 0;
        if (status == 200 || status == 503 || status == 429) {
          break;
        }
        std::this_thread::sleep_for(kRetransmit);
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
  }

  // Returns the addresses of an instance that may be restarting.
  auto CopyOf(size_t instance) -> EntryProcess {
    const std::lock_guard lock(mutex);
    EntryProcess copy;
    copy.callers = fleet.Instances()[instance].callers;
    return copy;
  }

  auto StopCallers() -> void {
    stopped = true;
    for (auto& it : callers) {
      it.join();
    }
    callers.clear();
  }

  auto Wait(std::mt19937_64& random, uint64_t most_ms) -> void {
    std::this_thread::sleep_for(milliseconds(50 + random() % most_ms));
  }

  // Disrupts one instance again and again, until `end`.
  auto DisruptInstance(size_t number, Instant end) -> void {
    std::mt19937_64 random(seed * 1000 + number);
    auto& instance = fleet.Instances()[number];
    while (BootClock::now() < end) {
      Wait(random, 4000);
      switch (random() % 5) {
        case 0:
          instance.process->Signal(SIGSTOP);
          Wait(random, 4000);
          instance.process->Signal(SIGCONT);
          break;
        case 1:
          Restart(random, instance, SIGKILL);
          break;
        case 2:
          Restart(random, instance, SIGTERM);
          break;
        default:
          fleet.CutOff(instance);
          Wait(random, 8000);
          fleet.Reconnect(instance);
          break;
      }
    }
  }

  auto Restart(std::mt19937_64& random, EntryProcess& instance, int signal)
      -> void {
    instance.process->Signal(signal);
    if (!instance.process->Wait(seconds(7))) {
      instance.process->Kill();
    }
    Wait(random, 1500);
    const std::lock_guard lock(mutex);
    fleet.Start(instance);
  }

  auto DisruptStore(Instant end) -> void {
    std::mt19937_64 random(seed * 1000 + 99);
    while (BootClock::now() < end) {
      Wait(random, 6000);
      fleet.Control("/store",
                    {{"mode", random() % 2 == 0 ? "refuses" : "silent"}});
      Wait(random, 3000);
      fleet.Control("/store", {{"mode", "up"}});
    }
  }

  const uint64_t seed = NumberFromEnvironment("BORAGECROFT_SEED", 20261207);
  const seconds time{NumberFromEnvironment("BORAGECROFT_SOAK_SECONDS", 25)};
  PlatformFleet fleet{{"north", "south"}, 2, 2, FleetNetwork::kRelayed};
  std::mutex mutex;
  std::vector<std::thread> callers;
  std::atomic<uint64_t> last_job{0};
  std::atomic<int> served{0};
  std::atomic<bool> stopped{false};
};

// Guards against two runs of a task, tasks beyond a worker's capacity, and
// fencing tokens of two processes, in orders of events that nobody thought of.
TEST_F(PartitionSoak, BreaksNoRule) {
  const auto end = BootClock::now() + time;
  std::vector<std::thread> disruptions;
  for (size_t i = 0; i < fleet.Instances().size(); ++i) {
    disruptions.emplace_back([this, i, end] { DisruptInstance(i, end); });
  }
  disruptions.emplace_back([this, end] { DisruptStore(end); });
  for (auto& it : disruptions) {
    it.join();
  }
  StopCallers();
  EXPECT_TRUE(fleet.AwaitService());
  EXPECT_GT(served, 0);
  const auto statistics = fleet.FetchRunStatistics();
  EXPECT_TRUE(statistics.at("twice").as_array().empty()) << statistics;
  EXPECT_EQ(statistics.at("over_room").to_number<int64_t>(), 0) << statistics;
  std::map<std::pair<std::string, uint64_t>, std::string> holders;
  for (const auto& it : fleet.HeldTerms()) {
    const auto [known, added] =
        holders.try_emplace({it.group, it.token}, it.instance);
    EXPECT_EQ(known->second, it.instance) << it.group << ", token " << it.token;
  }
}

}  // namespace
}  // namespace boragecroft::lab
