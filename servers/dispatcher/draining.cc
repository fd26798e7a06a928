#include "servers/dispatcher/draining.h"

#include <algorithm>

#include "core/log/log.h"
#include "servers/dispatcher/dispatcher.h"
#include "servers/dispatcher/job_table.h"
#include "servers/dispatcher/membership_flow.h"
#include "servers/dispatcher/record_flow.h"

namespace boragecroft {
namespace {

auto EnterPhase(EventContext& context, DrainPhase phase, std::string_view name)
    -> void {
  context.dispatcher.drain = phase;
  context.dispatcher.view_changed = true;
  Log(LogLevel::kInfo, "drain",
      {{"phase", name}, {"jobs", context.dispatcher.deadlines.size()}});
}

auto HasWork(const Dispatcher& dispatcher) -> bool {
  return dispatcher.active_jobs > 0 || dispatcher.open_claims > 0 ||
         !dispatcher.relays.empty() || !dispatcher.lookups.empty();
}

// Returns the instance that serves the unused ids from now on: the first by
// name of the zone's instances that are reachable and not themselves leaving.
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

auto AdvanceFinishing(EventContext& context) -> void {
  auto& dispatcher = context.dispatcher;
  const auto late = context.now.boot - dispatcher.drain_started >
                    dispatcher.settings.drain_timeout;
  if (HasWork(dispatcher) && !late) {
    return;
  }
  std::vector<JobId> open;
  for (const auto& it : dispatcher.deadlines) {
    open.push_back(it.second);
  }
  for (const auto& it : open) {
    StopJob(context, it, kReasonInstanceStopped);
  }
  if (dispatcher.active_jobs > 0 &&
      context.now.boot - dispatcher.drain_started <
          dispatcher.settings.drain_timeout +
              dispatcher.settings.max_record_wait) {
    return;
  }
  EnterPhase(context, DrainPhase::kFlushing, "flushing");
}

// Closes the ledger unless a job is still active. A ledger that its owner
// closed states that ids without a record never ran, which would be false for
// an active job. A ledger that is left open is closed by other instances, which
// report such jobs as lost.
auto CloseLedger(EventContext& context) -> void {
  auto& dispatcher = context.dispatcher;
  if (dispatcher.active_jobs == 0 &&
      dispatcher.ledger.phase == LedgerPhase::kOpen) {
    RequestClose(dispatcher.ledger,
                 ChooseSuccessor(dispatcher, context.now.boot),
                 CollectUnused(dispatcher.mint, context.now));
  }
}

// Reports whether this instance has minted or inherited ids. An instance
// without ids has told callers nothing that a record must confirm.
auto HasIssuedIds(const Dispatcher& dispatcher) -> bool {
  return dispatcher.mint.next_sequence > 0 || !dispatcher.inherited.empty();
}

// Stops the instance when its records are durable, or, if it has no ids, when
// the time for the stop is over. Until its records are durable, only this
// instance knows how its jobs ended: other instances would report them as lost,
// contrary to what callers were told. Therefore it continues to answer for its
// jobs, however long the platform is unavailable.
auto AdvanceFlushing(EventContext& context) -> void {
  auto& dispatcher = context.dispatcher;
  CloseLedger(context);
  const auto phase = dispatcher.ledger.phase;
  const auto recorded =
      phase == LedgerPhase::kClosed ||
      (phase == LedgerPhase::kFenced && !dispatcher.ledger.in_flight &&
       dispatcher.ledger.pending.entries.empty());
  const auto late = context.now.boot - dispatcher.drain_started >
                    dispatcher.settings.drain_timeout +
                        dispatcher.settings.max_record_wait * 2;
  if (recorded || (late && !HasIssuedIds(dispatcher))) {
    EnterPhase(context, DrainPhase::kStopped,
               recorded ? "stopped" : "stopped_unrecorded");
    AnnounceStop(context);
  }
}

}  // namespace

auto BeginDrain(EventContext& context) -> void {
  auto& dispatcher = context.dispatcher;
  if (dispatcher.drain != DrainPhase::kServing) {
    return;
  }
  dispatcher.drain_started = context.now.boot;
  EnterPhase(context, DrainPhase::kLeaving, "leaving");
  for (auto& it : dispatcher.membership.peers) {
    it.next_heartbeat = context.now.boot;
  }
}

auto AdvanceDrain(EventContext& context) -> void {
  auto& dispatcher = context.dispatcher;
  if (dispatcher.fenced && dispatcher.drain == DrainPhase::kServing) {
    BeginDrain(context);
  }
  switch (dispatcher.drain) {
    case DrainPhase::kServing:
    case DrainPhase::kStopped:
      return;
    case DrainPhase::kLeaving:
      if (context.now.boot - dispatcher.drain_started >=
          dispatcher.settings.balancer_grace) {
        EnterPhase(context, DrainPhase::kFinishing, "finishing");
      }
      return;
    case DrainPhase::kFinishing:
      AdvanceFinishing(context);
      return;
    case DrainPhase::kFlushing:
      AdvanceFlushing(context);
      return;
  }
}

auto IsStopped(const Dispatcher& dispatcher) -> bool {
  return dispatcher.drain == DrainPhase::kStopped;
}

}  // namespace boragecroft
