// The order in which the instances of a zone claim the slots of its workers, by
// rendezvous hashing: derived from names only, the same on every instance.
#ifndef SERVERS_FLEET_SLOT_ORDER_H_
#define SERVERS_FLEET_SLOT_ORDER_H_

#include <cstdint>
#include <string>
#include <vector>

namespace boragecroft {

// A worker as far as the allotment depends on it.
struct SharedWorker {
  std::string name;
  uint32_t slots = 0;
  uint32_t connections = 0;
};

// A slot that an instance could own, by indices into the arguments of
// UpdateSlotOrder.
struct SlotClaim {
  uint32_t worker = 0;
  uint32_t slot = 0;
  uint32_t instance = 0;
};

// Kept between allotments: sorting takes most of their time, and names change
// far more seldom than demand.
struct SlotOrder {
  uint64_t fingerprint = 0;  // of the arguments that it was made from
  std::vector<SlotClaim> claims;
};

// Makes the order anew if the workers or the names of the instances differ from
// those before.
auto UpdateSlotOrder(SlotOrder& order,
                     const std::vector<SharedWorker>& workers,
                     const std::vector<std::string>& instances) -> void;

}  // namespace boragecroft

#endif  // SERVERS_FLEET_SLOT_ORDER_H_
