// Distributes the slots of the zone's workers over its instances without
// messages: every instance computes the same owners from the same inputs.
#ifndef SERVERS_FLEET_ALLOTMENT_H_
#define SERVERS_FLEET_ALLOTMENT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/base/clock.h"
#include "servers/fleet/fleet.h"
#include "servers/fleet/slot_order.h"

namespace boragecroft {

// Smooths the demand that an instance reports in its heartbeats. The hysteresis
// is applied by the reporting instance, so that all instances allot slots from
// the same numbers.
struct DemandMeter {
  double smoothed = 0;  // slots
  uint32_t reported = 0;
  Instant updated{};
};

// Records the number of slots that this instance could use now (for tasks in
// progress and waiting) and returns the demand to report, in slots.
auto UpdateDemand(DemandMeter& meter, uint32_t slots, Now now) -> uint32_t;

struct InstanceDemand {
  std::string instance;
  uint32_t slots = 0;  // as reported
};

// Returns the number of connections that each of `instances` may have to one
// worker; at least 1.
auto ConnectionShare(uint32_t connections, size_t instances) -> uint32_t;

// Returns the number of slots for each instance, in the order of `demands`; the
// numbers sum up to all slots. A tenth of the slots is shared evenly, the rest
// in proportion to demand, where the demand of one instance counts for at most
// all slots.
auto ShareSlots(const std::vector<SharedWorker>& workers,
                const std::vector<InstanceDemand>& demands)
    -> std::vector<uint32_t>;

// Returns the owner of each slot: for each worker, in the order of `workers`,
// and each of its slots, the index into `demands`. The result depends on the
// names and not on the order of the arguments. `order` is a cache for the next
// call.
using SlotOwners = std::vector<std::vector<size_t>>;
auto AssignSlots(SlotOrder& order,
                 const std::vector<SharedWorker>& workers,
                 const std::vector<InstanceDemand>& demands) -> SlotOwners;

// Sets the allotted slots and the connection limit of the workers of a service
// for the instance `self`. If `demands` lacks `self`, it is added with a demand
// of 0.
auto AllotSlots(Fleet& fleet,
                const std::string& service,
                std::vector<InstanceDemand> demands,
                const std::string& self) -> void;

}  // namespace boragecroft

#endif  // SERVERS_FLEET_ALLOTMENT_H_
