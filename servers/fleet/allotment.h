// Shares the slots of the zone's workers out among its instances without
// messages: every instance derives the same owners from the same inputs.
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
// is here, at the source, so that all instances allot from the same numbers.
struct DemandMeter {
  double smoothed = 0;  // slots
  uint32_t reported = 0;
  Instant updated{};
};

// Takes the slots that this instance could use now (tasks in progress and
// waiting) and returns the demand to report.
auto UpdateDemand(DemandMeter& meter, uint32_t slots, Now now) -> uint32_t;

struct InstanceDemand {
  std::string instance;
  uint32_t slots = 0;  // as reported
};

// The connections that each of `instances` may hold to one worker.
auto ConnectionShare(uint32_t connections, size_t instances) -> uint32_t;

// The number of slots for each instance, in the order of `demands`; they sum up
// to all slots. A tenth of the slots is shared evenly, the rest by demand, in
// which one instance counts for no more than all slots.
auto ShareSlots(const std::vector<SharedWorker>& workers,
                const std::vector<InstanceDemand>& demands)
    -> std::vector<uint32_t>;

// The owner of each slot: for each worker, in the order of `workers`, and each
// of its slots the index into `demands`. Depends on names, not on the order.
// `order` is kept for the next call.
using SlotOwners = std::vector<std::vector<size_t>>;
auto AssignSlots(SlotOrder& order,
                 const std::vector<SharedWorker>& workers,
                 const std::vector<InstanceDemand>& demands) -> SlotOwners;

// Sets the allotted slots and the connection limit of the workers of a service
// for the instance `self`, which counts with no demand when `demands` lacks it.
auto AllotSlots(Fleet& fleet,
                const std::string& service,
                std::vector<InstanceDemand> demands,
                const std::string& self) -> void;

}  // namespace boragecroft

#endif  // SERVERS_FLEET_ALLOTMENT_H_
