// Decides which connections a server closes when it has too many or when they
// hold too much memory together.
#ifndef CORE_NET_CONNECTION_PRESSURE_H_
#define CORE_NET_CONNECTION_PRESSURE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/base/clock.h"

namespace boragecroft {

// In the order in which connections are closed. A connection with work in
// progress is never closed.
enum class ConnectionPhase {
  kClosing,  // answered, reads only until the peer closes
  kIdle,     // between requests, or before the first
  kReading,  // a request or message has begun and is not complete
  kWriting,  // an answer is being sent
  kInProgress
};

struct ConnectionUse {
  uint64_t id = 0;  // rises in the order in which connections were opened
  ConnectionPhase phase = ConnectionPhase::kIdle;
  Instant phase_began;
  size_t held_bytes = 0;  // input and output that is kept in memory
};

// Returns the connection to close so that another can be served: one that is
// closing, else the newest idle one, else the slowest one, which has been in
// its phase for longest. `exempt` is the connection that needs the room. Empty
// when all others are at work.
auto ChooseForRoom(const std::vector<ConnectionUse>& connections,
                   uint64_t exempt) -> std::optional<uint64_t>;

// Returns the connection to close so that memory is freed, in the same order,
// among those that hold any.
auto ChooseForMemory(const std::vector<ConnectionUse>& connections,
                     uint64_t exempt) -> std::optional<uint64_t>;

// How the descriptors of a process are divided.
struct ConnectionCounts {
  size_t callers = 0;
  size_t instances = 0;
  size_t operators = 0;
};

// Divides the descriptors of a process among its listeners: a half to callers
// (at most 4096), a quarter to instances (at most 1024), an eighth to operators
// (at most 256). The rest is for files, the platform and workers.
auto DivideDescriptors(size_t descriptors) -> ConnectionCounts;

// Returns how many descriptors the system allows this process (RLIMIT_NOFILE).
auto DescriptorLimit() -> size_t;

}  // namespace boragecroft

#endif  // CORE_NET_CONNECTION_PRESSURE_H_
