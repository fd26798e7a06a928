#include "main/entry/job_flow.h"

#include <utility>

#include "core/log/log.h"
#include "main/entry/cancel_flow.h"
#include "main/entry/entry_instance.h"
#include "main/entry/evacuation_flow.h"
#include "main/entry/group_flow.h"
#include "main/entry/suspension.h"
#include "platform/ingress.h"

namespace boragecroft {
namespace {

// Retry advice until a configuration and a holder are known: a start takes
// about 1 s.
constexpr milliseconds kRetryAfterDuringStartup{1000};
// Heartbeats are sent every 200 ms and a holder answers each one immediately. A
// holder that was last heard from longer ago than this has missed one.
constexpr milliseconds kHeartbeatOverdueAfter{260};

auto AnswerState(const EntryState& state,
                 const Route& route,
                 std::string_view method,
                 std::string_view job) -> HttpResponse {
  // Jobs that are not stored are known only while their callers wait for them.
  if (!job.empty()) {
    return platform::EncodeError(410, "no such job");
  }
  if (method != "GET") {
    return platform::EncodeError(405, "only GET is allowed here");
  }
  uint64_t waiting = 0;
  for (const auto& [name, it] : state.intake.jobs) {
    waiting += it.offer.kind == route.name && it.group.empty() ? 1 : 0;
  }
  return platform::EncodePending(waiting);
}

auto LogAnswer(EntryState& state,
               const JobResult& result,
               const std::string& group,
               microseconds elapsed) -> void {
  if (result.outcome == JobOutcome::kDone ||
      !MayLog(state.log_budget, BootClock::now())) {
    return;
  }
  Log(LogLevel::kInfo, "job_answered",
      {{"job", platform::ToString(result.name)},
       {"outcome", OutcomeName(result.outcome)},
       {"group", group},
       {"held_ms", elapsed.count() / 1000},
       {"retry_after_ms", result.retry_after.count()}});
}

auto MarkMissedHeartbeats(EntryState& state, Instant now) -> void {
  for (auto& [group, view] : state.intake.groups) {
    const auto& holder = state.succession.groups[group].holder;
    if (!holder || state.schedulers.contains(group)) {
      view.heartbeat_missed = false;
      continue;
    }
    const auto link = state.link->LinkTo(holder->instance.address);
    const auto last_heard = state.link->LastHeard(link);
    view.heartbeat_missed =
        last_heard && now - *last_heard > kHeartbeatOverdueAfter;
  }
}

auto Submit(EntryState& state,
            JobOffer offer,
            uint64_t request,
            HttpResponder respond) -> void {
  const auto name = offer.name;
  const auto now = BootClock::now();
  if (IsCancelled(state.cancellations, name, now)) {
    respond(platform::EncodeResult(
        {.name = name, .outcome = JobOutcome::kCancelled}));
    return;
  }
  if (state.callers.contains(name)) {
    // The same job arrived on another connection. The first request is still
    // served; if that brings no answer, this caller sends the job again.
    respond(platform::EncodeError(504, "already in progress"));
    return;
  }
  state.callers.emplace(name, WaitingCaller{.request = request,
                                            .respond = std::move(respond),
                                            .arrived = now});
  state.jobs_by_request[request] = name;
  for (const auto& [group, scheduler] : state.schedulers) {
    RefreshGroupView(state, group);
  }
  MarkMissedHeartbeats(state, now);
  IntakeCommands commands;
  OnJob(state.intake, std::move(offer), now, commands);
  RunIntakeCommands(state, commands);
  ArmDueTimer(state);
}

auto OnSubmission(EntryState& state,
                  const Route& route,
                  std::string_view id,
                  const HttpRequest& request,
                  HttpResponder respond) -> void {
  const auto name = platform::ParseJobName(id);
  if (!name) {
    respond(platform::EncodeError(400, "id: found " +
                                           std::string(id.substr(0, 40)) +
                                           ", allowed 16 hexadecimal digits"));
    return;
  }
  auto decoded = platform::DecodeSubmission(route, *name, request);
  if (decoded.has_error()) {
    respond(platform::EncodeInvalid(decoded.error()));
    return;
  }
  if (const auto* unsupported =
          std::get_if<platform::UnsupportedJob>(&decoded.value())) {
    state.metrics.CountEvent("job_form_unsupported");
    respond(platform::EncodeRefusal(
        seconds(60), "not run: " + unsupported->feature + " is not supported"));
    return;
  }
  Submit(state, std::get<JobOffer>(std::move(decoded).value()), request.number,
         std::move(respond));
}

auto Execute(EntryState& state, const HandOver& command) -> void {
  if (command.sent_elsewhere) {
    state.metrics.CountEvent("job_sent_elsewhere");
  }
  if (state.schedulers.contains(command.group)) {
    SchedulerCommands commands;
    OnOffer(state.schedulers.at(command.group), 0, command.offer,
            BootClock::now(), commands);
    RunSchedulerCommands(state, command.group, commands);
    return;
  }
  const auto& term = state.succession.groups[command.group];
  if (term.holder) {
    state.link->Send(
        state.link->LinkTo(term.holder->instance.address),
        OfferMessage{.group = command.group, .offer = command.offer});
  }
}

auto Execute(EntryState& state, const WithdrawJob& command) -> void {
  if (state.schedulers.contains(command.group)) {
    SchedulerCommands commands;
    OnCancel(state.schedulers.at(command.group), 0, command.job,
             BootClock::now(), commands);
    RunSchedulerCommands(state, command.group, commands);
    return;
  }
  const auto& term = state.succession.groups[command.group];
  if (term.holder) {
    state.link->Send(state.link->LinkTo(term.holder->instance.address),
                     CancelMessage{.group = command.group, .job = command.job});
  }
}

auto Execute(EntryState& state, const AnswerJob& command) -> void {
  const auto it = state.callers.find(command.result.name);
  if (it == state.callers.end()) {
    return;
  }
  auto caller = std::move(it->second);
  state.callers.erase(it);
  state.jobs_by_request.erase(caller.request);
  if (command.result.outcome == JobOutcome::kCancelled) {
    RememberCancelled(state.cancellations, command.result.name,
                      BootClock::now());
  }
  const auto elapsed = BootClock::now() - caller.arrived;
  state.metrics.CountAnswer(command.result.outcome, elapsed);
  LogAnswer(state, command.result, command.group, elapsed);
  caller.respond(command.all_evacuated
                     ? platform::EncodeAllEvacuated(command.result.retry_after)
                     : platform::EncodeResult(command.result));
}

// Cancels the jobs at the former holder of a group when the group has another
// holder. The former holder may be alive and partitioned from some instances
// only: without the cancellation its runs could continue in addition to those
// of the new holder.
auto WithdrawFromFormerHolder(EntryState& state,
                              const std::string& group,
                              const InstanceRef& holder) -> void {
  auto& former = state.last_holder[group];
  if (former == holder) {
    return;
  }
  const auto link = state.link->LinkTo(former.address);
  for (const auto& [name, job] : state.intake.jobs) {
    if (link != 0 && job.group == group) {
      state.link->Send(link, CancelMessage{.group = group, .job = name});
    }
  }
  former = holder;
}

}  // namespace

auto OnCallerRequest(EntryState& state,
                     const HttpRequest& request,
                     HttpResponder respond) -> void {
  HandleSuspension(state, BootClock::now());
  if (state.routes.version == 0) {
    respond(platform::EncodeRefusal(kRetryAfterDuringStartup,
                                    "no configuration yet"));
    return;
  }
  const auto found =
      FindRoute(state.routes, FindHeader(request.headers, "Host"),
                TargetPath(request.target));
  if (!found) {
    respond(platform::EncodeError(404, "no such queue"));
    return;
  }
  if (request.method == "POST") {
    OnSubmission(state, *found->route, found->rest, request,
                 std::move(respond));
    return;
  }
  const auto job = platform::ParseJobName(found->rest);
  if (request.method == "DELETE" && job) {
    OnCallerCancel(state, *job, std::move(respond));
    return;
  }
  respond(AnswerState(state, *found->route, request.method, found->rest));
}

auto OnCallerAbandoned(EntryState& state, uint64_t request) -> void {
  const auto it = state.jobs_by_request.find(request);
  if (it == state.jobs_by_request.end()) {
    return;
  }
  const auto name = it->second;
  state.jobs_by_request.erase(it);
  state.callers.erase(name);
  state.metrics.CountEvent("caller_left");
  IntakeCommands commands;
  OnCallerDisconnected(state.intake, name, commands);
  RunIntakeCommands(state, commands);
  ArmDueTimer(state);
}

auto RunIntakeCommands(EntryState& state, const IntakeCommands& commands)
    -> void {
  for (auto& it : commands) {
    std::visit([&](const auto& command) { Execute(state, command); }, it);
  }
}

auto RefreshGroupView(EntryState& state, const std::string& group) -> void {
  const auto& term = state.succession.groups[group];
  if (!state.evacuations.zones.empty()) {
    RefreshEvacuatedGroups(state);
  }
  GroupView view;
  if (term.holder) {
    view.token = term.holder->token;
    WithdrawFromFormerHolder(state, group, term.holder->instance);
  }
  GroupStatus status;
  if (state.schedulers.contains(group)) {
    status = StatusOf(state, group);
    view.reachable = true;
  } else if (term.holder) {
    const auto id = state.link->LinkTo(term.holder->instance.address);
    const auto peer = state.peers.find(id);
    if (peer != state.peers.end()) {
      for (const auto& it : peer->second.groups) {
        if (it.group == group && it.token == view.token) {
          status = it;
          view.reachable = true;
        }
      }
    }
  }
  view.ready = status.ready;
  view.leaving = status.leaving;
  view.load = status.load;
  IntakeCommands commands;
  OnGroupView(state.intake, group, view, BootClock::now(), commands);
  RunIntakeCommands(state, commands);
}

}  // namespace boragecroft
