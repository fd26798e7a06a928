#include <vector>

#include "review/lab-3/cases.h"

namespace boragecroft::review {
namespace {

constexpr milliseconds kWarmUp{8000};
constexpr milliseconds kRunTime{100'000};
constexpr milliseconds kRoundEvery{4000};
constexpr int kWorkersPerRound = 8;
constexpr milliseconds kFirstCutFor{1000};
constexpr milliseconds kCrashAfter{300};  // behind the first cut
constexpr milliseconds kDown{100};
// Between the first start of the new life and the second cut.
constexpr milliseconds kSecondCutAfter{100};
constexpr milliseconds kSecondCutFor{1500};
constexpr milliseconds kPoll{10};
constexpr int kWorkersPerZone = 16;

// Cuts the worker off again shortly after the first start of its new life.
auto CutOffOnceUsed(Lab& lab, Worker& worker, Instant until) -> void {
  if (BootClock::now() >= until) {
    return;
  }
  if (worker.runs.empty()) {
    After(lab, kPoll,
          [&lab, &worker, until] { CutOffOnceUsed(lab, worker, until); });
    return;
  }
  After(lab, kSecondCutAfter, [&worker] { CutOffWorker(worker); });
  After(lab, kSecondCutAfter + kSecondCutFor,
        [&worker] { ReconnectWorker(worker); });
}

// Cuts an idle worker off; it crashes behind the cut and starts again.
auto RestartBehindCut(Lab& lab) -> void {
  std::vector<Worker*> idle;
  for (const auto& it : lab.workers) {
    if (it->server && !it->cut && it->runs.empty()) {
      idle.push_back(it.get());
    }
  }
  if (idle.empty()) {
    return;
  }
  const auto n = static_cast<int64_t>(idle.size());
  auto& worker = *idle[static_cast<size_t>(Uniform(lab, 0, n - 1))];
  CutOffWorker(worker);
  After(lab, kCrashAfter, [&worker] { CrashWorker(worker); });
  After(lab, kCrashAfter + kDown, [&worker] { StartWorker(worker); });
  After(lab, kFirstCutFor, [&lab, &worker] {
    ReconnectWorker(worker);
    CutOffOnceUsed(lab, worker, BootClock::now() + seconds(1));
  });
}

auto RunRound(Lab& lab, Instant until) -> void {
  if (BootClock::now() >= until) {
    return;
  }
  After(lab, kRoundEvery, [&lab, until] { RunRound(lab, until); });
  for (auto i = 0; i < kWorkersPerRound; ++i) {
    RestartBehindCut(lab);
  }
}

}  // namespace

auto RunRestartCase(Lab& lab) -> int {
  lab.zones = {"bilbao", "santander", "oviedo"};
  ListenAsStore(lab.store);
  const RequestKind kind{
      .prefix = "/pufi791/", .tasks = 4, .work_ms = 900, .priority = 2};
  Configure(lab, "", 7, {kind});
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
  // Two levels of load, so that restarted workers get their first order sooner
  // or later.
  After(lab, seconds(3),
        [&lab, kind, until] { SubmitJobs(lab, kind, 7, until); });
  After(lab, kRunTime / 2,
        [&lab, kind, until] { SubmitJobs(lab, kind, 6.5, until); });
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
  return lab.ledger.twice > 0 ? kBroken : kHeld;
}

}  // namespace boragecroft::review
