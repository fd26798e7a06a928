// Parsing and serialisation of JSON text. Settings and declarations may contain
// comments.
#ifndef CORE_JSON_TEXT_H_
#define CORE_JSON_TEXT_H_

#include <boost/json/value.hpp>
#include <string>
#include <string_view>

#include "core/base/result.h"

namespace boragecroft {

namespace json = boost::json;

// Reason and position of a syntax error in JSON text.
struct JsonSyntaxError {
  std::string reason;
  size_t offset = 0;  // bytes from the start of the text
};

// Parses strict JSON, the form in which callers, endpoints and the platform
// send it.
auto ParseJson(std::string_view text) -> Result<json::value, JsonSyntaxError>;
// Parses JSON with comments and trailing commas, the form in which people write
// it.
auto ParseJsonWithComments(std::string_view text)
    -> Result<json::value, JsonSyntaxError>;
auto ToJsonText(const json::value& value) -> std::string;
// Returns indented JSON, for people and for version control.
auto ToPrettyJson(const json::value& value) -> std::string;

}  // namespace boragecroft

#endif  // CORE_JSON_TEXT_H_
