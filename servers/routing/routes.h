// Holds the configured routes, which map the host and path of a request to the
// service that runs its jobs.
#ifndef SERVERS_ROUTING_ROUTES_H_
#define SERVERS_ROUTING_ROUTES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/clock.h"

namespace boragecroft {

struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // begins and ends with a slash
  std::string service;
  // Time that callers of the route wait unless their requests state another.
  milliseconds timeout{};
  milliseconds target{};    // constant part of the latency objective
  double slack_factor = 1;  // objective per run time of the longest task
  uint32_t max_attempts = 1;
  uint32_t priority = 0;
};

// What one request of a caller may contain and how long it may take to arrive.
struct RequestLimits {
  size_t max_header_bytes = 16384;  // start line and header lines
  size_t max_body_bytes = 262144;
  milliseconds header_timeout{3000};  // from its first byte to its header's end
  milliseconds idle_timeout{15000};   // wait for the first byte of a request
};

// One version of the operators' configuration of routes.
struct RouteTable {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<std::string> services;
  RequestLimits limits;
};

// Path of a request, split by its route.
struct RoutedPath {
  const Route* route = nullptr;
  std::string_view rest;  // part of the path after the prefix
};

// Returns the route with the longest prefix of `path` on `host`. The port of
// the host and the case of its letters are ignored. Empty when no route
// matches.
auto FindRoute(const RouteTable& table,
               std::string_view host,
               std::string_view path) -> std::optional<RoutedPath>;

// Replaces `current` if `candidate` has a newer version, and reports whether it
// did. A version never reverts.
auto AdoptRoutes(RouteTable& current, RouteTable candidate) -> bool;

}  // namespace boragecroft

#endif  // SERVERS_ROUTING_ROUTES_H_
