#include <array>
#include <utility>

#include "review/lab-3/cases.h"

namespace boragecroft::review {
namespace {

// `config_apply_ms` of the deployment.
constexpr milliseconds kConfigApply{2000};
constexpr milliseconds kServiceFrom{3000};
// Jobs a second that use as much of the workers as the sheet's usual load, and
// two bursts of the site's largest dose.
constexpr double kUsualLoad = 41;
constexpr double kBurst = 2.4;
constexpr std::array<milliseconds, 2> kBurstsAt = {milliseconds{6000},
                                                   milliseconds{12'500}};
constexpr milliseconds kBurstFor{6000};
constexpr milliseconds kStallAt{6000};
constexpr milliseconds kFirstChangeAt{20'000};
constexpr milliseconds kSecondChangeAt{21'000};
constexpr milliseconds kResumeAt{25'500};
constexpr milliseconds kRunTime{32'000};
// Shorter before the requests than the connections' idle time-out of 15 s.
constexpr milliseconds kOpenAt{11'500};
constexpr milliseconds kProbeEvery{100};
constexpr size_t kCallers = 24;
constexpr int kWorkersPerZone = 4;

struct Finding {
  uint64_t probes = 0;
  uint64_t old_route_ran = 0;   // on a route that had been removed
  uint64_t new_route_404 = 0;   // though the route had been added
  uint64_t never_answered = 0;  // probes of the instance, for the record
};

// The routes of the last version: `removed` is gone and `added` is there.
struct Routes {
  RequestKind kept{.prefix = "/lohu930/", .tasks = 8, .work_ms = 60};
  RequestKind removed{.prefix = "/pule252/", .tasks = 1, .work_ms = 60};
  RequestKind added{.prefix = "/bopu901/", .tasks = 1, .work_ms = 60};
};

// A caller that keeps its connection to the first instance open.
struct Caller {
  std::shared_ptr<HttpConnection> connection;
  bool on_removed_route = false;
};

auto Judge(Lab& lab,
           const Caller& caller,
           const Reply& reply,
           const std::string& what,
           Finding& out) -> void {
  const auto ran = caller.on_removed_route && reply.status == 200 &&
                   reply.state == "completed";
  const auto unknown = !caller.on_removed_route && reply.status == 404;
  out.old_route_ran += ran ? 1 : 0;
  out.new_route_404 += unknown ? 1 : 0;
  out.never_answered += reply.status == 0 ? 1 : 0;
  lab.recorder.Write(what + ": " + std::to_string(reply.status) + " " +
                     reply.state + reply.error);
  if (ran || unknown) {
    lab.recorder.Write("VIOLATION CONFIG " + what);
  }
}

// Sends a request on a route that the last version removed, or on one that it
// added, later than kConfigApply after the store's acknowledgement.
auto Probe(Lab& lab, const Routes& routes, const Caller& caller, Finding& out)
    -> void {
  const auto id = NewJobId(lab);
  const auto* name = caller.on_removed_route ? "removed" : "added";
  const auto what = "request " + id + " on the " + name + " route, sent at " +
                    std::to_string(lab.recorder.ElapsedMs()) + " ms";
  ++out.probes;
  Send(
      lab, caller.connection,
      MakeJob(lab, caller.on_removed_route ? routes.removed : routes.added, id),
      kDeadline, [&lab, &caller, &out, what](const Reply& reply) {
        Judge(lab, caller, reply, what, out);
      });
}

// Opens a connection by a request that needs no worker.
auto Open(Lab& lab, const Routes& routes, Caller& caller) -> void {
  caller.connection = std::make_shared<HttpConnection>(
      lab.context, lab.instances.front()->callers);
  HttpRequest request;
  request.method = "GET";
  request.target = routes.kept.prefix;
  Send(lab, caller.connection, std::move(request), kDeadline,
       [&lab](const Reply& reply) {
         lab.recorder.Write("a caller opened its connection: " +
                            std::to_string(reply.status));
       });
}

auto StartFleet(Lab& lab, const Routes& routes) -> void {
  lab.zones = {"bilbao", "santander", "oviedo"};
  ListenAsStore(lab.store);
  Configure(lab, "", 7, {routes.kept, routes.removed});
  for (const auto& zone : lab.zones) {
    for (auto i = 0; i < kWorkersPerZone; ++i) {
      AddWorker(lab, zone, i);
    }
  }
  for (const auto& zone : lab.zones) {
    StartInstance(lab, zone, 1);
  }
}

}  // namespace

auto RunLogCase(Lab& lab) -> int {
  const Routes routes;
  Finding found;
  StartFleet(lab, routes);
  const auto began = BootClock::now();
  After(lab, kServiceFrom, [&] {
    SubmitJobs(lab, routes.kept, kUsualLoad, began + kRunTime - seconds(2));
  });
  for (const auto at : kBurstsAt) {
    After(lab, at, [&] {
      SubmitJobs(lab, routes.kept, kUsualLoad * (kBurst - 1),
                 BootClock::now() + kBurstFor);
    });
  }
  if (lab.arguments.trouble) {
    After(lab, kStallAt, [&] {
      lab.instances.front()->stalled = true;
      lab.recorder.Write("the collector of the log of " +
                         lab.instances.front()->name + " stops reading");
    });
    After(lab, kResumeAt, [&] {
      lab.recorder.Write("the collector reads again");
      ResumeCollector(lab, *lab.instances.front());
    });
  }
  After(lab, kFirstChangeAt, [&] {
    Configure(lab, "", 12, {routes.kept, routes.removed});
  });
  After(lab, kSecondChangeAt, [&] {
    Configure(lab, "", 19, {routes.kept, routes.added});
  });
  std::vector<Caller> callers(kCallers);
  for (size_t i = 0; i < callers.size(); ++i) {
    auto& caller = callers[i];
    caller.on_removed_route = i % 2 == 0;
    After(lab, kOpenAt, [&] { Open(lab, routes, caller); });
    After(lab,
          kSecondChangeAt + kConfigApply + milliseconds(50) +
              kProbeEvery * static_cast<int>(i),
          [&] { Probe(lab, routes, caller, found); });
  }
  RunFor(lab, kRunTime);
  lab.recorder.Write(
      "probes " + std::to_string(found.probes) + ", run on the removed route " +
      std::to_string(found.old_route_ran) + ", 404 on the added route " +
      std::to_string(found.new_route_404) + ", without an answer " +
      std::to_string(found.never_answered));
  if (lab.ledger.done == 0 || found.probes == 0) {
    return kCouldNotRun;
  }
  return found.old_route_ran + found.new_route_404 > 0 ? kBroken : kHeld;
}

}  // namespace boragecroft::review
