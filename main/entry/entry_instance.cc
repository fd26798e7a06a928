#include "main/entry/entry_instance.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

#include "core/base/random.h"
#include "core/log/log.h"
#include "main/entry/cancel_flow.h"
#include "main/entry/group_flow.h"
#include "main/entry/job_flow.h"
#include "main/entry/store_flow.h"
#include "main/entry/succession_flow.h"
#include "main/entry/suspension.h"
#include "platform/ingress.h"

namespace boragecroft {
namespace {

// Time until the load balancer has taken a draining instance out of rotation:
// it checks readiness once a second and removes an instance after two failed
// checks. Until then it still sends new connections.
constexpr milliseconds kDeregistrationTime{2200};
// The platform kills a process 6 s after SIGTERM, so the drain has to end
// earlier.
constexpr milliseconds kMaxDrainTime{5000};
// File descriptors that callers may not use: the readiness check, metrics and
// other files need them.
constexpr size_t kReservedDescriptors = 600;

auto IsReady(const EntryState& state) -> bool {
  return !state.draining_since && state.routes.version > 0;
}

auto ListenForCallers(EntryState& state) -> Result<void, std::string> {
  HttpServerOptions options;
  options.listen = state.settings.callers;
  options.max_body_bytes = RequestLimits().max_body_bytes;
  options.max_connections =
      state.settings.max_descriptors > 2 * kReservedDescriptors
          ? state.settings.max_descriptors - kReservedDescriptors
          : state.settings.max_descriptors / 2;
  HttpServerCallbacks callbacks;
  callbacks.on_request = [&state](const HttpRequest& request,
                                  HttpResponder respond) {
    OnCallerRequest(state, request, std::move(respond));
  };
  callbacks.on_abandoned = [&state](uint64_t request) {
    OnCallerAbandoned(state, request);
  };
  callbacks.on_fault = [](HttpFault fault) {
    return fault == HttpFault::kBodyTooLarge
               ? platform::EncodeError(413, "body too large")
               : platform::EncodeError(400, "request cannot be read");
  };
  BOOST_OUTCOME_TRY(state.caller_server,
                    HttpServer::Listen(state.context, std::move(options),
                                       std::move(callbacks)));
  return success();
}

auto ListenForReadiness(EntryState& state) -> Result<void, std::string> {
  HttpServerCallbacks callbacks;
  callbacks.on_request = [&state](const HttpRequest& /*request*/,
                                  const HttpResponder& respond) {
    HttpResponse response;
    response.status = IsReady(state) ? 200 : 503;
    respond(std::move(response));
  };
  BOOST_OUTCOME_TRY(
      state.readiness_server,
      HttpServer::Listen(state.context,
                         HttpServerOptions{.listen = state.settings.readiness},
                         std::move(callbacks)));
  return success();
}

auto UpdateSizes(EntryState& state) -> void {
  auto& metrics = state.metrics;
  metrics.SetSize("jobs_taken", static_cast<double>(state.intake.jobs.size()));
  metrics.SetSize("groups_held", static_cast<double>(state.schedulers.size()));
  metrics.SetSize("store_calls", static_cast<double>(state.store->Calls()));
  metrics.SetSize("store_bytes_read",
                  static_cast<double>(state.store->BytesRead()));
  metrics.SetSize("worker_connections_opened",
                  static_cast<double>(state.workers->OpenedConnections()));
  metrics.SetSize("configuration_version",
                  static_cast<double>(state.routes.version));
  SchedulerCounters sum;
  GroupLoad load;
  for (const auto& [group, scheduler] : state.schedulers) {
    sum.starts += scheduler.counters.starts;
    sum.stops += scheduler.counters.stops;
    sum.renewals += scheduler.counters.renewals;
    sum.runs_expired += scheduler.counters.runs_expired;
    sum.runs_overdue += scheduler.counters.runs_overdue;
    sum.jobs_redirected += scheduler.counters.jobs_redirected;
    sum.jobs_hopeless += scheduler.counters.jobs_hopeless;
    sum.jobs_given_up += scheduler.counters.jobs_given_up;
    const auto of_group = LoadOf(scheduler);
    load.free_slots += of_group.free_slots;
    load.waiting += of_group.waiting;
  }
  metrics.SetSize("starts", static_cast<double>(sum.starts));
  metrics.SetSize("stops", static_cast<double>(sum.stops));
  metrics.SetSize("holds", static_cast<double>(sum.renewals));
  metrics.SetSize("runs_lapsed", static_cast<double>(sum.runs_expired));
  metrics.SetSize("runs_overdue", static_cast<double>(sum.runs_overdue));
  metrics.SetSize("jobs_passed_on", static_cast<double>(sum.jobs_redirected));
  metrics.SetSize("jobs_hopeless", static_cast<double>(sum.jobs_hopeless));
  metrics.SetSize("jobs_given_up", static_cast<double>(sum.jobs_given_up));
  metrics.SetSize("free_places", load.free_slots);
  metrics.SetSize("tasks_waiting", load.waiting);
}

auto ListenForMetrics(EntryState& state) -> Result<void, std::string> {
  HttpServerCallbacks callbacks;
  callbacks.on_request = [&state](const HttpRequest& /*request*/,
                                  const HttpResponder& respond) {
    UpdateSizes(state);
    HttpResponse response;
    response.content_type = "text/plain; version=0.0.4";
    response.body = state.metrics.Render();
    respond(std::move(response));
  };
  const Address address{.ip = state.settings.readiness.ip,
                        .port = state.metrics_port};
  BOOST_OUTCOME_TRY(
      state.metrics_server,
      HttpServer::Listen(state.context, HttpServerOptions{.listen = address},
                         std::move(callbacks)));
  return success();
}

auto ContinueDrain(EntryState& state, Instant now) -> void {
  if (!state.draining_since) {
    return;
  }
  const auto passed = now - *state.draining_since;
  if (passed >= kDeregistrationTime) {
    // Closes each connection that is still open when no request is in progress
    // on it.
    state.caller_server->Drain();
  }
  const auto idle = state.callers.empty() && state.cancel_callers.empty() &&
                    state.schedulers.empty();
  if ((passed >= kDeregistrationTime && idle) || passed >= kMaxDrainTime) {
    Log(LogLevel::kInfo, "stopped", {{"unanswered", state.callers.size()}});
    state.context.stop();
  }
}

auto RunDueWork(EntryState& state, Instant now) -> void {
  SuccessionCommands succession;
  OnTime(state.succession, now, succession);
  RunSuccessionCommands(state, succession);
  ForEachHeldGroup(state, [&](Scheduler& scheduler, SchedulerCommands& out) {
    OnTime(scheduler, now, out);
  });
  IntakeCommands intake;
  OnTime(state.intake, now, intake);
  RunIntakeCommands(state, intake);
  CancelCommands cancels;
  OnTime(state.cancellations, now, cancels);
  RunCancelCommands(state, cancels);
}

auto ScheduleHeartbeat(EntryState& state) -> void {
  state.heartbeat_timer.expires_after(kHeartbeatInterval);
  state.heartbeat_timer.async_wait([&state](boost::system::error_code ec) {
    if (ec) {
      return;
    }
    // First, so that the heartbeats go on if one of the steps fails.
    ScheduleHeartbeat(state);
    const auto now = BootClock::now();
    HandleSuspension(state, now);
    state.last_heartbeat = now;
    RunDueWork(state, now);
    RemoveDepartedWorkers(state, now);
    MaintainInstanceLinks(state, now);
    FollowWorkersIfNeeded(state, now);
    ReleaseGroups(state, now);
    ContinueDrain(state, now);
    ArmDueTimer(state);
  });
}

auto NextDueTime(const EntryState& state) -> std::optional<Instant> {
  auto next = NextDue(state.succession);
  const auto consider = [&](std::optional<Instant> at) {
    if (at) {
      next = next ? std::min(*next, *at) : at;
    }
  };
  consider(NextDue(state.intake));
  consider(NextDue(state.cancellations));
  for (const auto& [group, scheduler] : state.schedulers) {
    consider(NextDue(scheduler));
  }
  return next;
}

}  // namespace

auto StartEntry(EntryState& state) -> Result<void, std::string> {
  const auto now = BootClock::now();
  state.last_heartbeat = now;
  state.self = InstanceRef{.name = state.settings.instance,
                           .zone = state.settings.zone,
                           .address = state.settings.instances,
                           .incarnation = Incarnation{DrawEntropy()},
                           .processor_millis = state.settings.processor_millis};
  state.succession.started = now;
  state.succession.jitter = DrawEntropy();
  state.intake.zone = state.settings.zone;
  for (const auto& it : state.settings.zones) {
    state.succession.groups[it];
  }
  ConnectWorkers(state);
  BOOST_OUTCOME_TRY(ListenForInstances(state));
  state.self = state.link->Self();
  state.succession.self = state.self;
  BOOST_OUTCOME_TRY(ListenForReadiness(state));
  BOOST_OUTCOME_TRY(ListenForMetrics(state));
  BOOST_OUTCOME_TRY(ListenForCallers(state));
  FollowStore(state);
  ScheduleHeartbeat(state);
  Log(LogLevel::kInfo, "started",
      {{"zone", state.self.zone},
       {"incarnation", ToString(state.self.incarnation)},
       {"callers", state.caller_server->Port()},
       {"readiness", state.readiness_server->Port()},
       {"instances", state.link->Port()},
       {"advertised", ToString(state.self.address)},
       {"metrics", state.metrics_server->Port()}});
  return success();
}

auto DrainEntry(EntryState& state) -> void {
  if (state.draining_since) {
    return;
  }
  Log(LogLevel::kInfo, "draining", {{"callers", state.callers.size()}});
  state.draining_since = BootClock::now();
  state.succession.leaving = true;
  for (auto& [group, scheduler] : state.schedulers) {
    scheduler.leaving = true;
  }
  // Lets the origin instances send further jobs to other groups.
  HeartbeatMessage leaving{.configuration_version = state.routes.version,
                           .groups = {},
                           .reply = true};
  for (const auto& [group, scheduler] : state.schedulers) {
    leaving.groups.push_back(StatusOf(state, group));
  }
  state.link->Broadcast(leaving);
}

auto ReloadEntry(EntryState& state) -> void {
  std::ifstream in(platform::SettingsPath());
  std::stringstream text;
  text << in.rdbuf();
  auto settings = platform::ParseSettings(text.str());
  if (settings.has_error()) {
    Log(LogLevel::kError, "settings_refused",
        {{"reason", ToString(settings.error().front())}});
    return;
  }
  state.settings.seeds = settings.value().seeds;
  Log(LogLevel::kInfo, "settings_reloaded",
      {{"seeds", state.settings.seeds.size()}});
}

auto ArmDueTimer(EntryState& state) -> void {
  const auto next = NextDueTime(state);
  if (!next || (state.due_at && *state.due_at <= *next)) {
    return;
  }
  constexpr microseconds kMinWait{500};
  const auto wait = std::max<microseconds>(*next - BootClock::now(), kMinWait);
  state.due_at = *next;
  state.due_timer.expires_after(wait);
  state.due_timer.async_wait([&state](boost::system::error_code ec) {
    if (ec) {
      return;
    }
    state.due_at.reset();
    const auto now = BootClock::now();
    HandleSuspension(state, now);
    RunDueWork(state, now);
    ArmDueTimer(state);
  });
}

}  // namespace boragecroft
