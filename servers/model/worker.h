// Describes instances and workers as the platform lists them.
#ifndef SERVERS_MODEL_WORKER_H_
#define SERVERS_MODEL_WORKER_H_

#include <optional>
#include <string>
#include <vector>

#include "core/base/address.h"
#include "servers/model/submission.h"

namespace boragecroft {

// One endpoint: a service on a worker.
struct PlatformWorker {
  std::string name;
  std::string zone;
  std::string service;
  Address address;
  uint32_t slots = 0;
  Needs capacity;
  // Changes when the endpoint restarts; empty when the list has none.
  std::string incarnation;
  bool leaving = false;
};

// Another instance of this daemon. The address is that of its interface for
// other instances.
struct PlatformInstance {
  std::string name;
  std::string zone;
  Address address;
  bool leaving = false;
};

// One reading of the platform's list, which may be out of date.
struct InstanceList {
  // When the platform created the list; empty when unknown.
  std::optional<WallTime> as_of;
  // Identifies these contents; empty when the platform has none.
  std::string tag;
  std::vector<PlatformInstance> instances;
  std::vector<PlatformWorker> workers;
};

}  // namespace boragecroft

#endif  // SERVERS_MODEL_WORKER_H_
