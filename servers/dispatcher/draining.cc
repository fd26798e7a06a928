#include "servers/dispatcher/draining.h"

#include <algorithm>

#include "core/log/log.h"
#include "servers/dispatcher/dispatcher.h"
#include "servers/dispatcher/job_table.h"
#include "servers/dispatcher/membership_flow.h"
#include "servers/dispatcher/record_flow.h"

namespace boragecroft {
namespace {

auto Enter(Step& step, DrainPhase phase, std::string_view name) -> void {
  step.dispatcher.drain = phase;
  step.dispatcher.view_changed = true;
  Log(LogLevel::kInfo, "drain",
      {{"phase", name}, {"jobs", step.dispatcher.deadlines.size()}});
}

auto HasWork(const Dispatcher& dispatcher) -> bool {
  return dispatcher.active_jobs > 0 || dispatcher.open_claims > 0 ||
         !dispatcher.relays.empty() || !dispatcher.lookups.empty();
}

// The instance that serves the unused ids from now on: the first reachable one
// of the zone by name, so that a peer that is itself leaving is passed over.
auto ChooseSuccessor(const Dispatcher& dispatcher, Instant now)
    -> std::optional<Incarnation> {
  const auto peers = ReachableZonePeers(dispatcher.membership, now);
  const auto it =
      std::min_element(peers.begin(), peers.end(),
                       [](const PeerInstance* a, const PeerInstance* b) {
                         return a->name < b->name;
                       });
  return it == peers.end() ? std::nullopt : std::optional((*it)->incarnation);
}

auto FinishOrGiveUp(Step& step) -> void {
  auto& dispatcher = step.dispatcher;
  const auto late = step.now.boot - dispatcher.drain_started >
                    dispatcher.settings.drain_timeout;
  if (HasWork(dispatcher) && !late) {
    return;
  }
  std::vector<JobId> open;
  for (const auto& it : dispatcher.deadlines) {
    open.push_back(it.second);
  }
  for (const auto& it : open) {
    StopJob(step, it, kReasonStopped);
  }
  if (dispatcher.active_jobs > 0 &&
      step.now.boot - dispatcher.drain_started <
          dispatcher.settings.drain_timeout + dispatcher.settings.answer_hold) {
    return;
  }
  Enter(step, DrainPhase::kFlushing, "flushing");
}

// Closed as clean, the ledger says that ids without a record never ran: that
// would be false for a job that is still open here. Left open, survivors close
// it and call such jobs lost.
auto CloseLedger(Step& step) -> void {
  auto& dispatcher = step.dispatcher;
  if (dispatcher.active_jobs == 0 &&
      dispatcher.ledger.phase == LedgerPhase::kOpen) {
    RequestClose(dispatcher.ledger, ChooseSuccessor(dispatcher, step.now.boot),
                 CollectUnused(dispatcher.mint, step.now));
  }
}

// An instance that gave no id and took none over told no caller anything that a
// record has to bear out.
auto HasIds(const Dispatcher& dispatcher) -> bool {
  return dispatcher.mint.next_sequence > 0 || !dispatcher.adopted.empty();
}

// Until its records are durable, this instance alone knows how its jobs ended:
// survivors would call them lost, against what callers were told. So it goes on
// answering for them, however long the platform is away.
auto FlushOrGiveUp(Step& step) -> void {
  auto& dispatcher = step.dispatcher;
  CloseLedger(step);
  const auto phase = dispatcher.ledger.phase;
  const auto recorded =
      phase == LedgerPhase::kClosed ||
      (phase == LedgerPhase::kFenced && !dispatcher.ledger.in_flight &&
       dispatcher.ledger.pending.entries.empty());
  const auto late =
      step.now.boot - dispatcher.drain_started >
      dispatcher.settings.drain_timeout + dispatcher.settings.answer_hold * 2;
  if (recorded || (late && !HasIds(dispatcher))) {
    Enter(step, DrainPhase::kStopped,
          recorded ? "stopped" : "stopped_unrecorded");
    AnnounceStop(step);
  }
}

}  // namespace

auto BeginDrain(Step& step) -> void {
  auto& dispatcher = step.dispatcher;
  if (dispatcher.drain != DrainPhase::kServing) {
    return;
  }
  dispatcher.drain_started = step.now.boot;
  Enter(step, DrainPhase::kLeaving, "leaving");
  for (auto& it : dispatcher.membership.peers) {
    it.next_heartbeat = step.now.boot;
  }
}

auto TendDrain(Step& step) -> void {
  auto& dispatcher = step.dispatcher;
  if (dispatcher.deposed && dispatcher.drain == DrainPhase::kServing) {
    BeginDrain(step);
  }
  switch (dispatcher.drain) {
    case DrainPhase::kServing:
    case DrainPhase::kStopped:
      return;
    case DrainPhase::kLeaving:
      if (step.now.boot - dispatcher.drain_started >=
          dispatcher.settings.balancer_grace) {
        Enter(step, DrainPhase::kFinishing, "finishing");
      }
      return;
    case DrainPhase::kFinishing:
      FinishOrGiveUp(step);
      return;
    case DrainPhase::kFlushing:
      FlushOrGiveUp(step);
      return;
  }
}

auto IsStopped(const Dispatcher& dispatcher) -> bool {
  return dispatcher.drain == DrainPhase::kStopped;
}

}  // namespace boragecroft
