// Keeps the configuration in force up to date: polls the platform, exchanges
// with other instances, serves operators.
#ifndef SERVERS_DISPATCHER_CONFIGURATION_FLOW_H_
#define SERVERS_DISPATCHER_CONFIGURATION_FLOW_H_

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Polls and notices pauses; call at each tick.
auto AdvanceConfiguration(EventContext& context) -> void;

// A peer has `version` in force.
auto OnPeerVersion(EventContext& context,
                   const PeerInstance& peer,
                   uint64_t version) -> void;
auto OnConfigurationRequest(EventContext& context,
                            Incarnation from,
                            const ConfigurationRequest& request) -> void;
auto OnConfigurationTransfer(EventContext& context,
                             Incarnation from,
                             const ConfigurationTransfer& transfer) -> void;

// Writes an operator's document under its conditions and replies once it is
// settled.
auto OnApplyConfiguration(EventContext& context,
                          uint64_t number,
                          ApplyConfiguration apply) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_CONFIGURATION_FLOW_H_
