#include "review/lab-3/cases.h"

namespace boragecroft::review {
namespace {

constexpr milliseconds kWarmUp{8000};
constexpr milliseconds kRunTime{60'000};
constexpr milliseconds kRoundEvery{1500};
constexpr milliseconds kDown{100};
constexpr int kWorkersPerZone = 8;

// Crashes one worker, which starts again as one of another kind.
auto RunRound(Lab& lab, Instant until) -> void {
  if (BootClock::now() >= until) {
    return;
  }
  After(lab, kRoundEvery, [&lab, until] { RunRound(lab, until); });
  const auto n = static_cast<int64_t>(lab.workers.size());
  auto& worker = *lab.workers[static_cast<size_t>(Uniform(lab, 0, n - 1))];
  CrashWorker(worker);
  After(lab, kDown, [&worker] {
    const auto is_large = worker.cpu > 32000;
    worker.kind = is_large ? "a2" : "b";
    worker.cpu = is_large ? 32000 : 48000;
    worker.speed = is_large ? 1.0 : 1.6;
    StartWorker(worker);
  });
}

}  // namespace

auto RunCapacityCase(Lab& lab) -> int {
  lab.zones = {"bilbao", "santander"};
  ListenAsStore(lab);
  const RequestKind kind{
      .prefix = "/lohu930/", .tasks = 8, .work_ms = 60, .priority = 0};
  Configure(lab, 7, {kind});
  for (const auto& zone : lab.zones) {
    for (auto i = 0; i < kWorkersPerZone; ++i) {
      AddWorker(lab, zone, i);
    }
  }
  for (const auto& zone : lab.zones) {
    StartInstance(lab, zone, 1);
    StartInstance(lab, zone, 2);
  }
  const auto until = BootClock::now() + kRunTime;
  After(lab, seconds(3),
        [&lab, kind, until] { SubmitJobs(lab, kind, 34.4, until); });
  if (lab.arguments.trouble) {
    After(lab, kWarmUp, [&lab, until] { RunRound(lab, until); });
  }
  RunFor(lab, kRunTime + seconds(5));
  lab.recorder.Write("starts " + std::to_string(lab.ledger.starts) + " done " +
                     std::to_string(lab.ledger.done) + " twice " +
                     std::to_string(lab.ledger.twice) + " over capacity " +
                     std::to_string(lab.ledger.over_capacity));
  if (lab.ledger.done == 0) {
    return kCouldNotRun;
  }
  return lab.ledger.over_capacity > 0 ? kBroken : kHeld;
}

}  // namespace boragecroft::review
