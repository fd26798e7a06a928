// Handles each event of one instance by combining the decisions of all modules.
// The functions are pure: events, time and entropy are inputs, and commands for
// the other threads are outputs.
#ifndef SERVERS_DISPATCHER_DISPATCHER_H_
#define SERVERS_DISPATCHER_DISPATCHER_H_

#include <memory>

#include "servers/dispatcher/caller_view.h"
#include "servers/dispatcher/state.h"

namespace boragecroft {

// Creates the state of an instance. `self` must never have been used before;
// `seed` determines all later random choices.
auto MakeDispatcher(DispatcherSettings settings,
                    Incarnation self,
                    uint64_t seed,
                    const Now& now) -> std::unique_ptr<Dispatcher>;

auto OnCallerRequest(EventContext& context, CallerRequest request) -> void;
auto OnAttemptOutcome(EventContext& context, const AttemptOutcome& outcome)
    -> void;
auto OnPeerMessage(EventContext& context, PeerMessage message) -> void;
auto OnPlatformOutcome(EventContext& context, PlatformOutcome outcome) -> void;
auto OnOperatorRequest(EventContext& context, OperatorRequest request) -> void;

// Begins a planned stop.
auto BeginDrain(EventContext& context) -> void;

// Performs all work that is due. Call after each batch of events, and at least
// every 10 ms.
auto Advance(EventContext& context) -> void;

// Reports whether the process may end: everything has been answered and
// recorded, or the time for it is over.
auto IsStopped(const Dispatcher& dispatcher) -> bool;

// Returns the current view for the callers' thread.
auto MakeCallerView(const Dispatcher& dispatcher, const Now& now)
    -> std::shared_ptr<const CallerView>;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_DISPATCHER_H_
