// One endpoint of the stand-in: runs tasks on timers and counts every start.
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

// What became of one attempt, by its id.
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
  std::string incarnation;  // of the process that it plays
  std::vector<std::pair<std::string, Attempt>>
      previous_attempts;                  // by Restart; counted all the same
  std::vector<HttpResponder> unanswered;  // requests that never get an answer
  std::unique_ptr<HttpServer> server;
};

// Serves docs/ENDPOINT.md, except that payloads say what to do: {"run_ms": N,
// "fail": BOOL, "bytes": N}.
auto OnWorkerRequest(Worker& worker,
                     const HttpRequest& request,
                     HttpResponder respond) -> void;

// Draws an incarnation. What ran before is forgotten without an answer.
auto Restart(Worker& worker) -> void;

auto ParseWorkerMode(std::string_view text) -> WorkerMode;

}  // namespace boragecroft::standins

#endif  // TESTS_STANDINS_ENDPOINT_WORKER_H_
