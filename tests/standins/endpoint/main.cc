// Simulates the endpoints of one availability zone: many workers in one
// process, each on a port of its own. Prints the workers' entries for the
// platform's list as one JSON array, then "control PORT", then "ready". The
// control port serves POST /control {"worker": INDEX or -1 (all), "mode": MODE,
// "slowdown": N, "late_ms": N, "restart": true}; GET /starts, which returns
// {"tasks": [{"task", "starts", "first_start_us", "state"}]} with times of the
// boot-time clock; and GET /counters.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/serialize.hpp>
#include <iostream>

#include "core/base/address.h"
#include "tests/standins/common/json_reply.h"
#include "tests/standins/endpoint/worker.h"

namespace boragecroft::standins {
namespace {

namespace json = boost::json;

struct Zone {
  boost::asio::io_context context;
  std::string name;
  std::string service;
  std::vector<std::unique_ptr<Worker>> workers;
  std::unique_ptr<HttpServer> control;
};

auto Listen(Zone& zone, HttpServerCallbacks callbacks)
    -> std::unique_ptr<HttpServer> {
  HttpServerOptions options;
  options.listen = Address{.ip = "127.0.0.1", .port = 0};
  auto server = HttpServer::Listen(zone.context, options, std::move(callbacks));
  if (server.has_error()) {
    std::cerr << server.error() << "\n";
    return nullptr;
  }
  return std::move(server).value();
}

auto AddWorker(Zone& zone, uint32_t slots) -> bool {
  auto worker = std::make_unique<Worker>(zone.context);
  worker->name = zone.name + "-" + zone.service + "-" +
                 std::to_string(zone.workers.size());
  worker->slots = slots;
  Restart(*worker);
  HttpServerCallbacks callbacks;
  callbacks.on_request = [it = worker.get()](const HttpRequest& request,
                                             HttpResponder respond) {
    OnWorkerRequest(*it, request, std::move(respond));
  };
  worker->server = Listen(zone, std::move(callbacks));
  const auto ok = worker->server != nullptr;
  zone.workers.push_back(std::move(worker));
  return ok;
}

auto Control(Zone& zone, const json::object& body) -> void {
  const auto index = NumberOr(body, "worker", -1);
  for (size_t i = 0; i < zone.workers.size(); ++i) {
    if (index >= 0 && static_cast<size_t>(index) != i) {
      continue;
    }
    auto& worker = *zone.workers[i];
    if (body.contains("mode")) {
      worker.mode = ParseWorkerMode(TextOr(body, "mode", "normal"));
    }
    if (body.contains("restart")) {
      Restart(worker);
    }
    worker.response_delay =
        milliseconds(NumberOr(body, "late_ms", worker.response_delay.count()));
    if (const auto* slowdown = body.if_contains("slowdown")) {
      worker.slowdown = slowdown->to_number<double>();
    }
  }
}

auto StartsJson(const Zone& zone) -> json::object {
  json::array tasks;
  const auto add = [&](const auto& it) {
    tasks.push_back(
        {{"task", it.first},
         {"starts", it.second.starts},
         {"first_start_us", it.second.first_start.time_since_epoch().count()},
         {"state", it.second.state}});
  };
  for (const auto& worker : zone.workers) {
    std::ranges::for_each(worker->attempts, add);
    std::ranges::for_each(worker->previous_attempts, add);
  }
  json::object body;
  body["tasks"] = std::move(tasks);
  return body;
}

auto CountersJson(const Zone& zone) -> json::object {
  uint64_t starts = 0;
  uint64_t busy = 0;
  uint64_t requests = 0;
  json::array workers;
  for (const auto& it : zone.workers) {
    starts += it->starts;
    busy += it->refused_busy;
    requests += it->requests;
    workers.push_back({{"name", it->name},
                       {"starts", it->starts},
                       {"running", it->running},
                       {"busy", it->refused_busy}});
  }
  json::object body;
  body["starts"] = starts;
  body["busy"] = busy;
  body["requests"] = requests;
  body["workers"] = std::move(workers);
  return body;
}

auto OnControl(Zone& zone,
               const HttpRequest& request,
               const HttpResponder& respond) -> void {
  const auto path = TargetPath(request.target);
  if (path == "/control") {
    Control(zone, JsonBody(request));
    respond(JsonReply(200, json::object()));
  } else if (path == "/starts") {
    respond(JsonReply(200, StartsJson(zone)));
  } else {
    respond(JsonReply(200, CountersJson(zone)));
  }
}

auto ListEntries(const Zone& zone) -> json::array {
  json::array entries;
  for (const auto& it : zone.workers) {
    entries.push_back(
        {{"kind", "worker"},
         {"name", it->name},
         {"zone", zone.name},
         {"state", "live"},
         {"service", zone.service},
         {"incarnation", it->incarnation},
         {"address", "127.0.0.1:" + std::to_string(it->server->Port())},
         {"slots", it->slots},
         {"cpu_millis", 32000},
         {"memory_mb", 131072},
         {"accelerators", 1}});
  }
  return entries;
}

auto Run(Zone& zone, uint32_t workers, uint32_t slots) -> int {
  for (uint32_t i = 0; i < workers; ++i) {
    if (!AddWorker(zone, slots)) {
      return 1;
    }
  }
  HttpServerCallbacks callbacks;
  callbacks.on_request = [&zone](const HttpRequest& request,
                                 const HttpResponder& respond) {
    OnControl(zone, request, respond);
  };
  zone.control = Listen(zone, std::move(callbacks));
  if (zone.control == nullptr) {
    return 1;
  }
  boost::asio::signal_set signals(zone.context, SIGTERM, SIGINT);
  signals.async_wait([&](auto, int) { zone.context.stop(); });
  std::cout << json::serialize(ListEntries(zone)) << "\ncontrol "
            << zone.control->Port() << "\nready" << std::endl;
  zone.context.run();
  return 0;
}

}  // namespace
}  // namespace boragecroft::standins

// Usage: endpoint_standin ZONE SERVICE WORKERS SLOTS
auto main(int argc, char** argv) -> int {
  if (argc != 5) {
    std::cerr << "usage: endpoint_standin ZONE SERVICE WORKERS SLOTS\n";
    return 2;
  }
  boragecroft::standins::Zone zone;
  zone.name = argv[1];
  zone.service = argv[2];
  return Run(zone, std::stoul(argv[3]), std::stoul(argv[4]));
}
