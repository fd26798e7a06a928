// A simulated worker that runs tasks under leases and refuses orders with old
// fencing tokens, as the protocol of the users' platform requires, and the
// statistics of the runs of all workers.
#ifndef TESTS_STANDINS_FLEET_FLEET_WORKER_H_
#define TESTS_STANDINS_FLEET_FLEET_WORKER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/base/clock.h"
#include "core/http/http_server.h"

namespace boragecroft::standins {

enum class WorkerMode { kUp, kNoResponse };

// The starts of runs on the workers of one zone.
struct ZoneStarts {
  std::vector<Instant> times;  // in the order of the starts
};

// Statistics of the runs on all workers. Tests check with them that no task ran
// twice at the same time and that no worker exceeded its slots.
struct RunStatistics {
  std::map<std::string, int> running;  // current runs, by task
  std::map<std::string, int> done;     // runs that ended as done, by task
  // Tasks that had two runs at the same time.
  std::vector<std::string> overlapping_tasks;
  uint64_t starts = 0;
  std::map<std::string, ZoneStarts> zones;
  uint64_t over_capacity = 0;
  uint64_t fenced = 0;  // orders refused because of a lower token
  uint64_t expired = 0;
  uint64_t stopped = 0;
};

struct FleetRun {
  std::string task;
  uint64_t attempt = 0;
  std::unique_ptr<boost::asio::steady_timer> timer;  // ends the run
};

struct PendingRenewal {
  HttpResponder respond;
  std::unique_ptr<boost::asio::steady_timer> timer;
};

struct FleetWorker {
  FleetWorker(boost::asio::io_context& io, RunStatistics& shared)
      : context(io), statistics(shared), lease_timer(io) {}

  boost::asio::io_context& context;
  RunStatistics& statistics;
  std::string id;
  std::string zone;
  size_t slots = 2;
  milliseconds run_time{60};
  WorkerMode mode = WorkerMode::kUp;
  int64_t started_at = 0;
  Instant clock_origin;
  uint64_t token = 0;
  int64_t lease_expires = 0;  // ms on the worker's own clock
  uint64_t sequence = 0;
  std::vector<FleetRun> runs;
  boost::json::array finished;
  std::map<std::string, uint64_t> ended_attempts;  // highest one, by task
  std::optional<PendingRenewal> pending_renewal;
  boost::asio::steady_timer lease_timer;
  std::vector<HttpResponder> unanswered;
  std::unique_ptr<HttpServer> server;
};

auto ListenAsWorker(FleetWorker& worker) -> void;
// Simulates a restart under the same id and address: the worker runs nothing
// and has forgotten its fencing token, lease and ended attempts. Connections to
// the earlier incarnation end.
auto RestartWorker(FleetWorker& worker) -> void;
// Returns the worker's report as JSON text for its row in the store.
auto ReportOf(const FleetWorker& worker, bool draining) -> std::string;

}  // namespace boragecroft::standins

#endif  // TESTS_STANDINS_FLEET_FLEET_WORKER_H_
