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
  uint64_t highest_token = 0;  // of all orders until the caller cancels
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
  for (const auto token : lab.ledger.start_tokens) {
    out.highest_token = std::max(out.highest_token, token);
  }
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
  // Only starts of later holders count: the machine that is cut off is not in
  // touch. Each term has higher tokens than the one before.
  const auto& ledger = lab.ledger;
  const auto bound = *cancel.acknowledged + kCancelMs;
  int late = 0;
  for (size_t i = 0; i < ledger.start_times.size(); ++i) {
    const auto later_holder = ledger.start_tokens[i] > cancel.highest_token;
    late += later_holder && ledger.start_times[i] > bound ? 1 : 0;
  }
  lab.recorder.Write("starts " + std::to_string(lab.ledger.starts) +
                     ", later than cancel_ms after the acknowledgement " +
                     std::to_string(late));
  return late > 0 ? kBroken : kHeld;
}

}  // namespace boragecroft::review
