// Shares the teams' quotas with the other instances of the zone by means of
// heartbeats.
#ifndef SERVERS_DISPATCHER_QUOTA_FLOW_H_
#define SERVERS_DISPATCHER_QUOTA_FLOW_H_

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Renews this instance's shares of the quotas. Call several times a second.
auto UpdateQuotaShares(EventContext& context) -> void;

// Reports whether this instance has its part of the quotas, or whether a member
// of its zone has prevented an agreement for so long that this instance should
// serve with what others lend to it.
auto MayServeQuotas(const Dispatcher& dispatcher, Instant now) -> bool;

// Updates the quota roster from the instances of the zone in the platform's
// list.
auto UpdateQuotaRoster(EventContext& context) -> void;

// Removes terminated members from the roster. Call several times a second, so
// that they are also removed while the platform is unavailable.
auto DropTerminatedMembers(EventContext& context) -> void;

// Returns one report for each instance of the zone, and records the leases that
// the reports grant.
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
