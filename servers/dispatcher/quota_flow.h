// Shares the teams' quotas with the instances of the zone, by their heartbeats.
#ifndef SERVERS_DISPATCHER_QUOTA_FLOW_H_
#define SERVERS_DISPATCHER_QUOTA_FLOW_H_

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Renews this instance's shares of the quotas; call several times a second.
auto ShareQuotas(EventContext& context) -> void;

// True when this instance has its part of the quotas, or when a member of its
// zone has kept it from agreeing on one for so long that it should serve on
// what others lend it.
auto MayServeQuotas(const Dispatcher& dispatcher, Instant now) -> bool;

// What the platform's list says about the instances of the zone.
auto UpdateQuotaRoster(EventContext& context) -> void;

// Drops members of the roster that have ended; call several times a second, so
// that it also happens while the platform is away.
auto DropEndedMembers(EventContext& context) -> void;

// The reports for the zone's instances, one each; notes the leases that they
// grant.
auto MakeQuotaReports(EventContext& context) -> std::vector<AddressedReport>;
auto AddQuotaReport(const Dispatcher& dispatcher,
                    const std::vector<AddressedReport>& reports,
                    const PeerInstance& receiver,
                    Heartbeat& heartbeat) -> void;
auto ApplyQuotaReport(EventContext& context,
                      const PeerInstance& peer,
                      const Heartbeat& heartbeat) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_QUOTA_FLOW_H_
