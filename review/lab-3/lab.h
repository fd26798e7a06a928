// A small deployment on loopback addresses: the project's entry instances as
// processes, and stand-ins for the store, the workers and the callers.
#ifndef REVIEW_LAB_3_LAB_H_
#define REVIEW_LAB_3_LAB_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/http/http_connection.h"
#include "review/lab-3/store.h"
#include "review/lab-3/worker.h"
#include "tests/lab/partition.h"

namespace boragecroft::review {

struct Arguments {
  std::string program;  // the command of the deploy file without its options
  std::string record;
  std::string folder;  // for settings files
  bool trouble = true;
  uint64_t seed = 1;
};

// An entry instance and the collector that reads its standard output.
struct Instance {
  explicit Instance(boost::asio::io_context& io) : log(io) {}

  std::string name;
  std::string zone;
  std::string ip;
  pid_t pid = -1;
  Address callers;  // port 0 until the instance has started
  Address store;
  std::optional<Address> advertised;  // of its relay
  boost::asio::posix::stream_descriptor log;
  std::array<char, 4096> buffer{};
  std::string line;
  bool stalled = false;  // the collector does not read
};

// One kind of request of the deployment's sheet.
struct RequestKind {
  std::string prefix;
  int tasks = 1;
  double work_ms = 0;
  int64_t priority = 0;
  milliseconds timeout{1500};  // of the route
  bool exact = false;          // work and declared run time have no spread
};

struct Reply {
  int status = 0;  // 0: no answer
  std::string state;
  std::string error;
};

struct Lab {
  explicit Lab(Arguments from);
  ~Lab();
  Lab(const Lab&) = delete;
  auto operator=(const Lab&) -> Lab& = delete;

  Arguments arguments;
  boost::asio::io_context context;
  Recorder recorder;
  Store store{context};
  Ledger ledger;
  std::mt19937_64 random;
  std::vector<std::string> zones;
  // Set: instances reach each other and the store through relays.
  std::unique_ptr<lab::PartitionedNetwork> relays;
  std::string holder;   // the instance that began to hold a group last
  std::string network;  // of the instances' addresses: "127.a.b."
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Instance>> instances;
  std::map<int, uint64_t> answers;  // number of answers, by status
  uint64_t last_job = 0;
};

// Runs `action` after `wait`.
auto After(Lab& lab, milliseconds wait, std::function<void()> action) -> void;
auto Uniform(Lab& lab, int64_t low, int64_t high) -> int64_t;
// Returns a sample whose mean is about `mean` with the spread of the sheet.
auto Spread(Lab& lab, double mean) -> double;

auto AddWorker(Lab& lab, const std::string& zone, int number) -> Worker&;
auto StartInstance(Lab& lab, const std::string& zone, int number) -> Instance&;
// Lets the collector read again.
auto ResumeCollector(Lab& lab, Instance& instance) -> void;

// Sends a request of a caller on its connection.
auto Send(Lab& lab,
          const std::shared_ptr<HttpConnection>& connection,
          HttpRequest request,
          milliseconds deadline,
          std::function<void(Reply)> done) -> void;
// Sends a request of a caller on a new connection.
auto Send(Lab& lab,
          const Instance& instance,
          HttpRequest request,
          milliseconds deadline,
          std::function<void(Reply)> done) -> void;
// A POST of a new job, or of the job `id` again.
auto MakeJob(Lab& lab, const RequestKind& kind, const std::string& id)
    -> HttpRequest;
auto NewJobId(Lab& lab) -> std::string;
// Submits jobs of the kind `per_second` times a second until `until`. A caller
// without an answer, or with 502 or 504, sends its job again.
auto SubmitJobs(Lab& lab,
                const RequestKind& kind,
                double per_second,
                Instant until) -> void;
// Writes a configuration into a part of the operator's table. The one in the
// empty part is in force.
auto Configure(Lab& lab,
               const std::string& part,
               int64_t version,
               const std::vector<RequestKind>& kinds) -> void;

// Runs the event loop for `time` and ends the instances.
auto RunFor(Lab& lab, milliseconds time) -> void;

inline constexpr auto kHost = "nony24.example";
inline constexpr milliseconds kDeadline{1500};
inline constexpr milliseconds kRetransmit{1300};

}  // namespace boragecroft::review

#endif  // REVIEW_LAB_3_LAB_H_
