#include "tests/lab/sync_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/serialize.hpp>

#include "core/http/http_connection.h"
#include "core/json/text.h"

namespace boragecroft::lab {

auto JsonReply::Text(std::string_view key) const -> std::string {
  const auto* object = body.if_object();
  const auto* value = object == nullptr ? nullptr : object->if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

auto JsonReply::Number(std::string_view key) const -> int64_t {
  const auto* object = body.if_object();
  const auto* value = object == nullptr ? nullptr : object->if_contains(key);
  boost::json::error_code ec;
  return value == nullptr ? 0 : value->to_number<int64_t>(ec);
}

auto Get(const Address& server, const std::string& target, milliseconds timeout)
    -> JsonReply {
  return Send(server, "GET", target, "", timeout);
}

auto Post(const Address& server,
          const std::string& target,
          const boost::json::value& body,
          milliseconds timeout) -> JsonReply {
  return Send(server, "POST", target, boost::json::serialize(body), timeout);
}

auto Send(const Address& server,
          const std::string& method,
          const std::string& target,
          const std::string& body,
          milliseconds timeout) -> JsonReply {
  boost::asio::io_context context;
  HttpConnection connection(context, server);
  HttpRequest request;
  request.method = method;
  request.target = target;
  request.body = body;
  JsonReply reply;
  connection.Send(std::move(request), timeout, timeout,
                  [&](const Result<HttpResponse, HttpError>& result) {
                    if (result.has_value()) {
                      reply.status = result.value().status;
                      auto parsed = ParseJson(result.value().body);
                      reply.body =
                          parsed.has_value() ? parsed.value() : json::value();
                    }
                    context.stop();
                  });
  context.run();
  return reply;
}

}  // namespace boragecroft::lab
