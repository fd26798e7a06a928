// A worker that runs tasks under leases and fences, as the users' protocol
// says, and the account of everything that all workers ran.
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

// What the workers saw; the promises are judged by it.
struct RunStatistics {
  std::map<std::string, int> running;          // runs at work, by task
  std::map<std::string, int> done;             // ends as done, by task
  std::vector<std::string> overlapping_tasks;  // tasks that ran twice at a time
  uint64_t starts = 0;
  uint64_t over_capacity = 0;
  uint64_t fenced = 0;  // orders refused for a lower token
  uint64_t expired = 0;
  uint64_t stopped = 0;
};

struct FleetRun {
  std::string task;
  uint64_t attempt = 0;
  std::unique_ptr<boost::asio::steady_timer> timer;  // its end
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
  int64_t lease_expires = 0;  // own clock
  uint64_t sequence = 0;
  std::vector<FleetRun> runs;
  boost::json::array finished;
  std::map<std::string, uint64_t> ended_attempts;  // highest, by task
  std::optional<PendingRenewal> pending_renewal;
  boost::asio::steady_timer lease_timer;
  std::vector<HttpResponder> unanswered;
  std::unique_ptr<HttpServer> server;
};

auto ListenAsWorker(FleetWorker& worker) -> void;
// Starts anew under the same id and address: nothing runs, nothing is known.
auto RestartWorker(FleetWorker& worker) -> void;
// The worker's report for the store.
auto ReportOf(const FleetWorker& worker, bool draining) -> std::string;

}  // namespace boragecroft::standins

#endif  // TESTS_STANDINS_FLEET_FLEET_WORKER_H_
