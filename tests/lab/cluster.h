// A small deployment of real processes on loopback: the platform stand-in, and
// for each availability zone one endpoint stand-in and some daemons.
#ifndef TESTS_LAB_CLUSTER_H_
#define TESTS_LAB_CLUSTER_H_

#include <boost/json/array.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/base/address.h"
#include "tests/lab/child_process.h"
#include "tests/lab/sync_client.h"

namespace boragecroft::lab {

struct ClusterOptions {
  std::string deployment = "cartas";  // a folder of deploy/
  std::vector<std::string> zones = {"bilbao", "santander", "oviedo"};
  std::string service = "cartas";
  int instances_per_zone = 1;
  int workers_per_zone = 4;
  int slots = 8;
  // Members added to every daemon's settings, as JSON text without braces:
  // "\"dead_after_ms\": 2000".
  std::string extra_settings;
  std::string declarations_file;  // empty: the deployment's file
  int max_descriptors = 0;        // of each daemon; 0: as this process
  // Whether instances of different zones connect through the link stand-in.
  bool links = false;
  // Whether the folder with the logs of all processes is kept at the end.
  bool keep_folder = false;
};

struct Instance {
  std::string name;
  std::string zone;
  Address callers;
  Address instances;
  Address operators;
  int starts = 0;  // numbers the log files; each process has its own
  std::unique_ptr<ChildProcess> process;
};

struct EndpointZone {
  std::string zone;
  Address control;
  boost::json::array list_entries;  // of its workers, for the platform
  std::unique_ptr<ChildProcess> process;
};

// Numbers of starts that the endpoints counted, summed over a task's attempts.
struct StartCounts {
  std::map<std::string, int> starts;  // by task id without the attempt
  std::map<std::string, Instant> first_start;
  std::map<std::string, std::string>
      state;  // how the last started attempt ended
  int total = 0;
  int double_starts = 0;  // tasks that started more than once
};

class Cluster {
 public:
  // Starts all processes, applies the declarations and waits until each
  // instance is ready and has slots on workers. Throws std::runtime_error when
  // a process does not start or an instance does not become ready.
  explicit Cluster(ClusterOptions options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  auto operator=(const Cluster&) -> Cluster& = delete;

  auto Instances() -> std::vector<Instance>&;
  auto Endpoints() -> std::vector<EndpointZone>&;
  // Returns the address at which `zone` reaches the platform stand-in.
  auto Platform(const std::string& zone) const -> Address;
  // Sets the behaviour of the platform towards a zone ("*": all).
  // tests/standins/platform/main.cc describes the fields.
  auto ControlPlatform(const boost::json::object& control) -> void;
  // Sets the links from one zone to another ("*": all), in this direction only,
  // to "open", "cut" or "silent".
  auto ControlLinks(const std::string& from,
                    const std::string& to,
                    const std::string& mode) -> void;
  auto ControlWorker(size_t zone, const boost::json::object& control) -> void;

  // Kills an instance and starts it again at the same addresses. Waits until it
  // is ready unless `wait_until_ready` is false.
  auto Restart(size_t index, bool wait_until_ready = true) -> void;
  auto WaitUntilReady(size_t index, milliseconds timeout = seconds(15)) -> bool;
  // Waits until an instance has slots on the workers of its zone.
  auto WaitForWorkers(size_t index, milliseconds timeout = seconds(15)) -> bool;
  // Publishes a new version of the platform's list. Instances and workers named
  // in `leaving` are listed as leaving; instances named in `absent` are
  // omitted.
  auto PublishList(const std::vector<std::string>& leaving = {},
                   const std::vector<std::string>& absent = {}) -> void;
  // Applies a declarations file with boragecroftctl through an instance and
  // returns the exit code. `options` are additional options of the tool.
  auto Apply(const std::string& file,
             size_t index = 0,
             const std::vector<std::string>& options = {}) -> int;

  // Fetches the counted starts from every endpoint stand-in.
  auto CountStarts() -> StartCounts;
  auto Folder() const -> const std::string&;

 private:
  auto StartPlatform() -> void;
  auto StartEndpoints() -> void;
  auto StartLinks() -> void;
  auto StartInstance(Instance& instance) -> void;
  auto AddLinksTo(const Instance& instance) -> void;
  // Returns the address at which the instances of a zone reach an instance.
  auto AddressSeenFrom(const std::string& zone, const Instance& instance) const
      -> Address;
  auto BuildListFor(const std::string& zone,
                    const std::vector<std::string>& leaving,
                    const std::vector<std::string>& absent) const
      -> boost::json::array;

  const ClusterOptions options_;
  std::string folder_;
  std::unique_ptr<ChildProcess> platform_;
  std::map<std::string, Address> platform_addresses_;
  std::unique_ptr<ChildProcess> links_;
  Address links_control_;
  std::map<std::pair<std::string, std::string>, Address>
      link_addresses_;  // by zone and instance name
  std::vector<EndpointZone> endpoints_;
  std::vector<Instance> instances_;
};

}  // namespace boragecroft::lab

#endif  // TESTS_LAB_CLUSTER_H_
