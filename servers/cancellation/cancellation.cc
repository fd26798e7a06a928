#include "servers/cancellation/cancellation.h"

namespace boragecroft {
namespace {

// A job may arrive on another way seconds after its caller cancelled it.
constexpr milliseconds kRemembered{20000};
constexpr size_t kMaxRemembered = 20000;
constexpr milliseconds kConfirmTimeout{1000};

auto ForgetOldest(Cancellations& state) -> void {
  const auto [until, job] = state.expiries.front();
  state.expiries.pop_front();
  const auto it = state.remembered.find(job);
  if (it != state.remembered.end() && it->second.until == until) {
    state.remembered.erase(it);
  }
}

auto OutcomeOf(const PendingCancel& pending) -> CancelOutcome {
  if (pending.found && !pending.origin_unconfirmed) {
    return CancelOutcome::kCancelled;
  }
  return pending.found || pending.unconfirmed ? CancelOutcome::kUnconfirmed
                                              : CancelOutcome::kNotFound;
}

// Answers the request if the outcome is known.
auto AnswerIfDecided(Cancellations& state,
                     std::map<CancelNumber, PendingCancel>::iterator it,
                     CancelCommands& out) -> void {
  const auto& pending = it->second;
  const auto decided =
      (pending.found && pending.origins.empty()) || pending.awaited.empty();
  if (!decided) {
    return;
  }
  if (pending.found) {
    const auto remembered = state.remembered.find(pending.job);
    if (remembered != state.remembered.end()) {
      remembered->second.origin_unconfirmed = pending.origin_unconfirmed;
    }
  }
  out.push_back(
      AnswerCancel{.number = it->first, .outcome = OutcomeOf(pending)});
  state.pending.erase(it);
}

}  // namespace

auto RememberCancelled(Cancellations& state, JobName job, Instant now) -> void {
  while (!state.expiries.empty() && (state.expiries.front().first <= now ||
                                     state.expiries.size() >= kMaxRemembered)) {
    ForgetOldest(state);
  }
  const auto until = now + kRemembered;
  state.remembered[job].until = until;
  state.expiries.emplace_back(until, job);
}

auto IsCancelled(const Cancellations& state, JobName job, Instant now) -> bool {
  const auto it = state.remembered.find(job);
  return it != state.remembered.end() && now < it->second.until;
}

auto OnCancelRequested(Cancellations& state,
                       JobName job,
                       const CancelTargets& targets,
                       Instant now,
                       CancelCommands& out) -> CancelNumber {
  RememberCancelled(state, job, now);
  auto& remembered = state.remembered[job];
  const auto number = ++state.last_number;
  PendingCancel pending{
      .job = job,
      .awaited = targets.holders,
      .origins = targets.origins,
      .found = targets.found,
      .unconfirmed = !targets.complete || remembered.origin_unconfirmed,
      .due = now + kConfirmTimeout};
  if (!targets.origins.empty()) {
    remembered.origin_unconfirmed = true;
  }
  pending.awaited.insert(targets.origins.begin(), targets.origins.end());
  for (const auto it : pending.awaited) {
    out.push_back(AskHolder{.holder = it, .number = number, .job = job});
  }
  const auto it = state.pending.emplace(number, std::move(pending)).first;
  AnswerIfDecided(state, it, out);
  return number;
}

auto OnCancelConfirmed(Cancellations& state,
                       HolderId holder,
                       CancelNumber number,
                       bool found,
                       CancelCommands& out) -> void {
  const auto it = state.pending.find(number);
  if (it == state.pending.end() || it->second.awaited.erase(holder) == 0) {
    return;
  }
  it->second.origins.erase(holder);
  it->second.found = it->second.found || found;
  AnswerIfDecided(state, it, out);
}

auto OnHolderLost(Cancellations& state, HolderId holder, CancelCommands& out)
    -> void {
  for (auto it = state.pending.begin(); it != state.pending.end();) {
    const auto next = std::next(it);
    if (it->second.awaited.erase(holder) > 0) {
      it->second.unconfirmed = true;
      if (it->second.origins.erase(holder) > 0) {
        it->second.origin_unconfirmed = true;
      }
      AnswerIfDecided(state, it, out);
    }
    it = next;
  }
}

auto OnTime(Cancellations& state, Instant now, CancelCommands& out) -> void {
  // The numbers rise with the times at which the requests are due.
  while (!state.pending.empty() && state.pending.begin()->second.due <= now) {
    const auto it = state.pending.begin();
    it->second.origin_unconfirmed =
        it->second.origin_unconfirmed || !it->second.origins.empty();
    it->second.origins.clear();
    it->second.awaited.clear();
    it->second.unconfirmed = true;
    AnswerIfDecided(state, it, out);
  }
}

auto NextDue(const Cancellations& state) -> std::optional<Instant> {
  if (state.pending.empty()) {
    return std::nullopt;
  }
  return state.pending.begin()->second.due;
}

}  // namespace boragecroft
