// Picks the worker for a task. This decision is made for every start.
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
  // Workers that must not get the task: ejected workers, and workers that have
  // an attempt of the task or refused it.
  std::span<const WorkerId> excluded;
  // Ejected workers that are due one task as a probe. Must be empty for a task
  // that must not be sent to an ejected worker.
  std::span<const WorkerId> probe_due;
};

// Returns the index into `fleet.workers`, or nothing if the task has to wait.
// Makes one pass over the service's workers.
auto PickWorker(Fleet& fleet,
                const PickRequest& request,
                DispatchPolicy policy,
                Random& random,
                Now now) -> std::optional<size_t>;

}  // namespace boragecroft

#endif  // SERVERS_FLEET_PICK_H_
