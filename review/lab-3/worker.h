// A stand-in for a worker of the users' platform: runs tasks under leases,
// refuses orders with old fencing tokens, and can be crashed, started again
// under the same id, and cut off while its tasks run on.
#ifndef REVIEW_LAB_3_WORKER_H_
#define REVIEW_LAB_3_WORKER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/base/clock.h"
#include "core/http/http_server.h"
#include "review/lab-3/store.h"

namespace boragecroft::review {

// Writes record.txt: one line for each event, with the time since the start.
class Recorder {
 public:
  explicit Recorder(const std::string& file);

  auto Write(const std::string& line) -> void;
  auto ElapsedMs() const -> int64_t;

 private:
  std::ofstream out_;
  Instant started_ = BootClock::now();
};

// What all workers together have run.
struct Ledger {
  std::map<std::string, std::vector<std::string>> running;  // workers, by task
  uint64_t starts = 0;
  std::vector<int64_t> start_times;    // ms since the start
  std::vector<uint64_t> start_tokens;  // of the orders, in the same order
  uint64_t done = 0;
  uint64_t twice = 0;          // starts beside another run of the same task
  uint64_t over_capacity = 0;  // starts that brought a worker over its capacity
};

struct WorkerRun {
  std::string task;
  uint64_t attempt = 0;
  int64_t cpu = 0;
  std::unique_ptr<boost::asio::steady_timer> end;
};

struct PendingHold {
  HttpResponder respond;
  std::unique_ptr<boost::asio::steady_timer> end;
};

struct Worker {
  Worker(boost::asio::io_context& io,
         Store& rows,
         Ledger& shared,
         Recorder& events)
      : context(io), store(rows), ledger(shared), recorder(events), lapse(io) {}

  boost::asio::io_context& context;
  Store& store;
  Ledger& ledger;
  Recorder& recorder;
  std::string id;
  std::string zone;
  std::string kind;
  std::string rack;
  Address address;
  int64_t cpu = 0;  // thousandths of a core
  double speed = 1;
  bool cut = false;

  // The present life.
  int64_t born = 0;
  Instant life_began;
  uint64_t token = 0;
  int64_t lease_until = 0;  // on the clock of this life
  uint64_t sequence = 0;
  std::vector<WorkerRun> runs;
  boost::json::array finished;
  std::map<std::string, uint64_t> ended_attempts;  // highest one, by task
  std::optional<PendingHold> pending;
  boost::asio::steady_timer lapse;
  std::unique_ptr<HttpServer> server;
};

// Begins a new life and writes the worker's row.
auto StartWorker(Worker& worker) -> void;
// Ends the life: all runs end, and the connections are reset.
auto CrashWorker(Worker& worker) -> void;
// Resets the connections and refuses new ones; the runs go on.
auto CutOffWorker(Worker& worker) -> void;
auto ReconnectWorker(Worker& worker) -> void;

}  // namespace boragecroft::review

#endif  // REVIEW_LAB_3_WORKER_H_
