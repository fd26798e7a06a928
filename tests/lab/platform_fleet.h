// Entry instances and the stand-in of the users' platform, as real processes on
// loopback.
#ifndef TESTS_LAB_PLATFORM_FLEET_H_
#define TESTS_LAB_PLATFORM_FLEET_H_

#include <boost/json/object.hpp>
#include <memory>
#include <string>
#include <vector>

#include "core/base/address.h"
#include "tests/lab/child_process.h"
#include "tests/lab/sync_client.h"

namespace boragecroft::lab {

struct EntryProcess {
  std::string name;
  std::string zone;
  Address callers;
  Address readiness;
  Address metrics;
  int starts = 0;  // numbers the log files; each process has its own
  std::unique_ptr<ChildProcess> process;
};

class PlatformFleet {
 public:
  // Starts the stand-in and, in each zone, the instances "ZONE-1", "ZONE-2" and
  // so on. Throws std::runtime_error when a process does not start.
  PlatformFleet(const std::vector<std::string>& zones,
                int instances_per_zone,
                int workers_per_zone);
  ~PlatformFleet();
  PlatformFleet(const PlatformFleet&) = delete;
  auto operator=(const PlatformFleet&) -> PlatformFleet& = delete;

  auto Instances() -> std::vector<EntryProcess>& { return instances_; }
  auto Start(EntryProcess& instance) -> void;
  // Submits jobs until each instance has served one. Returns false when an
  // instance served none of 400.
  auto AwaitService() -> bool;
  // Submits a job of `count` tasks and waits for its answer. Each task runs for
  // 60 ms unless the worker was told otherwise. `deadline` is how long the
  // caller says that it waits.
  auto Submit(const EntryProcess& instance,
              uint64_t name,
              int count,
              milliseconds deadline = seconds(5)) -> JsonReply;
  auto Control(const std::string& path, const boost::json::object& body)
      -> void;
  auto FetchRunStatistics() -> boost::json::object;

 private:
  std::string folder_;
  Address store_;
  Address control_;
  std::vector<std::string> zones_;
  std::unique_ptr<ChildProcess> standin_;
  std::vector<EntryProcess> instances_;
};

}  // namespace boragecroft::lab

#endif  // TESTS_LAB_PLATFORM_FLEET_H_
