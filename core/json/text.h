// Parsing and printing of JSON text; settings and declarations may carry
// comments.
#ifndef CORE_JSON_TEXT_H_
#define CORE_JSON_TEXT_H_

#include <boost/json/value.hpp>
#include <string>
#include <string_view>

#include "core/base/result.h"

namespace boragecroft {

namespace json = boost::json;

// Text that is not JSON.
struct JsonSyntaxError {
  std::string reason;
  size_t offset = 0;  // bytes from the start of the text
};

// Strict JSON, as callers, endpoints and the platform send it.
auto ParseJson(std::string_view text) -> Result<json::value, JsonSyntaxError>;
// JSON with comments and trailing commas, as people write it.
auto ParseJsonWithComments(std::string_view text)
    -> Result<json::value, JsonSyntaxError>;
auto ToJsonText(const json::value& value) -> std::string;
// Indented for people and for version control.
auto ToPrettyJson(const json::value& value) -> std::string;

}  // namespace boragecroft

#endif  // CORE_JSON_TEXT_H_
