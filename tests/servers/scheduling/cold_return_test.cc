// Replays the return of an evacuated availability zone on a virtual clock, with
// and without the slow start of its workers.
//
// Load: the kinds of job of carpatica (docs/hard-load.md, part B) in four zones
// of 20 workers of two slots. One zone comes back after 6 s in which the others
// served its callers, and runs every task three times as long for 3 s. Callers
// of those and the following 3 s are counted. Origin instances choose among the
// zones as servers/intake does.
#include <gtest/gtest.h>

#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <memory>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/base/random.h"
#include "servers/scheduling/warm_up.h"
#include "tests/servers/scheduling/virtual_workers.h"

namespace boragecroft {
namespace {

constexpr size_t kZones = 4;
constexpr size_t kReturning = 0;
constexpr size_t kWorkers = 20;  // in each zone
constexpr size_t kSlots = 2;     // of each worker
// Days that are played in CI; BORAGECROFT_SEEDS sets another number.
constexpr int kDays = 4;
constexpr milliseconds kWarmLoad{8000};
constexpr milliseconds kEmpty{6000};
constexpr milliseconds kCold{3000};
constexpr milliseconds kWatched{6000};
constexpr int kColdFactor = 3;

struct Kind {
  std::string name;
  uint32_t tasks = 1;
  double run_ms = 0;
  double jobs_per_second = 0;
  double worth = 0;       // of an answer within the objective
  double late_worth = 0;  // of a later one within the caller's deadline
};

// Returns the kinds of job. Their rates need the share `load` of all slots.
auto Kinds(double load) -> std::vector<Kind> {
  // Slots that the rates of carpatica keep occupied.
  constexpr double kBusySlots = 354;
  const auto scale = load * kZones * kWorkers * kSlots / kBusySlots;
  return {
      {"slot-check", 8, 51, 181 * scale, 0.00485, 0.00097},
      {"booking-confirm", 4, 760, 33 * scale, 0.0267, 0.00533},
      {"slot-hold", 2, 170, 528 * scale, 0.00167, 0.000333},
  };
}

struct ReplayedJob {
  Kind kind;
  size_t home = 0;         // zone of its caller
  std::set<size_t> asked;  // zones that could not start it at once
  double declared_ms = 0;
  Instant arrived;
  double run_ms = 0;  // on a warm worker
};

// What callers of the first seconds after the return got.
struct Served {
  int jobs = 0;
  int in_time = 0;  // within the objective
  int late = 0;
  int refused = 0;
  int stopped = 0;
  double worth = 0;

  auto operator+=(const Served& it) -> Served& {
    jobs += it.jobs;
    in_time += it.in_time;
    late += it.late;
    refused += it.refused;
    stopped += it.stopped;
    worth += it.worth;
    return *this;
  }
};

// How the zone returns: with full load at once, as without the slow start; with
// the slow start; or with it and rows that state the cold time.
enum class Start : uint8_t { kAtOnce, kPaced, kPacedByRow };

class Replay {
 public:
  Replay(uint64_t seed, double load, Start start)
      : kinds_(Kinds(load)), start_(start), random_(seed) {
    for (size_t i = 0; i < kZones; ++i) {
      fleets_.push_back(std::make_unique<VirtualFleet>(
          seed * kZones + i, VirtualFaults(), kWorkers));
      fleets_[i]->SetRunTimes(
          [this, i](size_t, TaskName task) { return DrawRunTime(i, task); });
      fleets_[i]->OnResult([this](const ResultCommand& it) { Count(it); });
      holders_.push_back(&fleets_[i]->TakeOver(true));
    }
  }

  auto Play() -> Served {
    Offer(kWarmLoad);
    evacuated_ = true;
    Offer(kEmpty);
    evacuated_ = false;
    returned_at_ = Now();
    if (start_ != Start::kAtOnce) {
      auto& scheduler = holders_[kReturning]->scheduler;
      if (start_ == Start::kPacedByRow) {
        for (auto& [id, worker] : scheduler.workers) {
          worker.entry.cold_left = kCold;
          SetColdUntil(worker.entry, nullptr, returned_at_);
        }
      }
      StartWarmUp(scheduler, returned_at_);
    }
    Offer(kWatched);
    Pass(milliseconds{2000});
    return served_;
  }

 private:
  auto Pass(milliseconds time) -> void {
    for (auto i = milliseconds{0}; i < time; i += milliseconds{1}) {
      Step();
    }
  }

  auto Step() -> void {
    for (auto& it : fleets_) {
      it->Step();
    }
  }

  auto Now() const -> Instant { return fleets_[0]->Now(); }

  auto Offer(milliseconds time) -> void {
    for (auto i = milliseconds{0}; i < time; i += milliseconds{1}) {
      Step();
      for (const auto& kind : kinds_) {
        std::poisson_distribution<int> arrivals(kind.jobs_per_second / 1000);
        for (auto n = arrivals(random_); n > 0; --n) {
          OfferJob(kind);
        }
      }
    }
  }

  auto Lognormal(double deviation) -> double {
    return std::exp(std::normal_distribution<double>(0, deviation)(random_));
  }

  auto OfferJob(const Kind& kind) -> void {
    const JobName name{++last_job_};
    const auto run_ms = kind.run_ms * Lognormal(0.4);
    jobs_[name] = {.kind = kind,
                   .home = static_cast<size_t>(DrawBelow(random_, kZones)),
                   .asked = {},
                   .declared_ms = run_ms * Lognormal(0.4),
                   .arrived = Now(),
                   .run_ms = run_ms};
    OfferToNextZone(name);
  }

