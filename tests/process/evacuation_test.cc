// Tests of an availability zone that is evacuated and comes back, as real
// processes on the stand-in of the users' platform.
#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <thread>
#include <vector>

#include "tests/lab/caller.h"
#include "tests/lab/platform_fleet.h"

namespace boragecroft::lab {
namespace {

constexpr auto kZone = "north";

// What the callers of one instance were answered in one part of a test.
struct AnswerCounts {
  std::atomic<int> done{0};
  std::atomic<int> other{0};
};

// Two zones with two instances and six workers of two slots each. One zone has
// room for all callers, so that no job needs the other one.
class EvacuatedZone : public testing::Test {
 protected:
  static constexpr int kWorkers = 6;
  // No task starts later than this after the acknowledgement of the row.
  static constexpr milliseconds kBound{5000};
  // How long callers are watched while the zone is empty.
  static constexpr milliseconds kEmpty{4000};
  static constexpr milliseconds kReturnTimeout{20000};
  // The holder's row names its successor after this time.
  static constexpr milliseconds kRowUpdate{2500};

  void SetUp() override {
    ASSERT_TRUE(fleet.AwaitService());
    for (size_t i = 0; i < fleet.Instances().size(); ++i) {
      callers.emplace_back([this, i] { SubmitJobs(i); });
    }
    std::this_thread::sleep_for(kRowUpdate);
    // A holder without any offer yet reports no free slot and is offered
    // nothing while the other zone has room, so that zone is filled for a
    // moment.
    ASSERT_TRUE(Eventually(kReturnTimeout, [this] {
      SubmitBurst();
      return IsZoneAtWork(0);
    }));
  }

  void TearDown() override {
    stopped = true;
    for (auto& it : callers) {
      it.join();
    }
  }

  // Submits jobs of two tasks, one after another, through an instance that was
  // not killed.
  auto SubmitJobs(size_t instance) -> void {
    while (!stopped) {
      if (instance == killed) {
        std::this_thread::sleep_for(milliseconds(20));
        continue;
      }
      const auto counted_in = phase.load();
      const auto status =
          fleet.Submit(fleet.Instances()[instance], ++last_job, 2).status;
      // An instance may be killed while its caller waits.
      if (counted_in == phase && instance != killed) {
        auto& counts = answers[counted_in][instance];
        ++(status == 200 ? counts.done : counts.other);
      }
      if (status != 200) {
        std::this_thread::sleep_for(milliseconds(20));
      }
    }
  }

  // Submits more jobs at once than one zone has slots for.
  auto SubmitBurst() -> void {
    constexpr auto kJobs = 2 * kWorkers;
    std::vector<std::thread> burst;
    burst.reserve(kJobs);
    for (auto i = 0; i < kJobs; ++i) {
      burst.emplace_back(
          [this] { fleet.Submit(fleet.Instances().front(), ++last_job, 2); });
    }
    for (auto& it : burst) {
      it.join();
    }
  }

  auto Kill(size_t instance) -> void {
    killed = instance;
    fleet.Instances()[instance].process->Kill();
  }

  // Reports whether more than `starts` runs have started in the zone.
  auto IsZoneAtWork(int64_t starts) -> bool {
    return fleet.CountStartsInZone(kZone).starts > starts;
  }

  // Expects that no task started in the zone between two counts, and says how
  // long after the acknowledgement the last one did.
  static auto ExpectNoStart(const ZoneStartCount& before,
                            const ZoneStartCount& after,
                            const WriteTime& row) -> void {
    EXPECT_EQ(after.starts, before.starts)
        << "the last start was " << after.last_start_ms - row.now_ms
        << " ms after the acknowledgement";
  }

  // Expects that every job of the current phase was served, and at least one
  // through each instance but the killed one.
  auto ExpectCallersServed() -> void {
    for (size_t i = 0; i < fleet.Instances().size(); ++i) {
      const auto& counts = answers[phase][i];
      const auto& name = fleet.Instances()[i].name;
      if (i != killed) {
        EXPECT_GT(counts.done, 0) << name;
      }
      EXPECT_EQ(counts.other, 0) << name << " of " << counts.done;
    }
  }

