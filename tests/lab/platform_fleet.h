// Entry instances and the stand-in of the users' platform, as real processes on
// loopback. Their logs are kept in /tmp when BORAGECROFT_KEEP_LOGS is set.
#ifndef TESTS_LAB_PLATFORM_FLEET_H_
#define TESTS_LAB_PLATFORM_FLEET_H_

#include <boost/json/object.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/base/address.h"
#include "tests/lab/child_process.h"
#include "tests/lab/partition.h"
#include "tests/lab/sync_client.h"

namespace boragecroft::lab {

struct EntryProcess {
  std::string name;
  std::string zone;
  Address callers;
  Address readiness;
  Address metrics;
  Address instances;
  int starts = 0;  // numbers the log files; each process has its own
  Address store;   // where it reaches the store
  std::optional<Address> advertised;
  std::unique_ptr<ChildProcess> process;
};

// A term of a group's holder, as the holder's log states it.
struct HeldTerm {
  std::string instance;  // name and number of its start
  std::string group;
  uint64_t token = 0;
};

// Starts on the workers of a zone.
struct ZoneStartCount {
  int64_t starts = 0;
  int64_t last_start_ms = 0;  // on the clock of WriteTime
};

// The acknowledged write of a row.
struct WriteTime {
  uint64_t version = 0;
  int64_t now_ms = 0;  // since the start of the stand-in
};

enum class FleetNetwork {
  kDirect,
  kRelayed,  // instances can be cut off
};

class PlatformFleet {
 public:
  // Starts the stand-in and, in each zone, the instances "ZONE-1", "ZONE-2" and
  // so on. Throws std::runtime_error when a process does not start.
  // `max_descriptors` is each instance's limit of open descriptors, in its
  // settings and by the system.
  PlatformFleet(const std::vector<std::string>& zones,
                int instances_per_zone,
                int workers_per_zone,
                FleetNetwork network = FleetNetwork::kDirect,
                int max_descriptors = 2048);
  ~PlatformFleet();
  PlatformFleet(const PlatformFleet&) = delete;
  auto operator=(const PlatformFleet&) -> PlatformFleet& = delete;

  auto Instances() -> std::vector<EntryProcess>& { return instances_; }
  auto Start(EntryProcess& instance) -> void;
  // Cuts an instance off from the store and from all other instances, but not
  // from the workers and its callers. Needs FleetNetwork::kRelayed.
  auto CutOff(const EntryProcess& instance) -> void;
  auto Reconnect(const EntryProcess& instance) -> void;
  // Cuts an instance off from the store only. Needs FleetNetwork::kRelayed.
  auto CutOffFromStore(const EntryProcess& instance) -> void;
  auto ReconnectToStore(const EntryProcess& instance) -> void;
  // Returns the terms of all processes so far, of each process in order.
  auto HeldTerms() const -> std::vector<HeldTerm>;
  // Returns the index of the instance whose term of `group` has the highest
  // token, according to the logs.
  auto FindHolder(const std::string& group) const -> size_t;
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
  // Cancels a job and waits for the answer.
  auto Cancel(const EntryProcess& instance, uint64_t name) -> JsonReply;
  auto Control(const std::string& path, const boost::json::object& body)
      -> void;
  // Writes or deletes the operator's row that evacuates `zone`, and returns
  // when the store has acknowledged it. Throws std::runtime_error without an
  // answer.
  auto Evacuate(const std::string& zone) -> WriteTime;
  auto EndEvacuation(const std::string& zone) -> WriteTime;
  auto FetchRunStatistics() -> boost::json::object;
  auto CountStartsInZone(const std::string& zone) -> ZoneStartCount;

 private:
  auto WriteRow(const std::string& path, const boost::json::object& body)
      -> WriteTime;

  std::string folder_;
  Address store_;
  Address control_;
  std::vector<std::string> zones_;
  int max_descriptors_;
  std::unique_ptr<ChildProcess> standin_;
  std::unique_ptr<PartitionedNetwork> network_;  // null: direct connections
  std::vector<EntryProcess> instances_;
};

}  // namespace boragecroft::lab

#endif  // TESTS_LAB_PLATFORM_FLEET_H_