  auto OfferToNextZone(JobName name) -> void {
    auto& job = jobs_.at(name);
    const auto open = evacuated_ ? kZones - 1 : kZones;
    const auto immediate_only = job.asked.size() < open;
    const auto zone = ChooseZone(job, immediate_only);
    job.asked.insert(zone);
    const auto age =
        std::chrono::duration_cast<milliseconds>(Now() - job.arrived);
    fleets_[zone]->Offer(
        *holders_[zone],
        JobOffer{.name = name,
                 .spec = "spec",
                 .kind = job.kind.name,
                 .service = "letters",
                 .count = job.kind.tasks,
                 .needs = {.cpu_millis = 14'000, .memory_mb = 64},
                 .run_estimate = milliseconds(std::llround(job.declared_ms)),
                 .target = milliseconds{60},
                 .slack_factor = 1.6,
                 .max_attempts = 3,
                 .age = age,
                 .remaining = milliseconds{1500} - age,
                 .immediate_only = immediate_only});
  }

  // Returns the own zone while it has room, else the zone with the most room.
  // Zones that were asked are left out while a zone is sought that can start
  // the job at once.
  auto ChooseZone(const ReplayedJob& job, bool immediate_only) const -> size_t {
    auto best = kZones;
    int64_t best_margin = 0;
    for (size_t i = 0; i < kZones; ++i) {
      if ((evacuated_ && i == kReturning) ||
          (immediate_only && job.asked.contains(i))) {
        continue;
      }
      const auto margin = MarginOf(i, job);
      if (i == job.home && margin >= 0) {
        return i;
      }
      if (best == kZones || margin > best_margin) {
        best = i;
        best_margin = margin;
      }
    }
    return best;
  }

  auto MarginOf(size_t zone, const ReplayedJob& job) const -> int64_t {
    constexpr double kLongTaskMs = 500;
    const auto load = LoadOf(holders_[zone]->scheduler);
    const auto slots =
        job.declared_ms >= kLongTaskMs ? load.fast_slots : load.free_slots;
    return static_cast<int64_t>(slots) - static_cast<int64_t>(load.waiting) -
           static_cast<int64_t>(job.kind.tasks);
  }

  auto DrawRunTime(size_t zone, TaskName task) -> milliseconds {
    const auto is_cold = zone == kReturning && returned_at_ != Instant() &&
                         Now() < returned_at_ + milliseconds(kCold);
    // The draws of a task do not depend on the order of the starts.
    Random random(MixHash(task.job.value, task.index));
    std::normal_distribution<double> among_tasks(0, 0.15);
    const auto ms = jobs_.at(task.job).run_ms * std::exp(among_tasks(random));
    return milliseconds(std::llround(ms * (is_cold ? kColdFactor : 1)));
  }

  auto Count(const ResultCommand& command) -> void {
    if (command.redirected) {
      OfferToNextZone(command.result.name);
      return;
    }
    const auto& job = jobs_.at(command.result.name);
    if (returned_at_ == Instant() || job.arrived < returned_at_) {
      return;
    }
    ++served_.jobs;
    const auto objective =
        milliseconds(std::llround(job.run_ms * 1.6)) + milliseconds{60};
    switch (command.result.outcome) {
      case JobOutcome::kDone:
        if (Now() - job.arrived <= objective) {
          ++served_.in_time;
          served_.worth += job.kind.worth;
        } else {
          ++served_.late;
          served_.worth += job.kind.late_worth;
        }
        return;
      case JobOutcome::kRefused:
        ++served_.refused;
        return;
      default:
        ++served_.stopped;
    }
  }

  std::vector<Kind> kinds_;
  Start start_;
  Random random_;
  bool evacuated_ = false;
  std::vector<std::unique_ptr<VirtualFleet>> fleets_;
  std::vector<VirtualHolder*> holders_;
  Instant returned_at_;
  uint64_t last_job_ = 0;
  std::map<JobName, ReplayedJob> jobs_;
  Served served_;
};

auto DayCount() -> uint64_t {
  const auto* text = std::getenv("BORAGECROFT_SEEDS");  // NOLINT
  return static_cast<uint64_t>(text == nullptr ? kDays
                                               : std::atoi(text));  // NOLINT
}

auto PlayDays(double load, Start start) -> Served {
  Served all;
  for (uint64_t seed = 1; seed <= DayCount(); ++seed) {
    all += Replay(seed, load, start).Play();
  }
  return all;
}

auto operator<<(std::ostream& out, const Served& it) -> std::ostream& {
  return out << it.jobs << " jobs: " << it.in_time << " in time, " << it.late
             << " late, " << it.refused << " refused, " << it.stopped
             << " stopped, worth " << it.worth;
}

// The parameter is the share of all slots that the load needs: the mean of
// carpatica with its long jobs, and one near the peak of its waves.
class ColdReturn : public testing::TestWithParam<double> {};

// Guards against a slow start that serves callers worse than none would: its
// workers run fewer tasks, so it pays only if the tasks that they don't get end
// in time elsewhere.
TEST_P(ColdReturn, ServesCallersNoWorseThanFullLoadAtOnce) {
  const auto at_once = PlayDays(GetParam(), Start::kAtOnce);
  ASSERT_GT(at_once.jobs, 0);
  for (const auto start : {Start::kPaced, Start::kPacedByRow}) {
    const auto paced = PlayDays(GetParam(), start);
    SCOPED_TRACE(testing::Message()
                 << "at once " << at_once << "\npaced " << paced);
    EXPECT_EQ(paced.jobs, at_once.jobs);
    EXPECT_GE(paced.in_time, at_once.in_time);
    EXPECT_LE(paced.stopped, at_once.stopped);
    EXPECT_GE(paced.worth, at_once.worth);
  }
}

INSTANTIATE_TEST_SUITE_P(Loads, ColdReturn, testing::Values(0.5, 0.7));

}  // namespace
}  // namespace boragecroft
