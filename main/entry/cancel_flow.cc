#include "main/entry/cancel_flow.h"

#include <utility>

#include "core/log/log.h"
#include "main/entry/entry_instance.h"
#include "main/entry/group_flow.h"
#include "main/entry/job_flow.h"
#include "platform/ingress.h"

namespace boragecroft {
namespace {

// Time after which a caller should ask again when a holder did not confirm.
constexpr milliseconds kRetryAfterUnconfirmed{1000};

// Adds the holders of the groups that this instance does not hold.
auto AddOtherHolders(const EntryState& state, CancelTargets& out) -> void {
  for (const auto& [group, term] : state.succession.groups) {
    if (state.schedulers.contains(group)) {
      continue;
    }
    const auto link =
        term.holder ? state.link->LinkTo(term.holder->instance.address) : 0;
    if (link == 0 || term.status != HolderStatus::kReachable) {
      out.complete = false;
    } else {
      out.holders.insert(link);
    }
  }
}

// Ends the job wherever this instance has it.
auto CancelHere(EntryState& state, JobName job) -> CancelTargets {
  const auto now = BootClock::now();
  RememberCancelled(state.cancellations, job, now);
  CancelTargets out;
  IntakeCommands commands;
  out.found = OnCancelledByCaller(state.intake, job, commands);
  RunIntakeCommands(state, commands);
  ForEachHeldGroup(
      state, [&](Scheduler& scheduler, SchedulerCommands& scheduler_commands) {
        const auto it = scheduler.jobs.find(job);
        const auto origin =
            it == scheduler.jobs.end() ? OriginId{0} : it->second.origin;
        if (!OnCancelledByCaller(scheduler, job, now, scheduler_commands)) {
          return;
        }
        out.found = true;
        if (origin != 0) {
          out.origins.insert(origin);
        }
      });
  if (out.found && MayLog(state.log_budget, now)) {
    Log(LogLevel::kInfo, "job_cancelled", {{"job", platform::ToString(job)}});
  }
  return out;
}

auto EncodeCancel(CancelOutcome outcome) -> HttpResponse {
  switch (outcome) {
    case CancelOutcome::kCancelled:
      return platform::EncodeCancelled();
    case CancelOutcome::kNotFound:
      return platform::EncodeError(410, "no such job");
    case CancelOutcome::kUnconfirmed:
      return platform::EncodeRefusal(
          kRetryAfterUnconfirmed,
          "not confirmed: an instance that may have the "
          "job cannot be reached");
  }
  return platform::EncodeError(500, "unknown outcome");
}

auto Execute(EntryState& state, const AskHolder& command) -> void {
  state.link->Send(command.holder,
                   CancelRequest{.job = command.job, .number = command.number});
}

// Replies to the request of another instance. One that can't be confirmed gets
// no reply, so that the other instance does not answer its caller as if it
// were.
auto AnswerPeer(EntryState& state, const AnswerCancel& command) -> void {
  const auto it = state.cancel_peers.find(command.number);
  if (it == state.cancel_peers.end()) {
    return;
  }
  const auto peer = it->second;
  state.cancel_peers.erase(it);
  if (command.outcome != CancelOutcome::kUnconfirmed) {
    const auto found = command.outcome == CancelOutcome::kCancelled;
    state.link->Send(peer.link,
                     CancelReply{.number = peer.number, .found = found});
  }
}

auto Execute(EntryState& state, const AnswerCancel& command) -> void {
  if (command.outcome == CancelOutcome::kUnconfirmed) {
    state.metrics.CountEvent("cancel_unconfirmed");
  }
  const auto it = state.cancel_callers.find(command.number);
  if (it == state.cancel_callers.end()) {
    AnswerPeer(state, command);
    return;
  }
  const auto respond = std::move(it->second);
  state.cancel_callers.erase(it);
  respond(EncodeCancel(command.outcome));
}

}  // namespace

auto OnCallerCancel(EntryState& state, JobName job, HttpResponder respond)
    -> void {
  auto targets = CancelHere(state, job);
  AddOtherHolders(state, targets);
  CancelCommands commands;
  const auto number = OnCancelRequested(state.cancellations, job, targets,
                                        BootClock::now(), commands);
  state.cancel_callers.emplace(number, std::move(respond));
  RunCancelCommands(state, commands);
  ArmDueTimer(state);
}

auto OnPeerCancel(EntryState& state, LinkId link, const CancelRequest& request)
    -> void {
  auto targets = CancelHere(state, request.job);
  // An origin that asks does not hand the job over any more.
  targets.origins.erase(link);
  CancelCommands commands;
  const auto number = OnCancelRequested(state.cancellations, request.job,
                                        targets, BootClock::now(), commands);
  state.cancel_peers[number] = {.link = link, .number = request.number};
  RunCancelCommands(state, commands);
  ArmDueTimer(state);
}

auto RunCancelCommands(EntryState& state, const CancelCommands& commands)
    -> void {
  for (const auto& it : commands) {
    std::visit([&](const auto& command) { Execute(state, command); }, it);
  }
}

}  // namespace boragecroft
