#include "tests/standins/common/json_reply.h"

#include <boost/json/serialize.hpp>

#include "core/json/text.h"

namespace boragecroft::standins {

auto JsonReply(int status, const boost::json::value& body) -> HttpResponse {
  HttpResponse response;
  response.status = status;
  response.body = boost::json::serialize(body);
  return response;
}

auto JsonBody(const HttpRequest& request) -> boost::json::object {
  auto parsed = ParseJson(request.body);
  return parsed.has_value() && parsed.value().is_object()
             ? parsed.value().get_object()
             : boost::json::object();
}

auto TextOr(const boost::json::object& object,
            std::string_view key,
            std::string_view fallback) -> std::string {
  const auto* value = object.if_contains(key);
  return std::string(value != nullptr && value->is_string()
                         ? std::string_view(value->get_string())
                         : fallback);
}

auto NumberOr(const boost::json::object& object,
              std::string_view key,
              int64_t fallback) -> int64_t {
  const auto* value = object.if_contains(key);
  boost::json::error_code ec;
  const auto number =
      value == nullptr ? fallback : value->to_number<int64_t>(ec);
  return ec ? fallback : number;
}

}  // namespace boragecroft::standins
