// Keeps the configuration in force up to date: polls the platform, exchanges
// documents with other instances and serves operators.
#ifndef SERVERS_DISPATCHER_CONFIGURATION_FLOW_H_
#define SERVERS_DISPATCHER_CONFIGURATION_FLOW_H_

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Polls the configuration when due and detects pauses of this process. Call at
// each tick.
auto AdvanceConfiguration(EventContext& context) -> void;

// Handles a peer's report that it has `version` in force.
auto OnPeerVersion(EventContext& context,
                   const PeerInstance& peer,
                   uint64_t version) -> void;
auto OnConfigurationRequest(EventContext& context,
                            Incarnation from,
                            const ConfigurationRequest& request) -> void;
auto OnConfigurationTransfer(EventContext& context,
                             Incarnation from,
                             const ConfigurationTransfer& transfer) -> void;

// Writes an operator's document under the operator's conditions, and replies
// when the outcome is known.
auto OnApplyConfiguration(EventContext& context,
                          uint64_t number,
                          ApplyConfiguration apply) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_CONFIGURATION_FLOW_H_
