// HTTP messages as plain structs, so that only this module includes the HTTP
// library.
#ifndef CORE_HTTP_HTTP_MESSAGE_H_
#define CORE_HTTP_HTTP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/clock.h"

namespace boragecroft {

struct HttpHeader {
  std::string name;
  std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

// Returns the value of a header, or an empty text when the header is absent.
// Names are compared without regard to case.
auto FindHeader(const HttpHeaders& headers, std::string_view name)
    -> std::string_view;

struct HttpRequest {
  std::string method;
  std::string target;  // path and query
  HttpHeaders headers;
  std::string body;
  uint64_t number = 0;  // sequence number in the server; 0 in a client
};

struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  HttpHeaders headers;
  std::string body;
  bool close = false;  // closes the connection after this response
};

// Returns the path of a target without its query.
auto TargetPath(std::string_view target) -> std::string_view;
// Returns the value of a query parameter, or an empty text when it is absent.
// Values are not percent-decoded.
auto QueryParameter(std::string_view target, std::string_view name)
    -> std::string_view;
// Returns the parts of the path between slashes, without empty parts.
auto PathSegments(std::string_view target) -> std::vector<std::string>;

}  // namespace boragecroft

#endif  // CORE_HTTP_HTTP_MESSAGE_H_
