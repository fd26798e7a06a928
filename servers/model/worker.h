// Entry instances and workers as the platform's list names them.
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
  std::string incarnation;  // changes when the endpoint restarts; empty when
                            // the list has none
  bool leaving = false;
};

// Another daemon; the address is that of its interface towards instances.
struct PlatformInstance {
  std::string name;
  std::string zone;
  Address address;
  bool leaving = false;
};

// One reading of the platform's list, which lags behind what is true.
struct InstanceList {
  std::optional<WallTime>
      as_of;        // when the platform made it; empty when it does not say
  std::string tag;  // of these contents; empty when the platform has none
  std::vector<PlatformInstance> instances;
  std::vector<PlatformWorker> workers;
};

}  // namespace boragecroft

#endif  // SERVERS_MODEL_WORKER_H_
