// Encodes the demands of teams in heartbeats: as numbers without names between
// instances that know the same teams, which is nearly always the case,
// otherwise by name.
#ifndef SERVERS_DISPATCHER_TEAM_DEMANDS_H_
#define SERVERS_DISPATCHER_TEAM_DEMANDS_H_

#include <cstdint>
#include <vector>

#include "servers/configuration/configuration.h"
#include "servers/dispatcher/peer_messages.h"
#include "servers/quota/quota_lease.h"

namespace boragecroft {

// Returns a digest of the names of all teams in their order.
auto TeamsDigest(const Configuration& configuration) -> uint32_t;

// Adds demands to a heartbeat to a peer that reported `receiver_digest` last
// (0: no report has been received yet).
auto EncodeTeamDemands(const Configuration& configuration,
                       const std::vector<TeamTasks>& demands,
                       uint32_t receiver_digest,
                       Heartbeat& heartbeat) -> void;

// Returns the demands in a peer's heartbeat. Numbers for teams other than those
// of `configuration` count as no demand, because the peer's next heartbeat
// contains the names.
auto DecodeTeamDemands(const Configuration& configuration,
                       const Heartbeat& heartbeat) -> std::vector<TeamTasks>;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_TEAM_DEMANDS_H_
