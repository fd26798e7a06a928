// Demands of teams as heartbeats carry them: as bare numbers between instances
// that know the same teams, which is nearly always, else by name.
#ifndef SERVERS_DISPATCHER_TEAM_DEMANDS_H_
#define SERVERS_DISPATCHER_TEAM_DEMANDS_H_

#include <cstdint>
#include <vector>

#include "servers/configuration/configuration.h"
#include "servers/dispatcher/peer_messages.h"
#include "servers/quota/quota_lease.h"

namespace boragecroft {

// Identifies the names of all teams and their order.
auto TeamsDigest(const Configuration& configuration) -> uint32_t;

// Puts demands into a heartbeat to a peer that reported `receiver_digest` last
// (0: nothing heard yet).
auto EncodeTeamDemands(const Configuration& configuration,
                       const std::vector<TeamTasks>& demands,
                       uint32_t receiver_digest,
                       Heartbeat& heartbeat) -> void;

// The demands in a peer's heartbeat. Numbers for other teams than those of
// `configuration` count as no demand: the peer's next heartbeat has the names.
auto DecodeTeamDemands(const Configuration& configuration,
                       const Heartbeat& heartbeat) -> std::vector<TeamTasks>;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_TEAM_DEMANDS_H_
