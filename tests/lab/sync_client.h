// A blocking HTTP client with JSON bodies for tests and experiments.
#ifndef TESTS_LAB_SYNC_CLIENT_H_
#define TESTS_LAB_SYNC_CLIENT_H_

#include <boost/json/value.hpp>
#include <string>

#include "core/base/address.h"
#include "core/base/clock.h"

namespace boragecroft::lab {

struct JsonReply {
  int status = 0;  // 0: no answer
  boost::json::value body;

  // Returns a text member of the body, or an empty string when it is absent.
  auto Text(std::string_view key) const -> std::string;
  // Returns a number member of the body, or 0 when it is absent.
  auto Number(std::string_view key) const -> int64_t;
};

auto Get(const Address& server,
         const std::string& target,
         milliseconds timeout = seconds(10)) -> JsonReply;
auto Post(const Address& server,
          const std::string& target,
          const boost::json::value& body,
          milliseconds timeout = seconds(10)) -> JsonReply;
// Sends a request with any method. The body is sent without encoding.
auto Send(const Address& server,
          const std::string& method,
          const std::string& target,
          const std::string& body,
          milliseconds timeout) -> JsonReply;

}  // namespace boragecroft::lab

#endif  // TESTS_LAB_SYNC_CLIENT_H_
