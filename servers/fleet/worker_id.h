// Identifies one incarnation of an endpoint on a worker within this process.
#ifndef SERVERS_FLEET_WORKER_ID_H_
#define SERVERS_FLEET_WORKER_ID_H_

#include <compare>
#include <cstdint>
#include <functional>

namespace boragecroft {

// Identifier assigned by the fleet and never reused, so that data learned about
// a worker is not applied to its next incarnation.
struct WorkerId {
  uint32_t value = 0;

  auto operator<=>(const WorkerId&) const = default;
};

}  // namespace boragecroft

template <>
struct std::hash<boragecroft::WorkerId> {
  auto operator()(const boragecroft::WorkerId& it) const noexcept -> size_t {
    return std::hash<uint32_t>()(it.value);
  }
};

#endif  // SERVERS_FLEET_WORKER_ID_H_
