// Computes the order in which the instances of a zone claim the slots of its
// workers, by rendezvous hashing. The order depends only on names, so every
// instance computes the same one.
#ifndef SERVERS_FLEET_SLOT_ORDER_H_
#define SERVERS_FLEET_SLOT_ORDER_H_

#include <cstdint>
#include <string>
#include <vector>

namespace boragecroft {

// Attributes of a worker on which the allotment depends.
struct SharedWorker {
  std::string name;
  uint32_t slots = 0;
  uint32_t connections = 0;
};

// Slot that an instance could own, as indices into the arguments of
// `UpdateSlotOrder`.
struct SlotClaim {
  uint32_t worker = 0;
  uint32_t slot = 0;
  uint32_t instance = 0;
};

// Order of claims, kept between allotments because sorting takes most of their
// time and names change far less often than demand.
struct SlotOrder {
  uint64_t fingerprint = 0;  // of the arguments from which it was computed
  std::vector<SlotClaim> claims;
};

// Recomputes the order if the workers or the names of the instances differ from
// those of the previous call.
auto UpdateSlotOrder(SlotOrder& order,
                     const std::vector<SharedWorker>& workers,
                     const std::vector<std::string>& instances) -> void;

}  // namespace boragecroft

#endif  // SERVERS_FLEET_SLOT_ORDER_H_
