#include "core/json/text.h"

#include <boost/json/serialize.hpp>
#include <boost/json/stream_parser.hpp>

namespace boragecroft {
namespace {

constexpr size_t kMaxDepth = 32;

auto Parse(std::string_view text, const json::parse_options& options)
    -> Result<json::value, JsonSyntaxError> {
  json::stream_parser parser(json::storage_ptr(), options);
  json::error_code ec;
  const auto consumed = parser.write_some(text.data(), text.size(), ec);
  if (ec) {
    return JsonSyntaxError{.reason = ec.message(), .offset = consumed};
  }
  if (consumed != text.size()) {
    return JsonSyntaxError{.reason = "text after the end of the value",
                           .offset = consumed};
  }
  // Completes a number at the end of the text, which further digits could have
  // continued, and reports a value that is incomplete.
  parser.finish(ec);
  if (ec) {
    return JsonSyntaxError{.reason = ec.message(), .offset = consumed};
  }
  return parser.release();
}

auto AppendPretty(const json::value& value,
                  const std::string& indent,
                  std::string& out) -> void;

auto AppendMembers(const json::object& object,
                   const std::string& indent,
                   std::string& out) -> void {
  auto separator = std::string("\n");
  for (const auto& it : object) {
    out += separator + indent + json::serialize(it.key()) + ": ";
    AppendPretty(it.value(), indent, out);
    separator = ",\n";
  }
}

auto AppendElements(const json::array& array,
                    const std::string& indent,
                    std::string& out) -> void {
  auto separator = std::string("\n");
  for (const auto& it : array) {
    out += separator + indent;
    AppendPretty(it, indent, out);
    separator = ",\n";
  }
}

auto AppendPretty(const json::value& value,
                  const std::string& indent,
                  std::string& out) -> void {
  const auto deeper = indent + "  ";
  if (value.is_object() && !value.get_object().empty()) {
    out += "{";
    AppendMembers(value.get_object(), deeper, out);
    out += "\n" + indent + "}";
    return;
  }
  if (value.is_array() && !value.get_array().empty() &&
      value.get_array().front().is_structured()) {
    out += "[";
    AppendElements(value.get_array(), deeper, out);
    out += "\n" + indent + "]";
    return;
  }
  out += json::serialize(value);
}

}  // namespace

auto ParseJson(std::string_view text) -> Result<json::value, JsonSyntaxError> {
  json::parse_options options;
  options.max_depth = kMaxDepth;
  return Parse(text, options);
}

auto ParseJsonWithComments(std::string_view text)
    -> Result<json::value, JsonSyntaxError> {
  json::parse_options options;
  options.max_depth = kMaxDepth;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  return Parse(text, options);
}

auto ToJsonText(const json::value& value) -> std::string {
  return json::serialize(value);
}

auto ToPrettyJson(const json::value& value) -> std::string {
  std::string out;
  AppendPretty(value, "", out);
  return out + "\n";
}

}  // namespace boragecroft
