#include "main/entry/cancel_flow.h"

#include <set>
#include <utility>
#include <vector>

#include "core/log/log.h"
#include "main/entry/entry_instance.h"
#include "main/entry/group_flow.h"
#include "main/entry/job_flow.h"
#include "platform/ingress.h"

namespace boragecroft {
namespace {

// Time after which a caller should ask again when a holder did not confirm.
constexpr milliseconds kRetryAfterUnconfirmed{1000};

struct OtherHolders {
  std::set<HolderId> links;
  bool complete = true;  // every group has a holder that can be asked
};

auto FindOtherHolders(const EntryState& state) -> OtherHolders {
  OtherHolders out;
  for (const auto& [group, term] : state.succession.groups) {
    if (state.schedulers.contains(group)) {
      continue;
    }
    const auto link =
        term.holder ? state.link->LinkTo(term.holder->instance.address) : 0;
    if (link == 0 || term.status != HolderStatus::kReachable) {
      out.complete = false;
    } else {
      out.links.insert(link);
    }
  }
  return out;
}

// Ends the job wherever this instance has it. Returns whether it had it.
auto CancelHere(EntryState& state, JobName job) -> bool {
  const auto now = BootClock::now();
  RememberCancelled(state.cancellations, job, now);
  IntakeCommands commands;
  auto found = OnCancelledByCaller(state.intake, job, commands);
  RunIntakeCommands(state, commands);
  ForEachHeldGroup(state, [&](Scheduler& scheduler, SchedulerCommands& out) {
    found = OnCancelledByCaller(scheduler, job, now, out) || found;
  });
  if (found && MayLog(state.log_budget, now)) {
    Log(LogLevel::kInfo, "job_cancelled", {{"job", platform::ToString(job)}});
  }
  return found;
}

auto EncodeCancel(CancelOutcome outcome) -> HttpResponse {
  switch (outcome) {
    case CancelOutcome::kCancelled:
      return platform::EncodeCancelled();
    case CancelOutcome::kNotFound:
      return platform::EncodeError(410, "no such job");
    case CancelOutcome::kUnconfirmed:
      return platform::EncodeRefusal(kRetryAfterUnconfirmed,
                                     "not cancelled: a holder is unreachable");
  }
  return platform::EncodeError(500, "unknown outcome");
}

auto Execute(EntryState& state, const AskHolder& command) -> void {
  state.link->Send(command.holder,
                   CancelRequest{.job = command.job, .number = command.number});
}

auto Execute(EntryState& state, const AnswerCancel& command) -> void {
  const auto it = state.cancel_callers.find(command.number);
  if (it == state.cancel_callers.end()) {
    return;
  }
  const auto respond = std::move(it->second);
  state.cancel_callers.erase(it);
  if (command.outcome == CancelOutcome::kUnconfirmed) {
    state.metrics.CountEvent("cancel_unconfirmed");
  }
  respond(EncodeCancel(command.outcome));
}

}  // namespace

auto OnCallerCancel(EntryState& state, JobName job, HttpResponder respond)
    -> void {
  const auto found = CancelHere(state, job);
  const auto others = FindOtherHolders(state);
  CancelCommands commands;
  const auto number = OnCancelRequested(
      state.cancellations, job, found,
      std::vector<HolderId>(others.links.begin(), others.links.end()),
      others.complete, BootClock::now(), commands);
  state.cancel_callers.emplace(number, std::move(respond));
  RunCancelCommands(state, commands);
  ArmDueTimer(state);
}

auto OnPeerCancel(EntryState& state, LinkId link, const CancelRequest& request)
    -> void {
  const auto found = CancelHere(state, request.job);
  state.link->Send(link, CancelReply{.number = request.number, .found = found});
}

auto RunCancelCommands(EntryState& state, const CancelCommands& commands)
    -> void {
  for (const auto& it : commands) {
    std::visit([&](const auto& command) { Execute(state, command); }, it);
  }
}

}  // namespace boragecroft
