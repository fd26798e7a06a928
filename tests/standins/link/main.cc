// Simulates the network between availability zones. Prints "control PORT", then
// "ready".
// The control port serves POST /links {"from": ZONE, "to": ZONE, "target":
// "IP:PORT"}, which opens a link and returns {"address": "IP:PORT"}; and POST
// /control {"from": ZONE or "*", "to": ZONE or "*", "mode": "open" | "cut" |
// "silent"}, which sets the mode of the links in this direction only.
#include <boost/asio/signal_set.hpp>
#include <iostream>

#include "core/http/http_server.h"
#include "tests/standins/common/json_reply.h"
#include "tests/standins/link/relay.h"

namespace boragecroft::standins {
namespace {

namespace json = boost::json;

auto ParseMode(std::string_view text) -> LinkMode {
  if (text == "cut") {
    return LinkMode::kPartitioned;
  }
  return text == "silent" ? LinkMode::kStalled : LinkMode::kOpen;
}

auto Matches(const std::string& wanted, const std::string& zone) -> bool {
  return wanted == "*" || wanted == zone;
}

auto OnRequest(Network& network, const HttpRequest& request) -> HttpResponse {
  const auto body = JsonBody(request);
  const auto from = TextOr(body, "from", "*");
  const auto to = TextOr(body, "to", "*");
  json::object answer;
  if (TargetPath(request.target) == "/links") {
    const auto target = ParseAddress(TextOr(body, "target", ""));
    answer["address"] =
        ToString(AddLink(network, from, to, target.value_or(Address())));
    return JsonReply(200, answer);
  }
  for (const auto& it : network.links) {
    if (Matches(from, it->from_zone) && Matches(to, it->to_zone)) {
      SetMode(*it, ParseMode(TextOr(body, "mode", "open")));
    }
  }
  return JsonReply(200, answer);
}

auto Run() -> int {
  Network network;
  HttpServerOptions options;
  options.listen = Address{.ip = "127.0.0.1", .port = 0};
  HttpServerCallbacks callbacks;
  callbacks.on_request = [&](const HttpRequest& request,
                             const HttpResponder& respond) {
    respond(OnRequest(network, request));
  };
  auto server =
      HttpServer::Listen(network.context, options, std::move(callbacks));
  if (server.has_error()) {
    std::cerr << server.error() << "\n";
    return 1;
  }
  std::cout << "control " << server.value()->Port() << "\nready" << std::endl;
  boost::asio::signal_set signals(network.context, SIGTERM, SIGINT);
  signals.async_wait([&](auto, int) { network.context.stop(); });
  network.context.run();
  return 0;
}

}  // namespace
}  // namespace boragecroft::standins

auto main() -> int {
  return boragecroft::standins::Run();
}
