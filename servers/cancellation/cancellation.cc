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
  if (it != state.remembered.end() && it->second == until) {
    state.remembered.erase(it);
  }
}

// Answers the caller if the outcome is known.
auto AnswerIfDecided(Cancellations& state,
                     std::map<CancelNumber, PendingCancel>::iterator it,
                     CancelCommands& out) -> void {
  const auto& pending = it->second;
  const auto decided = pending.found || pending.awaited.empty();
  if (!decided) {
    return;
  }
  auto outcome = CancelOutcome::kNotFound;
  if (pending.found) {
    outcome = CancelOutcome::kCancelled;
  } else if (pending.unconfirmed) {
    outcome = CancelOutcome::kUnconfirmed;
  }
  out.push_back(AnswerCancel{.number = it->first, .outcome = outcome});
  state.pending.erase(it);
}

}  // namespace

auto RememberCancelled(Cancellations& state, JobName job, Instant now) -> void {
  while (!state.expiries.empty() && (state.expiries.front().first <= now ||
                                     state.expiries.size() >= kMaxRemembered)) {
    ForgetOldest(state);
  }
  const auto until = now + kRemembered;
  state.remembered[job] = until;
  state.expiries.emplace_back(until, job);
}

auto IsCancelled(const Cancellations& state, JobName job, Instant now) -> bool {
  const auto it = state.remembered.find(job);
  return it != state.remembered.end() && now < it->second;
}

auto OnCancelRequested(Cancellations& state,
                       JobName job,
                       bool found,
                       const std::vector<HolderId>& holders,
                       bool complete,
                       Instant now,
                       CancelCommands& out) -> CancelNumber {
  RememberCancelled(state, job, now);
  const auto number = ++state.last_number;
  PendingCancel pending{
      .found = found, .unconfirmed = !complete, .due = now + kConfirmTimeout};
  for (const auto it : holders) {
    pending.awaited.insert(it);
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
  it->second.found = it->second.found || found;
  AnswerIfDecided(state, it, out);
}

auto OnHolderLost(Cancellations& state, HolderId holder, CancelCommands& out)
    -> void {
  for (auto it = state.pending.begin(); it != state.pending.end();) {
    const auto next = std::next(it);
    if (it->second.awaited.erase(holder) > 0) {
      it->second.unconfirmed = true;
      AnswerIfDecided(state, it, out);
    }
    it = next;
  }
}

auto OnTime(Cancellations& state, Instant now, CancelCommands& out) -> void {
  // The numbers rise with the times at which the requests are due.
  while (!state.pending.empty() && state.pending.begin()->second.due <= now) {
    const auto it = state.pending.begin();
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
