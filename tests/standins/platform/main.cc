// Simulates the platform: the protocol of docs/PLATFORM.md in memory, with one
// port for each availability zone so that the platform can fail for one zone
// only. Prints "ZONE PORT" for each zone, then "ready".
// POST /control {"zone": NAME or "*", "mode": "up" | "down" | "silent" |
// "lose_answers" | "stale_reads", "write_ms": N, "read_ms": N} sets the
// behaviour. Each of these calls also updates the replica that serves stale
// reads, except those with "keep_replica". POST /list {"zone": NAME or "*",
// "instances": [...]} sets the list.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <iostream>
#include <memory>

#include "core/http/http_server.h"
#include "tests/standins/common/json_reply.h"
#include "tests/standins/platform/table.h"

namespace boragecroft::standins {
namespace {

namespace json = boost::json;

constexpr milliseconds kDefaultWriteDelay{5};

enum class Mode { kUp, kDown, kNoResponse, kLoseAnswers, kStaleReads };

// The platform's behaviour and list for one availability zone.
struct ZoneView {
  std::string name;
  Mode mode = Mode::kUp;
  milliseconds write_delay = kDefaultWriteDelay;
  milliseconds read_delay{0};
  json::array list;
  uint64_t list_version = 0;
  std::unique_ptr<HttpServer> server;
};

struct Platform {
  boost::asio::io_context context;
  Table table;
  uint64_t unchanged_lists = 0;
  std::vector<std::unique_ptr<ZoneView>> zones;
  std::vector<HttpResponder> unanswered;  // requests that never get an answer
};

auto ParseMode(std::string_view text) -> Mode {
  if (text == "down") {
    return Mode::kDown;
  }
  if (text == "silent") {
    return Mode::kNoResponse;
  }
  if (text == "lose_answers") {
    return Mode::kLoseAnswers;
  }
  return text == "stale_reads" ? Mode::kStaleReads : Mode::kUp;
}

auto RespondLater(Platform& platform,
                  milliseconds delay,
                  HttpResponse response,
                  HttpResponder respond) -> void {
  if (delay.count() == 0) {
    respond(std::move(response));
    return;
  }
  auto timer =
      std::make_shared<boost::asio::steady_timer>(platform.context, delay);
  timer->async_wait(
      [timer, response = std::move(response),
       respond = std::move(respond)](auto) { respond(response); });
}

auto Control(Platform& platform, const json::object& body) -> void {
  const auto zone = TextOr(body, "zone", "*");
  for (auto& it : platform.zones) {
    if (zone != "*" && zone != it->name) {
      continue;
    }
    if (body.contains("mode")) {
      it->mode = ParseMode(TextOr(body, "mode", "up"));
    }
    it->write_delay =
        milliseconds(NumberOr(body, "write_ms", it->write_delay.count()));
    it->read_delay =
        milliseconds(NumberOr(body, "read_ms", it->read_delay.count()));
  }
  if (!body.contains("keep_replica")) {
    platform.table.replica = platform.table.rows;
  }
}

auto SetList(Platform& platform, const json::object& body) -> void {
  const auto zone = TextOr(body, "zone", "*");
  for (auto& it : platform.zones) {
    if (zone == "*" || zone == it->name) {
      it->list = body.at("instances").as_array();
      ++it->list_version;
    }
  }
}

auto CountersJson(const Platform& platform) -> json::object {
  json::object body;
  body["writes"] = platform.table.writes;
  body["reads"] = platform.table.reads;
  body["unchanged_lists"] = platform.unchanged_lists;
  body["rows"] = platform.table.rows.size();
  return body;
}

auto Write(Platform& platform,
           const ZoneView& zone,
           const HttpRequest& request,
           HttpResponder respond) -> void {
  auto answer = Transact(platform.table, JsonBody(request));
  if (zone.mode == Mode::kLoseAnswers) {
    platform.unanswered.push_back(std::move(respond));
    return;
  }
  RespondLater(platform, zone.write_delay,
               JsonReply(answer.status, answer.body), std::move(respond));
}

// Returns the list. Unless `workers_zone` is empty, the workers of all other
// zones are omitted.
auto ListJson(const ZoneView& zone, const std::string& workers_zone)
    -> json::object {
  json::array instances;
  for (const auto& it : zone.list) {
    const auto& entry = it.as_object();
    const auto elsewhere = TextOr(entry, "kind", "") == "worker" &&
                           TextOr(entry, "zone", "") != workers_zone;
    if (workers_zone.empty() || !elsewhere) {
      instances.push_back(it);
    }
  }
  json::object body;
  body["instances"] = std::move(instances);
  return body;
}

auto Read(Platform& platform, const ZoneView& zone, const HttpRequest& request)
    -> json::object {
  ++platform.table.reads;
  if (TargetPath(request.target) == "/v1/table/rows") {
    const auto& rows = zone.mode == Mode::kStaleReads ? platform.table.replica
                                                      : platform.table.rows;
    return ReadRowJson(rows,
                       std::string(QueryParameter(request.target, "key")));
  }
  if (TargetPath(request.target) == "/v1/table/scan") {
    const auto limit =
        std::stoul("0" + std::string(QueryParameter(request.target, "limit")));
    return ScanJson(
        platform.table, std::string(QueryParameter(request.target, "prefix")),
        std::string(QueryParameter(request.target, "after")), limit);
  }
  return ListJson(zone,
                  std::string(QueryParameter(request.target, "workers_zone")));
}

auto ReadResponse(Platform& platform,
                  const ZoneView& zone,
                  const HttpRequest& request) -> HttpResponse {
  if (TargetPath(request.target) != "/v1/instances") {
    return JsonReply(200, Read(platform, zone, request));
  }
  const auto tag = "\"" + std::to_string(zone.list_version) + "\"";
  if (FindHeader(request.headers, "If-None-Match") == tag) {
    ++platform.table.reads;
    ++platform.unchanged_lists;
    HttpResponse response;
    response.status = 304;
    return response;
  }
  auto response = JsonReply(200, Read(platform, zone, request));
  response.headers.push_back(HttpHeader{.name = "ETag", .value = tag});
  return response;
}

auto OnRequest(Platform& platform,
               const ZoneView& zone,
               const HttpRequest& request,
               HttpResponder respond) -> void {
  const auto path = TargetPath(request.target);
  if (path == "/control") {
    Control(platform, JsonBody(request));
    respond(JsonReply(200, json::object()));
  } else if (path == "/list") {
    SetList(platform, JsonBody(request));
    respond(JsonReply(200, json::object()));
  } else if (path == "/counters") {
    respond(JsonReply(200, CountersJson(platform)));
  } else if (zone.mode == Mode::kDown) {
    respond(JsonReply(503, json::object()));
  } else if (zone.mode == Mode::kNoResponse) {
    platform.unanswered.push_back(std::move(respond));
  } else if (path == "/v1/table/transact") {
    Write(platform, zone, request, std::move(respond));
  } else {
    RespondLater(platform, zone.read_delay,
                 ReadResponse(platform, zone, request), std::move(respond));
  }
}

auto AddZone(Platform& platform, const std::string& name) -> bool {
  auto zone = std::make_unique<ZoneView>();
  zone->name = name;
  HttpServerOptions options;
  options.listen = Address{.ip = "127.0.0.1", .port = 0};
  options.limits.max_body_bytes = 64U << 20U;
  HttpServerCallbacks callbacks;
  callbacks.on_request = [&platform, view = zone.get()](
                             const HttpRequest& request,
                             HttpResponder respond) {
    OnRequest(platform, *view, request, std::move(respond));
  };
  auto server =
      HttpServer::Listen(platform.context, options, std::move(callbacks));
  if (server.has_error()) {
    std::cerr << server.error() << "\n";
    return false;
  }
  zone->server = std::move(server).value();
  std::cout << name << " " << zone->server->Port() << std::endl;
  platform.zones.push_back(std::move(zone));
  return true;
}

auto Run(const std::vector<std::string>& zones) -> int {
  Platform platform;
  for (const auto& it : zones) {
    if (!AddZone(platform, it)) {
      return 1;
    }
  }
  boost::asio::signal_set signals(platform.context, SIGTERM, SIGINT);
  signals.async_wait([&](auto, int) { platform.context.stop(); });
  std::cout << "ready" << std::endl;
  platform.context.run();
  return 0;
}

}  // namespace
}  // namespace boragecroft::standins

// Usage: platform_standin ZONE [ZONE ...]
auto main(int argc, char** argv) -> int {
  return boragecroft::standins::Run({argv + 1, argv + argc});
}
