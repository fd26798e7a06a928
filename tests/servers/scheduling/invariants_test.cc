// Checks two invariants at the workers while orders are lost, late and
// repeated, workers restart and the holder changes: a task has at most one run
// at a time, and no worker exceeds its capacity. BORAGECROFT_SEEDS sets the
// number of random scenarios.
#include <gtest/gtest.h>

#include <cstdlib>

#include "tests/servers/scheduling/virtual_workers.h"

namespace boragecroft {
namespace {

// Scenarios that are run in CI.
constexpr int kSeeds = 60;
constexpr int kScenarioMs = 8000;

auto SeedCount() -> int {
  const auto* text = std::getenv("BORAGECROFT_SEEDS");  // NOLINT
  return text == nullptr ? kSeeds : std::atoi(text);    // NOLINT
}

auto MakeOffer(uint64_t name, uint32_t count) -> JobOffer {
  return JobOffer{.name = JobName{name},
                  .spec = "spec",
                  .kind = "reminder",
                  .service = "letters",
                  .count = count,
                  .needs = {.cpu_millis = 14'000, .memory_mb = 64},
                  .run_estimate = milliseconds{300},
                  .target = milliseconds{400},
                  .slack_factor = 1.6,
                  .max_attempts = 3,
                  .remaining = milliseconds{1500}};
}

struct OfferedJob {
  JobOffer offer;
  Instant offered_at;
};

class RandomScenarios : public testing::TestWithParam<VirtualFaults> {
 protected:
  // Submits jobs. At random times a worker restarts, or the group changes its
  // holder while the former one is alive. The origin withdraws its jobs from
  // the former holder up to 700 ms later, as it does after an unresponsive
  // connection.
  // With `evacuates`, the group is evacuated from 3 s to 6 s.
  static auto RunScenario(uint64_t seed, VirtualFaults faults, bool evacuates)
      -> VirtualResult {
    VirtualFleet fleet(seed, faults, 4);
    auto* holder = &fleet.TakeOver(true);
    std::vector<OfferedJob> jobs;
    uint64_t next = 1;
    for (auto ms = 0; ms < kScenarioMs; ++ms) {
      fleet.Step();
      if (evacuates && ms == 3000) {
        fleet.Evacuate();
      } else if (evacuates && ms == 6000) {
        fleet.EndEvacuation();
      }
      if (fleet.Draw(40) == 0) {
        auto offer = MakeOffer(next++, 1 + fleet.Draw(5));
        fleet.Offer(*holder, offer);
        jobs.push_back({offer, fleet.Now()});
      }
      if (fleet.Draw(1500) == 0) {
        fleet.RestartWorker(static_cast<size_t>(fleet.Draw(4)));
      }
      if (fleet.Draw(1200) == 0) {
        holder = &ChangeHolder(fleet, *holder, jobs);
      }
    }
    return fleet.Result();
  }

  static auto ChangeHolder(VirtualFleet& fleet,
                           VirtualHolder& former,
                           std::vector<OfferedJob>& jobs) -> VirtualHolder& {
    auto& holder = fleet.TakeOver(fleet.Draw(2) == 0);
    for (auto& it : jobs) {
      const auto left = it.offered_at + it.offer.remaining - fleet.Now();
      if (left <= microseconds{0}) {
        continue;
      }
      fleet.Withdraw(former, it.offer.name);
      auto again = it.offer;
      ++it.offer.submission;
      again.submission = it.offer.submission;
      again.may_run_elsewhere = true;
      again.remaining = std::chrono::duration_cast<milliseconds>(left);
      fleet.Offer(holder, again);
    }
    return holder;
  }
};

TEST_P(RandomScenarios, KeepEveryInvariant) {
  uint64_t starts = 0;
  uint64_t done = 0;
  for (auto seed = 1; seed <= SeedCount(); ++seed) {
    const auto result =
        RunScenario(static_cast<uint64_t>(seed), GetParam(), false);
    ASSERT_TRUE(result.violations.empty())
        << "seed " << seed << ": " << result.violations.front();
    starts += result.starts;
    done += result.done;
  }
  // The scenarios must contain a real load.
  EXPECT_GT(starts, static_cast<uint64_t>(SeedCount()) * 100);
  EXPECT_GT(done, static_cast<uint64_t>(SeedCount()) * 20);
}

// Guards against starts in an evacuated group by any path: new offers, retries,
// moves, late orders, restarted workers, and holders that take over.
TEST_P(RandomScenarios, StartNothingInEvacuatedGroup) {
  uint64_t starts = 0;
  for (auto seed = 1; seed <= SeedCount(); ++seed) {
    const auto result =
        RunScenario(static_cast<uint64_t>(seed), GetParam(), true);
    ASSERT_TRUE(result.violations.empty())
        << "seed " << seed << ": " << result.violations.front();
    starts += result.starts;
  }
  EXPECT_GT(starts, static_cast<uint64_t>(SeedCount()) * 60);
}

// Guards against runs that outlast their job because their stops remain
// unanswered while the other runs of the worker have their leases extended.
TEST(WithdrawnJobs, HaveNoRunsWhenTheirCallersSendThemAgain) {
  constexpr VirtualFaults kFaults{.stop_lost = 70, .stalled = 10};
  uint64_t done = 0;
  for (auto seed = 1; seed <= SeedCount(); ++seed) {
    VirtualFleet fleet(static_cast<uint64_t>(seed), kFaults, 4);
    auto& holder = fleet.TakeOver(true);
    uint64_t next = 1;
    for (auto ms = 0; ms < kScenarioMs; ++ms) {
      fleet.Step();
      if (fleet.Draw(120) == 0) {
        fleet.Offer(holder, MakeOffer(next++, 1 + fleet.Draw(5)));
      }
      if (next > 1 && fleet.Draw(300) == 0) {
        fleet.Withdraw(holder, JobName{next - 1});
      }
    }
    const auto& result = fleet.Result();
    ASSERT_TRUE(result.violations.empty())
        << "seed " << seed << ": " << result.violations.front();
    done += result.done;
  }
  EXPECT_GT(done, static_cast<uint64_t>(SeedCount()) * 20);
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    RandomScenarios,
    testing::Values(VirtualFaults{},
                    VirtualFaults{.lost = 5},
                    VirtualFaults{.late = 5},
                    VirtualFaults{.answer_lost = 5},
                    VirtualFaults{.lost = 3, .late = 5, .answer_lost = 5}));

}  // namespace
}  // namespace boragecroft
