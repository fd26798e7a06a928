// What the callers' thread needs to know to check requests, published by the
// dispatcher whenever it changes.
#ifndef SERVERS_DISPATCHER_CALLER_VIEW_H_
#define SERVERS_DISPATCHER_CALLER_VIEW_H_

#include <atomic>
#include <memory>

#include "servers/configuration/configuration.h"

namespace boragecroft {

struct CallerView {
  std::shared_ptr<const Configuration>
      configuration;   // null until one is in force
  bool ready = false;  // may be offered by the balancer
};

// Holds the current view; any thread may load it.
using SharedCallerView = std::atomic<std::shared_ptr<const CallerView>>;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_CALLER_VIEW_H_
