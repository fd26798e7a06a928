// A crowd of connections that send much and read nothing, for tests of limits.
// Sending is bounded in bytes and time.
#ifndef TESTS_LAB_CROWD_H_
#define TESTS_LAB_CROWD_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include "core/base/address.h"
#include "core/base/clock.h"

namespace boragecroft::lab {

// What each connection sends: `opening` once, then `repeated` again and again
// until it has sent `max_bytes` in all. `repeated` may be empty.
struct CrowdScript {
  std::string name;
  std::string opening;
  std::string repeated;
  size_t max_bytes = 0;
  size_t connections = 0;
};

class Crowd {
 public:
  // Connects and sends until all is sent, every connection is closed by the
  // server, or `time_limit` has passed. The connections stay open until the
  // destructor. Connections that the server does not accept are left out.
  Crowd(const Address& server,
        const CrowdScript& script,
        milliseconds time_limit);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  auto operator=(const Crowd&) -> Crowd& = delete;

 private:
  std::vector<int> sockets_;
};

// Returns the largest resident memory of a process so far in bytes; 0 when the
// process does not run.
auto PeakMemoryBytes(pid_t pid) -> size_t;
// Lets PeakMemoryBytes() count from now on.
auto ResetPeakMemory(pid_t pid) -> void;
// Returns the number of open descriptors of a process.
auto OpenDescriptors(pid_t pid) -> size_t;

}  // namespace boragecroft::lab

#endif  // TESTS_LAB_CROWD_H_
