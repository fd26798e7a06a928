#include <algorithm>
#include <optional>

#include "review/lab-3/cases.h"

namespace boragecroft::review {
namespace {

// `cancel_ms` of the deployment.
constexpr int64_t kCancelMs = 3000;
constexpr milliseconds kSubmitAt{21'000};
constexpr milliseconds kCutAt{21'100};
constexpr milliseconds kCancelAt{21'400};
constexpr milliseconds kCutFor{5500};
constexpr milliseconds kRunTime{37'000};
constexpr int kWorkers = 4;
constexpr int kInstances = 3;

struct Cancel {
  std::string job;
  std::string holder;
  std::optional<int64_t> acknowledged;  // ms since the start
};

auto Find(Lab& lab, const std::string& name) -> Instance& {
  return **std::find_if(lab.instances.begin(), lab.instances.end(),
                        [&](const auto& it) { return it->name == name; });
}

// Submits the job at an instance that doesn't hold the group.
auto Submit(Lab& lab, const RequestKind& kind, Cancel& out) -> void {
  out.holder = lab.holder;
  const auto& origin =
      **std::find_if(lab.instances.begin(), lab.instances.end(),
                     [&](const auto& it) { return it->name != out.holder; });
  lab.recorder.Write("send " + out.job + " to " + origin.name);
  Send(lab, origin, MakeJob(lab, kind, out.job), kind.timeout,
       [&lab, &out](const Reply& reply) {
         lab.recorder.Write("answer " + out.job + " " +
                            std::to_string(reply.status) + " " + reply.state +
                            reply.error);
       });
}

auto CancelAtHolder(Lab& lab, const RequestKind& kind, Cancel& out) -> void {
  HttpRequest request;
  request.method = "DELETE";
  request.target = kind.prefix + out.job;
  lab.recorder.Write("DELETE " + out.job + " to " + out.holder);
  Send(lab, Find(lab, out.holder), std::move(request), kDeadline,
       [&lab, &out](const Reply& reply) {
         lab.recorder.Write("DELETE answered " + std::to_string(reply.status) +
                            " " + reply.state + reply.error);
         const auto success = reply.status >= 200 && reply.status < 300;
         if (success || reply.status == 410) {
           out.acknowledged = lab.recorder.ElapsedMs();
         }
       });
}

}  // namespace

auto RunCancelCase(Lab& lab) -> int {
  lab.relays = std::make_unique<lab::PartitionedNetwork>();
  lab.zones = {"bilbao"};
  ListenAsStore(lab.store);
  const RequestKind kind{.prefix = "/pufi791/",
                         .tasks = 24,
                         .work_ms = 2000,
                         .priority = 2,
                         .timeout = seconds(8),
                         .exact = true};
  Configure(lab, "", 7, {kind});
  for (auto i = 0; i < kWorkers; ++i) {
    AddWorker(lab, "bilbao", i);
  }
  for (auto i = 1; i <= kInstances; ++i) {
    StartInstance(lab, "bilbao", i);
  }
  Cancel cancel{.job = NewJobId(lab)};
  After(lab, kSubmitAt, [&] { Submit(lab, kind, cancel); });
  if (lab.arguments.trouble) {
    After(lab, kCutAt, [&] {
      lab.recorder.Write("cut " + cancel.holder);
      lab.relays->CutOff(cancel.holder);
    });
    After(lab, kCutAt + kCutFor, [&] {
      lab.recorder.Write("reconnect " + cancel.holder);
      lab.relays->Reconnect(cancel.holder);
    });
  }
  After(lab, kCancelAt, [&] { CancelAtHolder(lab, kind, cancel); });
  RunFor(lab, kRunTime);
  if (!cancel.acknowledged || lab.ledger.starts == 0) {
    return kCouldNotRun;
  }
  const auto bound = *cancel.acknowledged + kCancelMs;
  const auto late = std::count_if(lab.ledger.start_times.begin(),
                                  lab.ledger.start_times.end(),
                                  [&](int64_t at) { return at > bound; });
  lab.recorder.Write("starts " + std::to_string(lab.ledger.starts) +
                     ", later than cancel_ms after the acknowledgement " +
                     std::to_string(late));
  return late > 0 ? kBroken : kHeld;
}

}  // namespace boragecroft::review
