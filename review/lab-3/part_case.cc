#include <memory>

#include "review/lab-3/cases.h"

namespace boragecroft::review {
namespace {

// `config_apply_ms` of the deployment.
constexpr milliseconds kConfigApply{2000};
constexpr milliseconds kServiceFrom{3000};
constexpr milliseconds kRowAt{8000};
constexpr milliseconds kRunTime{20'000};
constexpr int kWorkersPerZone = 4;

}  // namespace

auto RunPartCase(Lab& lab) -> int {
  const RequestKind in_force{.prefix = "/lohu930/", .tasks = 2, .work_ms = 60};
  const RequestKind prepared{.prefix = "/bopu901/", .tasks = 2, .work_ms = 60};
  lab.zones = {"bilbao", "santander", "oviedo"};
  ListenAsStore(lab.store);
  Configure(lab, "", 7, {in_force});
  for (const auto& zone : lab.zones) {
    for (auto i = 0; i < kWorkersPerZone; ++i) {
      AddWorker(lab, zone, i);
    }
    StartInstance(lab, zone, 1);
  }
  const auto until = BootClock::now() + kRunTime - seconds(3);
  After(lab, kServiceFrom, [&] { SubmitJobs(lab, in_force, 20, until); });
  if (lab.arguments.trouble) {
    After(lab, kRowAt, [&] { Configure(lab, "prepared", 12, {prepared}); });
  }
  auto before = std::make_shared<uint64_t>(0);
  After(lab, kRowAt + kConfigApply, [&lab, before] {
    *before = lab.answers[404];
    lab.recorder.Write("404 until now: " + std::to_string(*before));
  });
  RunFor(lab, kRunTime);
  const auto refused = lab.answers[404] - *before;
  lab.recorder.Write("404 later on a route that is in force: " +
                     std::to_string(refused));
  if (lab.answers[200] == 0) {
    return kCouldNotRun;
  }
  return refused > 0 ? kBroken : kHeld;
}

}  // namespace boragecroft::review
