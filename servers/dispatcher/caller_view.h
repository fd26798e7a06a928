// Defines the data that the callers' thread needs to check requests. The
// dispatcher publishes them whenever they change.
#ifndef SERVERS_DISPATCHER_CALLER_VIEW_H_
#define SERVERS_DISPATCHER_CALLER_VIEW_H_

#include <atomic>
#include <memory>

#include "servers/configuration/configuration.h"

namespace boragecroft {

struct CallerView {
  // Null until a configuration is in force.
  std::shared_ptr<const Configuration> configuration;
  bool ready = false;  // the load balancer may send requests
};

// The current view, which any thread may load.
using SharedCallerView = std::atomic<std::shared_ptr<const CallerView>>;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_CALLER_VIEW_H_