  // Expects that no task ran twice at the same time and that no worker ran more
  // tasks than it has slots.
  auto ExpectNoUnsafeRuns() -> void {
    const auto statistics = fleet.FetchRunStatistics();
    EXPECT_TRUE(statistics.at("twice").as_array().empty()) << statistics;
    EXPECT_EQ(statistics.at("over_room").to_number<int64_t>(), 0) << statistics;
  }

  // Ends the evacuation and expects starts in the zone.
  auto ExpectWorkReturns() -> void {
    fleet.EndEvacuation(kZone);
    const auto starts = fleet.CountStartsInZone(kZone).starts;
    EXPECT_TRUE(
        Eventually(kReturnTimeout, [&] { return IsZoneAtWork(starts); }));
  }

  static constexpr size_t kNone = ~size_t{0};
  // Parts of a test whose answers are counted apart.
  static constexpr size_t kPhases = 2;

  PlatformFleet fleet{{kZone, "south"}, 2, kWorkers, FleetNetwork::kRelayed};
  std::vector<std::thread> callers;
  std::atomic<uint64_t> last_job{0};
  std::atomic<size_t> phase{0};
  std::atomic<size_t> killed{kNone};
  std::array<std::array<AnswerCounts, 4>, kPhases> answers;
  std::atomic<bool> stopped{false};
};

// Guards against a successor that starts tasks in an evacuated zone because it
// can't read the store: it was told nothing by the killed holder and must learn
// of the evacuation from the other zone. Guards as well against callers that
// are refused although the other zone has room, and against a zone that stays
// empty after the row was deleted.
TEST_F(EvacuatedZone, StaysEmptyWhenHolderIsKilledAndSuccessorCannotReadStore) {
  const auto holder = fleet.FindHolder(kZone);
  const auto successor = 1 - holder;
  fleet.CutOffFromStore(fleet.Instances()[successor]);
  Kill(holder);
  const auto row = fleet.Evacuate(kZone);
  std::this_thread::sleep_for(kBound);
  const auto at_bound = fleet.CountStartsInZone(kZone);
  phase = 1;
  std::this_thread::sleep_for(kEmpty);
  ExpectNoStart(at_bound, fleet.CountStartsInZone(kZone), row);
  ExpectCallersServed();
  EXPECT_EQ(fleet.FindHolder(kZone), successor) << "nobody took the zone over";
  fleet.ReconnectToStore(fleet.Instances()[successor]);
  ExpectWorkReturns();
  ExpectNoUnsafeRuns();
}

// Guards against starts in an evacuated zone by a holder that can't read the
// store, by a successor that takes the group over while the zone is empty, and
// on a worker that restarts there.
TEST_F(EvacuatedZone, StaysEmptyWhenHolderCannotReadStoreAndIsKilledLater) {
  const auto holder = fleet.FindHolder(kZone);
  fleet.CutOffFromStore(fleet.Instances()[holder]);
  const auto row = fleet.Evacuate(kZone);
  std::this_thread::sleep_for(kBound);
  const auto at_bound = fleet.CountStartsInZone(kZone);
  Kill(holder);
  fleet.Control("/worker", {{"id", "north-1"}, {"mode", "restart"}});
  std::this_thread::sleep_for(kEmpty);
  ExpectNoStart(at_bound, fleet.CountStartsInZone(kZone), row);
  phase = 1;
  std::this_thread::sleep_for(kEmpty);
  ExpectNoStart(at_bound, fleet.CountStartsInZone(kZone), row);
  ExpectCallersServed();
  EXPECT_NE(fleet.FindHolder(kZone), holder) << "nobody took the zone over";
  ExpectWorkReturns();
  ExpectNoUnsafeRuns();
}

}  // namespace
}  // namespace boragecroft::lab
