// Helpers with which the stand-ins read JSON requests and answer in JSON.
#ifndef TESTS_STANDINS_COMMON_JSON_REPLY_H_
#define TESTS_STANDINS_COMMON_JSON_REPLY_H_

#include <boost/json/value.hpp>

#include "core/http/http_message.h"

namespace boragecroft::standins {

auto JsonReply(int status, const boost::json::value& body) -> HttpResponse;
// Returns the request's body as an object, or an empty object when the body is
// not a JSON object.
auto JsonBody(const HttpRequest& request) -> boost::json::object;
auto TextOr(const boost::json::object& object,
            std::string_view key,
            std::string_view fallback) -> std::string;
auto NumberOr(const boost::json::object& object,
              std::string_view key,
              int64_t fallback) -> int64_t;

}  // namespace boragecroft::standins

#endif  // TESTS_STANDINS_COMMON_JSON_REPLY_H_
