// Decides when a configuration that peers know is requested from one of them.
//
// Handles configurations of hundreds of kilobytes on links of 2 Mbit/s: when
// every heartbeat that named a newer version caused a request, the copies used
// up the links, heartbeats were late, and instances lost each other. The store
// is the main source, so it gets some time first, and then one peer at a time
// is asked, at growing intervals.
#ifndef SERVERS_ROUTING_ROUTES_REFRESH_H_
#define SERVERS_ROUTING_ROUTES_REFRESH_H_

#include <cstdint>

#include "core/base/clock.h"

namespace boragecroft {

struct RoutesRefresh {
  Instant next_request;  // zero while no newer version is known
  milliseconds interval{};
};

// Handles the report of a peer that it knows the version `offered`. Returns
// whether to request it from that peer now. `known` is this instance's version.
auto ShouldRequestRoutes(RoutesRefresh& state,
                         uint64_t known,
                         uint64_t offered,
                         Instant now) -> bool;
// Handles a newly adopted version.
auto OnRoutesAdopted(RoutesRefresh& state) -> void;

}  // namespace boragecroft

#endif  // SERVERS_ROUTING_ROUTES_REFRESH_H_
