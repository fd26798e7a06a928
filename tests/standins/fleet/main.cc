// Simulates the users' platform: store, workers and operator in one process.
// Arguments: WORKERS_PER_ZONE ZONE... Prints "store PORT", "control PORT", then
// "ready".
// The control port serves POST /store {"mode": "up" | "refuses" | "silent"};
// POST /worker {"id", "mode": "up" | "silent" | "restart" | "draining" |
// "gone", "run_ms"}; POST /configuration {"version", "prefix"}; POST /row-put
// {"table", "key", "value"}, whose value is plain text; POST /row-drop
// {"table", "key"}; GET /account. The answers to /row-put and /row-drop are the
// store's acknowledgement of the write. They have "ver", the version of the row
// or of its deletion, and "now_ms", the time of the write since the start of
// the stand-in. GET /account gives for each zone in "zones" the number of
// starts on its workers and the time of the last one on the same clock
// ("last_start_ms").
#include <boost/asio/signal_set.hpp>
#include <iostream>
#include <map>
#include <memory>

#include "core/json/text.h"
#include "tests/standins/common/json_reply.h"
#include "tests/standins/fleet/fleet_worker.h"
#include "tests/standins/fleet/store.h"

namespace boragecroft::standins {
namespace {

struct Fleet {
  Instant started_at = BootClock::now();
  boost::asio::io_context context;
  Store store{context};
  RunStatistics statistics;
  std::map<std::string, std::unique_ptr<FleetWorker>> workers;
  std::unique_ptr<HttpServer> control;
};

auto Configure(Fleet& fleet, int64_t version, const std::string& prefix)
    -> void {
  const json::object route{{"name", "reminder"},  {"host", "letters.example"},
                           {"prefix", prefix},    {"kind", "non_idempotent"},
                           {"timeout_ms", 5000},  {"target_duration_ms", 2000},
                           {"slack_factor", 3.0}, {"max_attempts", 3},
                           {"priority", 0},       {"service", "letters"}};
  const json::object document{
      {"version", version},
      {"routes", json::array{route}},
      {"services", json::array{json::object{{"name", "letters"}}}},
      {"limits", json::object{{"max_body_bytes", 262144}}}};
  PutRow(fleet.store, "op", "config", ToJsonText(document));
}

// Returns milliseconds since the start of the stand-in.
auto ElapsedMs(const Fleet& fleet, Instant at) -> int64_t {
  return std::chrono::duration_cast<milliseconds>(at - fleet.started_at)
      .count();
}

auto ZonesJson(const Fleet& fleet) -> json::object {
  json::object out;
  for (const auto& [zone, starts] : fleet.statistics.zones) {
    out[zone] =
        json::object{{"starts", starts.times.size()},
                     {"last_start_ms", ElapsedMs(fleet, starts.times.back())}};
  }
  return out;
}

auto StatisticsJson(const Fleet& fleet) -> json::object {
  uint64_t done = 0;
  for (const auto& [task, n] : fleet.statistics.done) {
    done += n > 0 ? 1 : 0;
  }
  json::array overlapping_tasks;
  for (const auto& it : fleet.statistics.overlapping_tasks) {
    overlapping_tasks.push_back(json::value(it));
  }
  return {{"starts", fleet.statistics.starts},
          {"zones", ZonesJson(fleet)},
          {"tasks_done", done},
          {"twice", std::move(overlapping_tasks)},
          {"over_room", fleet.statistics.over_capacity},
          {"fenced", fleet.statistics.fenced},
          {"lapsed", fleet.statistics.expired},
          {"stopped", fleet.statistics.stopped},
          {"store_calls", fleet.store.calls}};
}

auto SetWorker(Fleet& fleet, const json::object& body) -> void {
  auto& worker = *fleet.workers.at(TextOr(body, "id", ""));
  const auto mode = TextOr(body, "mode", "up");
  worker.run_time =
      milliseconds(NumberOr(body, "run_ms", worker.run_time.count()));
  worker.mode = mode == "silent" ? WorkerMode::kNoResponse : WorkerMode::kUp;
  if (mode == "restart") {
    RestartWorker(worker);
  }
  if (mode == "gone") {
    DropRow(fleet.store, "servers", worker.id);
  } else if (mode != "silent") {
    PutRow(fleet.store, "servers", worker.id,
           ReportOf(worker, mode == "draining"));
  }
}

auto SetStore(Fleet& fleet, const json::object& body) -> void {
  const auto mode = TextOr(body, "mode", "up");
  fleet.store.mode = mode == "refuses"  ? StoreMode::kRefuses
                     : mode == "silent" ? StoreMode::kNoResponse
                                        : StoreMode::kUp;
}

auto Acknowledge(const Fleet& fleet) -> HttpResponse {
  return JsonReply(
      200, json::object{{"ver", fleet.store.version},
                        {"now_ms", ElapsedMs(fleet, BootClock::now())}});
}

auto Control(Fleet& fleet, const HttpRequest& request) -> HttpResponse {
  const auto body = JsonBody(request);
  if (request.target == "/account") {
    return JsonReply(200, StatisticsJson(fleet));
  }
  if (request.target == "/store") {
    SetStore(fleet, body);
  } else if (request.target == "/worker") {
    SetWorker(fleet, body);
  } else if (request.target == "/row-put") {
    PutRow(fleet.store, TextOr(body, "table", ""), TextOr(body, "key", ""),
           TextOr(body, "value", ""));
    return Acknowledge(fleet);
  } else if (request.target == "/row-drop") {
    DropRow(fleet.store, TextOr(body, "table", ""), TextOr(body, "key", ""));
    return Acknowledge(fleet);
  } else if (request.target == "/configuration") {
    Configure(fleet, NumberOr(body, "version", 1),
              TextOr(body, "prefix", "/reminders/"));
  } else {
    return JsonReply(404, json::object{});
  }
  return JsonReply(200, json::object{});
}

auto AddWorkers(Fleet& fleet, const std::string& zone, int count) -> void {
  for (auto i = 1; i <= count; ++i) {
    auto worker =
        std::make_unique<FleetWorker>(fleet.context, fleet.statistics);
    worker->id = zone + "-" + std::to_string(i);
    worker->zone = zone;
    ListenAsWorker(*worker);
    PutRow(fleet.store, "servers", worker->id, ReportOf(*worker, false));
    fleet.workers[worker->id] = std::move(worker);
  }
}

auto Run(int argc, char** argv) -> int {
  if (argc < 3) {
    std::cerr << "usage: fleet_standin WORKERS_PER_ZONE ZONE...\n";
    return 2;
  }
  Fleet fleet;
  ListenAsStore(fleet.store);
  Configure(fleet, 1, "/reminders/");
  for (auto i = 2; i < argc; ++i) {
    AddWorkers(fleet, argv[i], std::stoi(argv[1]));
  }
  HttpServerCallbacks callbacks;
  callbacks.on_request = [&fleet](const HttpRequest& request,
                                  const HttpResponder& respond) {
    respond(Control(fleet, request));
  };
  auto control = HttpServer::Listen(
      fleet.context,
      HttpServerOptions{.listen = {.ip = "127.0.0.1", .port = 0}},
      std::move(callbacks));
  if (control.has_error()) {
    std::cerr << control.error() << "\n";
    return 1;
  }
  fleet.control = std::move(control).value();
  std::cout << "store " << fleet.store.server->Port() << "\ncontrol "
            << fleet.control->Port() << "\nready" << std::endl;
  boost::asio::signal_set signals(fleet.context, SIGTERM, SIGINT);
  signals.async_wait([&](auto, auto) { fleet.context.stop(); });
  fleet.context.run();
  return 0;
}

}  // namespace
}  // namespace boragecroft::standins

auto main(int argc, char** argv) -> int {
  return boragecroft::standins::Run(argc, argv);
}
