#include "main/entry/entry_instance.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

#include "core/base/random.h"
#include "core/log/log.h"
#include "main/entry/group_flow.h"
#include "main/entry/job_flow.h"
#include "main/entry/store_flow.h"
#include "main/entry/tenure_flow.h"
#include "platform/ingress.h"

namespace boragecroft {
namespace {

// Two misses of a question each second take an instance out of rotation; until
// then new connections still come.
constexpr milliseconds kStillInRotation{2200};
// The platform kills a process 6 s after SIGTERM.
constexpr milliseconds kLongestDrain{5000};
// A group whose jobs have not ended by then is given up with them.
constexpr milliseconds kLongestRelease{1300};
// A gap between beats that only a suspension or a starved processor makes.
constexpr milliseconds kSuspension{700};
// The readiness check, metrics and other files need a part of the descriptors.
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
  metrics.SetSize("groups_held", static_cast<double>(state.held.size()));
  metrics.SetSize("store_calls", static_cast<double>(state.store->Calls()));
  metrics.SetSize("store_bytes_read",
                  static_cast<double>(state.store->BytesRead()));
  metrics.SetSize("worker_connections_opened",
                  static_cast<double>(state.workers->OpenedConnections()));
  metrics.SetSize("configuration_version",
                  static_cast<double>(state.routes.version));
  SchedulerCounters sum;
  GroupLoad load;
  for (const auto& [group, scheduler] : state.held) {
    sum.starts += scheduler.counters.starts;
    sum.stops += scheduler.counters.stops;
    sum.renewals += scheduler.counters.renewals;
    sum.runs_expired += scheduler.counters.runs_expired;
    sum.runs_overdue += scheduler.counters.runs_overdue;
    sum.jobs_redirected += scheduler.counters.jobs_redirected;
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

// After a suspension what the takers want is not known: their jobs may be with
// another holder by now.
auto NoteSuspension(EntryState& state, Instant now) -> void {
  if (state.last_beat == Instant() || now - state.last_beat < kSuspension) {
    return;
  }
  Log(LogLevel::kWarning, "suspended",
      {{"for_ms",
        std::chrono::duration_cast<milliseconds>(now - state.last_beat)
            .count()}});
  for (const auto& [link, peer] : state.peers) {
    for (auto& [group, scheduler] : state.held) {
      OnOriginLost(scheduler, link, state.last_beat);
    }
  }
}

auto ContinueDrain(EntryState& state, Instant now) -> void {
  if (!state.draining_since) {
    return;
  }
  const auto passed = now - *state.draining_since;
  ReleaseGroups(state, passed >= kLongestRelease);
  if (passed >= kStillInRotation) {
    // Connections that are still open are ended between requests.
    state.caller_server->Drain();
  }
  const auto idle = state.callers.empty() && state.held.empty();
  if ((passed >= kStillInRotation && idle) || passed >= kLongestDrain) {
    Log(LogLevel::kInfo, "stopped", {{"unanswered", state.callers.size()}});
    state.context.stop();
  }
}

auto OnDue(EntryState& state, Instant now) -> void {
  SuccessionCommands succession;
  OnTime(state.succession, now, succession);
  RunSuccessionCommands(state, succession);
  std::vector<std::string> groups;
  for (const auto& [group, scheduler] : state.held) {
    groups.push_back(group);
  }
  for (const auto& group : groups) {
    const auto held = state.held.find(group);
    if (held == state.held.end()) {
      continue;
    }
    SchedulerCommands commands;
    OnTime(held->second, now, commands);
    RunSchedulerCommands(state, group, commands);
  }
  IntakeCommands intake;
  OnTime(state.intake, now, intake);
  RunIntakeCommands(state, intake);
}

auto Beat(EntryState& state) -> void {
  state.beat.expires_after(kBeatInterval);
  state.beat.async_wait([&state](boost::system::error_code ec) {
    if (ec) {
      return;
    }
    const auto now = BootClock::now();
    NoteSuspension(state, now);
    state.last_beat = now;
    OnDue(state, now);
    DropDepartedWorkers(state, now);
    BeatInstances(state, now);
    ContinueDrain(state, now);
    ArmDue(state);
    Beat(state);
  });
}

auto NextOf(const EntryState& state) -> std::optional<Instant> {
  auto next = NextDue(state.succession);
  const auto consider = [&](std::optional<Instant> at) {
    if (at) {
      next = next ? std::min(*next, *at) : at;
    }
  };
  consider(NextDue(state.intake));
  for (const auto& [group, scheduler] : state.held) {
    consider(NextDue(scheduler));
  }
  return next;
}

}  // namespace

auto StartEntry(EntryState& state) -> Result<void, std::string> {
  const auto now = BootClock::now();
  state.self = InstanceRef{.name = state.settings.instance,
                           .zone = state.settings.zone,
                           .address = state.settings.instances,
                           .incarnation = Incarnation{DrawEntropy()}};
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
  Beat(state);
  Log(LogLevel::kInfo, "started",
      {{"zone", state.self.zone},
       {"incarnation", ToString(state.self.incarnation)},
       {"callers", state.caller_server->Port()},
       {"readiness", state.readiness_server->Port()},
       {"instances", state.self.address.port},
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
  for (auto& [group, scheduler] : state.held) {
    scheduler.leaving = true;
  }
  // Takers send what comes next to other groups.
  HeartbeatMessage leaving{.configuration_version = state.routes.version,
                           .groups = {},
                           .reply = true};
  for (const auto& [group, scheduler] : state.held) {
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

auto ArmDue(EntryState& state) -> void {
  const auto next = NextOf(state);
  if (!next || (state.due_at && *state.due_at <= *next)) {
    return;
  }
  constexpr microseconds kLeastWait{500};
  const auto wait =
      std::max<microseconds>(*next - BootClock::now(), kLeastWait);
  state.due_at = *next;
  state.due.expires_after(wait);
  state.due.async_wait([&state](boost::system::error_code ec) {
    if (ec) {
      return;
    }
    state.due_at.reset();
    OnDue(state, BootClock::now());
    ArmDue(state);
  });
}

}  // namespace boragecroft
