// One simulated endpoint worker. It runs tasks as timers and counts every start
// of an attempt.
#ifndef TESTS_STANDINS_ENDPOINT_WORKER_H_
#define TESTS_STANDINS_ENDPOINT_WORKER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/http/http_server.h"

namespace boragecroft::standins {

enum class WorkerMode {
  kNormal,
  kNoResponse,
  kFail,
  kDraining,
  kWrongTask,
  kTruncated,
  kDelayed
};

// The state of one attempt. Worker::attempts holds it under the attempt's id.
struct Attempt {
  uint32_t starts = 0;
  Instant first_start;
  std::string state = "running";  // running, done, failed, stopped, not_started
  std::string result;             // JSON text
  std::shared_ptr<boost::asio::steady_timer> timer;
  std::shared_ptr<boost::asio::steady_timer> lease_timer;
  HttpResponder respond;
};

struct Worker {
  explicit Worker(boost::asio::io_context& io) : context(io) {}

  boost::asio::io_context& context;
  std::string name;
  uint32_t slots = 8;
  uint32_t running = 0;
  double slowdown = 1.0;
  milliseconds response_delay{0};
  WorkerMode mode = WorkerMode::kNormal;
  uint64_t refused_busy = 0;
  uint64_t starts = 0;
  uint64_t requests = 0;
  std::unordered_map<std::string, Attempt> attempts;
  std::string incarnation;  // of the simulated process
  // Attempts from before the last Restart; they are still counted.
  std::vector<std::pair<std::string, Attempt>> previous_attempts;
  std::vector<HttpResponder> unanswered;  // requests that never get an answer
  std::unique_ptr<HttpServer> server;
};

// Serves the protocol of docs/ENDPOINT.md. The payload of a task sets how long
// it runs, whether it fails and how many bytes its result has: {"run_ms": N,
// "fail": BOOL, "bytes": N}.
auto OnWorkerRequest(Worker& worker,
                     const HttpRequest& request,
                     HttpResponder respond) -> void;

// Simulates a restart: draws a new incarnation at random and drops all
// attempts. Requests for attempts that were running never get an answer.
auto Restart(Worker& worker) -> void;

auto ParseWorkerMode(std::string_view text) -> WorkerMode;

}  // namespace boragecroft::standins

#endif  // TESTS_STANDINS_ENDPOINT_WORKER_H_
