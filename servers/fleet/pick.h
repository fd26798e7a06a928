// Picks the worker for a task: the decision that is made for every start.
#ifndef SERVERS_FLEET_PICK_H_
#define SERVERS_FLEET_PICK_H_

#include <cstddef>
#include <optional>
#include <span>
#include <string>

#include "core/base/clock.h"
#include "core/base/random.h"
#include "servers/configuration/configuration.h"
#include "servers/fleet/fleet.h"

namespace boragecroft {

struct PickRequest {
  std::string service;
  Needs needs;
  // Workers that must not get the task: those put aside, and those that have an
  // attempt of it or refused it.
  std::span<const WorkerId> excluded;
  // Workers put aside that are to get one task as a probe. Leave empty for a
  // task that must not be risked.
  std::span<const WorkerId> probe_due;
};

// The index into fleet.workers, or nothing when the task has to wait. One pass
// over the service's workers.
auto PickWorker(Fleet& fleet,
                const PickRequest& request,
                DispatchPolicy policy,
                Random& random,
                Now now) -> std::optional<size_t>;

}  // namespace boragecroft

#endif  // SERVERS_FLEET_PICK_H_
