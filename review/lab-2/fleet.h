// Stand-ins of the second review: the platform's store, workers and clients in
// one process, and the daemons under test as child processes on loopback
// addresses. Everything that is sent, answered and run goes into a record.
#ifndef REVIEW_LAB_2_FLEET_H_
#define REVIEW_LAB_2_FLEET_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/base/address.h"
#include "core/base/clock.h"
#include "core/http/http_connection.h"
#include "core/http/http_server.h"

namespace boragecroft::review {

namespace asio = boost::asio;
namespace json = boost::json;

struct Fleet;

struct StoredRow {
  std::string value;  // base64
  uint64_t version = 0;
  bool deleted = false;
};

struct WaitingFeed {
  std::string table;
  uint64_t after = 0;
  HttpResponder respond;
  std::unique_ptr<asio::steady_timer> timer;
};

enum class StoreMode { kUp, kBusy, kSilent };

// One address of the store. Each daemon has its own, so that the store can turn
// some machines away and serve the others.
struct StoreDoor {
  StoreMode mode = StoreMode::kUp;
  std::unique_ptr<HttpServer> server;
  std::vector<HttpResponder> unanswered;
};

struct Store {
  uint64_t version = 0;
  std::map<std::string, std::map<std::string, StoredRow>> tables;
  std::vector<std::unique_ptr<WaitingFeed>> feeds;
  std::vector<std::unique_ptr<StoreDoor>> doors;
};

// What a worker does with an order.
struct Fate {
  bool answer = true;
  // Time from the arrival of the order until it is carried out.
  milliseconds delay{};
};

struct Run {
  std::string task;
  uint64_t attempt = 0;
  int64_t cpu = 0;
  bool stopping = false;
  std::unique_ptr<asio::steady_timer> timer;
};

struct Hold {
  HttpResponder respond;
  std::unique_ptr<asio::steady_timer> timer;
};

struct Worker {
  explicit Worker(asio::io_context& io) : lease_timer(io), report_timer(io) {}

  std::string id;
  std::string zone;
  Address address;
  int64_t capacity = 32000;
  bool up = true;
  bool draining = false;
  int64_t born = 0;
  Instant clock_origin;
  uint64_t token = 0;
  int64_t lease_until = 0;  // on the worker's clock
  uint64_t sequence = 0;    // number of the last end
  uint64_t reports = 0;
  std::vector<std::unique_ptr<Run>> runs;
  json::array finished;
  std::map<std::string, uint64_t> ended_attempts;
  std::vector<std::unique_ptr<Hold>> holds;
  asio::steady_timer lease_timer;
  asio::steady_timer report_timer;
  std::vector<HttpResponder> unanswered;
  std::unique_ptr<HttpServer> server;
  uint64_t orders = 0;
  uint64_t orders_unanswered = 0;
};

struct Daemon {
  std::string name;
  std::string zone;
  std::string ip;
  Address callers;
  Address store;
  size_t door = 0;
  std::string settings_file;
  pid_t pid = -1;
};

struct Job {
  std::string id;
  int count = 1;
  int64_t cpu = 14000;
  int64_t estimate_ms = 900;
  int64_t work_ms = 900;
  int64_t deadline_ms = 1500;
  int64_t max_per_server = 0;
};

using Answered = std::function<void(int status, const std::string& body)>;

struct Fleet {
  asio::io_context io;
  std::ofstream record;
  Instant began;
  std::string folder;  // temporary, for settings and logs
  std::string net;     // first two numbers of the loopback addresses
  std::unique_ptr<HttpServer> net_lock;
  std::vector<std::string> zones;
  Store store;
  std::map<std::string, std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Daemon>> daemons;
  // Decides on each order; every order is answered at once without it.
  std::function<Fate(Worker&, const std::string& path, const json::object&)>
      fate;
  std::function<void(Worker&, const Run&)> on_start;
  std::function<void(Worker&, const Run&, const std::string& how)> on_end;
  std::set<std::shared_ptr<HttpConnection>> requests;
  std::vector<std::string> broken;  // broken rules
};

auto MillisecondsNow(const Fleet& fleet) -> int64_t;
auto Note(Fleet& fleet, const std::string& text) -> void;
auto Break(Fleet& fleet, const std::string& rule, const std::string& text)
    -> void;
auto After(Fleet& fleet, milliseconds wait, std::function<void()> action)
    -> void;
// Runs everything for the given time.
auto RunFor(Fleet& fleet, milliseconds time) -> void;
// Runs until the condition holds; false after the time limit.
auto RunUntil(Fleet& fleet,
              milliseconds limit,
              const std::function<bool()>& condition) -> bool;

auto PutRow(Fleet& fleet,
            const std::string& table,
            const std::string& key,
            const std::string& text) -> void;
auto DropRow(Fleet& fleet, const std::string& table, const std::string& key)
    -> void;
auto AddDoor(Fleet& fleet, const Address& address) -> size_t;

auto AddWorker(Fleet& fleet, const std::string& zone, int number) -> Worker&;
auto Report(Fleet& fleet, Worker& worker) -> void;
// Ends the worker's process: what runs on it is lost.
auto Crash(Fleet& fleet, Worker& worker) -> void;
// Starts the worker again under its id and address.
auto Rebirth(Fleet& fleet, Worker& worker) -> void;

auto AddDaemon(Fleet& fleet, const std::string& zone, int number) -> Daemon&;
auto StartDaemon(Fleet& fleet, Daemon& daemon) -> void;
auto SignalDaemon(Fleet& fleet, Daemon& daemon, int signal) -> void;
// Waits until the process has ended; kills it after the time limit.
auto ReapDaemon(Fleet& fleet, Daemon& daemon, milliseconds limit) -> void;

// Writes the configuration with one queue; `timeout_ms` is its time-out.
auto Configure(Fleet& fleet, int64_t version, int64_t timeout_ms) -> void;
// Sends the job to the daemon. `status` is 0 when the connection ended without
// an answer. The returned connection can be closed to break off the request.
auto Submit(Fleet& fleet, Daemon& daemon, const Job& job, Answered done)
    -> std::shared_ptr<HttpConnection>;
auto CancelJob(Fleet& fleet,
               Daemon& daemon,
               const std::string& id,
               Answered done) -> void;
// Number of a job's runs on workers that are up.
auto CountRuns(const Fleet& fleet, const std::string& task) -> int;

struct ZoneSize {
  std::string zone;
  int daemons = 1;
};

// Starts a fleet: zones with the number of their daemons, and workers, and
// waits until each daemon has served a job. Returns false when it doesn't come
// up.
auto StartFleet(Fleet& fleet,
                const std::vector<ZoneSize>& zones,
                int workers_per_zone,
                int64_t timeout_ms) -> bool;
auto EndFleet(Fleet& fleet) -> void;

}  // namespace boragecroft::review

#endif  // REVIEW_LAB_2_FLEET_H_
