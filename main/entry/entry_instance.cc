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
#include "main/entry/peer_flow.h"
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
// earlier. Jobs that have not ended by then are given up.
constexpr milliseconds kMaxDrainTime{5000};
// Time for the last answers to leave before the process ends.
constexpr milliseconds kLastAnswersTime{300};
// File descriptors that callers may not use: the readiness check, metrics and
// other files need them.
constexpr size_t kReservedDescriptors = 600;

auto IsReady(const EntryState& state) -> bool {
  return !state.draining_since && state.routes.version > 0;
}

// Memory that the requests and answers of all callers may take together while
// they are not complete: 60 bodies of the largest size. An instance has 120 MB
// on the smallest machine and uses 8 MB when idle.
constexpr size_t kMaxHeldBytes = 16U << 20U;
// The balancer and the scraper have one or two connections each.
constexpr size_t kMaxMonitorConnections = 32;
// They send requests without a body.
constexpr HttpRequestLimits kMonitorLimits{.max_head_bytes = 8192,
                                           .max_body_bytes = 1024};
constexpr size_t kMaxMonitorHeldBytes = 4U << 20U;

auto ToHttpLimits(const RequestLimits& limits) -> HttpRequestLimits {
  return {.max_head_bytes = limits.max_header_bytes,
          .max_body_bytes = limits.max_body_bytes};
}

auto MaxCallerConnections(size_t descriptors) -> size_t {
  return descriptors > 2 * kReservedDescriptors
             ? descriptors - kReservedDescriptors
             : descriptors / 2;
}

// Counts and logs a request that could not be read, and returns the answer.
auto RefuseRequest(EntryState& state, const char* listener, HttpFault fault)
    -> HttpResponse {
  state.metrics.CountRefusedRequest(listener, ToString(fault));
  if (MayLog(state.log_budget, BootClock::now())) {
    Log(LogLevel::kWarning, "request_refused",
        {{"listener", listener}, {"reason", ToString(fault)}});
  }
  return platform::EncodeFault(fault);
}

// Sets the answers to requests that cannot be read, and the counters.
auto SetFaultCallbacks(EntryState& state,
                       const char* listener,
                       HttpServerCallbacks& callbacks) -> void {
  callbacks.on_fault = [&state, listener](HttpFault fault) {
    return RefuseRequest(state, listener, fault);
  };
  callbacks.on_closed_for_others = [&state, listener] {
    state.metrics.CountRefusedRequest(listener, "closed_for_others");
  };
}

auto ListenForCallers(EntryState& state) -> Result<void, std::string> {
  const auto& limits = state.routes.limits;
  HttpServerOptions options;
  options.listen = state.settings.callers;
  options.limits = ToHttpLimits(limits);
  options.idle_timeout = limits.idle_timeout;
  options.head_timeout = limits.header_timeout;
  options.max_connections =
      MaxCallerConnections(state.settings.max_descriptors);
  options.max_held_bytes = kMaxHeldBytes;
  HttpServerCallbacks callbacks;
  callbacks.on_request = [&state](const HttpRequest& request,
                                  HttpResponder respond) {
    OnCallerRequest(state, request, std::move(respond));
  };
  callbacks.on_abandoned = [&state](uint64_t request) {
    OnCallerAbandoned(state, request);
  };
  SetFaultCallbacks(state, "callers", callbacks);
  BOOST_OUTCOME_TRY(state.caller_server,
                    HttpServer::Listen(state.context, std::move(options),
                                       std::move(callbacks)));
  return success();
}

auto MonitorOptions(const Address& listen) -> HttpServerOptions {
  return {.listen = listen,
          .limits = kMonitorLimits,
          .max_connections = kMaxMonitorConnections,
          .max_held_bytes = kMaxMonitorHeldBytes};
}

auto ListenForReadiness(EntryState& state) -> Result<void, std::string> {
  HttpServerCallbacks callbacks;
  callbacks.on_request = [&state](const HttpRequest& /*request*/,
                                  const HttpResponder& respond) {
    HttpResponse response;
    response.status = IsReady(state) ? 200 : 503;
    respond(std::move(response));
  };
  SetFaultCallbacks(state, "readiness", callbacks);
  BOOST_OUTCOME_TRY(state.readiness_server,
                    HttpServer::Listen(state.context,
                                       MonitorOptions(state.settings.readiness),
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
  metrics.SetSize("worker_connections_confirmed",
                  static_cast<double>(state.workers->Confirmations()));
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
    sum.jobs_displaced += scheduler.counters.jobs_displaced;
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
  metrics.SetSize("jobs_displaced", static_cast<double>(sum.jobs_displaced));
  metrics.SetSize("free_places", load.free_slots);
  metrics.SetSize("tasks_waiting", load.waiting);
  size_t runs = 0;
  size_t runs_in_evacuated_zones = 0;
  for (const auto& [group, scheduler] : state.schedulers) {
    const auto of_group = CountRuns(scheduler);
    runs += of_group;
    runs_in_evacuated_zones += scheduler.evacuated_since ? of_group : 0;
  }
  metrics.SetSize("runs_in_progress", static_cast<double>(runs));
  metrics.SetSize("runs_in_evacuated_zones",
                  static_cast<double>(runs_in_evacuated_zones));
  const auto zones_evacuated = std::count_if(
      state.succession.groups.begin(), state.succession.groups.end(),
      [&](const auto& it) { return IsEvacuated(state.evacuations, it.first); });
  metrics.SetSize("zones_evacuated", static_cast<double>(zones_evacuated));
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
  SetFaultCallbacks(state, "metrics", callbacks);
  const Address address{.ip = state.settings.readiness.ip,
                        .port = state.metrics_port};
  BOOST_OUTCOME_TRY(state.metrics_server,
                    HttpServer::Listen(state.context, MonitorOptions(address),
                                       std::move(callbacks)));
  return success();
}

// Answers the callers whose jobs outlast the drain: one whose connection breaks
// would learn nothing.
auto GiveUpCallers(EntryState& state) -> void {
  Log(LogLevel::kWarning, "callers_given_up",
      {{"callers", state.callers.size()}});
  IntakeCommands commands;
  OnStopping(state.intake, commands);
  RunIntakeCommands(state, commands);
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
  const auto gives_up = passed >= kMaxDrainTime && !state.callers.empty();
  if (gives_up) {
    GiveUpCallers(state);
  }
  const auto idle = !gives_up && state.callers.empty() &&
                    state.cancel_callers.empty() && state.schedulers.empty();
  if ((passed >= kDeregistrationTime && idle) ||
      passed >= kMaxDrainTime + kLastAnswersTime) {
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

auto ApplyRequestLimits(EntryState& state) -> void {
  const auto& limits = state.routes.limits;
  if (state.caller_server) {
    state.caller_server->SetLimits(ToHttpLimits(limits), limits.idle_timeout,
                                   limits.header_timeout);
  }
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
  state.link->Broadcast(MakeHeartbeat(state, true));
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
