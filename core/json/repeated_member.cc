#include "core/json/repeated_member.h"

#include <boost/json/basic_parser_impl.hpp>
#include <cstdint>
#include <unordered_set>
#include <utility>
#include <vector>

namespace boragecroft {
namespace {

namespace json = boost::json;

// Object or array that encloses the parser's present position.
struct Level {
  bool is_array = false;
  size_t index = 0;                      // number of elements begun in an array
  std::string key;                       // of the present member of an object
  std::unordered_set<std::string> keys;  // of all members of an object so far
};

// NOLINTBEGIN(readability-identifier-naming): names required by Boost.JSON.
struct MemberHandler {
  static constexpr size_t max_object_size = SIZE_MAX;
  static constexpr size_t max_array_size = SIZE_MAX;
  static constexpr size_t max_key_size = SIZE_MAX;
  static constexpr size_t max_string_size = SIZE_MAX;

  std::vector<Level> levels;
  std::string partial_key;  // start of a key that arrives in parts
  std::optional<std::string> repeated;

  // Increments the index if the value is an element of an array.
  auto BeginValue() -> void {
    if (!levels.empty() && levels.back().is_array) {
      ++levels.back().index;
    }
  }
  auto Open(bool is_array) -> bool {
    BeginValue();
    levels.push_back(Level{.is_array = is_array});
    return true;
  }
  auto Close() -> bool {
    levels.pop_back();
    return true;
  }
  auto Path() const -> std::string {
    std::string path;
    for (const auto& it : levels) {
      if (it.is_array) {
        path.append("[").append(std::to_string(it.index - 1)).append("]");
      } else {
        path.append(path.empty() ? "" : ".").append(it.key);
      }
    }
    return path;
  }

  auto on_document_begin(json::error_code&) -> bool { return true; }
  auto on_document_end(json::error_code&) -> bool { return true; }
  auto on_object_begin(json::error_code&) -> bool { return Open(false); }
  auto on_object_end(size_t, json::error_code&) -> bool { return Close(); }
  auto on_array_begin(json::error_code&) -> bool { return Open(true); }
  auto on_array_end(size_t, json::error_code&) -> bool { return Close(); }
  auto on_key_part(json::string_view text, size_t, json::error_code&) -> bool {
    partial_key.append(text.data(), text.size());
    return true;
  }
  auto on_key(json::string_view text, size_t, json::error_code& ec) -> bool {
    partial_key.append(text.data(), text.size());
    auto& level = levels.back();
    level.key = std::exchange(partial_key, {});
    if (level.keys.insert(level.key).second) {
      return true;
    }
    repeated = Path();
    ec = json::make_error_code(json::error::exception);
    return false;
  }
  auto on_string_part(json::string_view, size_t, json::error_code&) -> bool {
    return true;
  }
  auto on_string(json::string_view, size_t, json::error_code&) -> bool {
    BeginValue();
    return true;
  }
  auto on_number_part(json::string_view, json::error_code&) -> bool {
    return true;
  }
  auto on_int64(int64_t, json::string_view, json::error_code&) -> bool {
    BeginValue();
    return true;
  }
  auto on_uint64(uint64_t, json::string_view, json::error_code&) -> bool {
    BeginValue();
    return true;
  }
  auto on_double(double, json::string_view, json::error_code&) -> bool {
    BeginValue();
    return true;
  }
  auto on_bool(bool, json::error_code&) -> bool {
    BeginValue();
    return true;
  }
  auto on_null(json::error_code&) -> bool {
    BeginValue();
    return true;
  }
  auto on_comment_part(json::string_view, json::error_code&) -> bool {
    return true;
  }
  auto on_comment(json::string_view, json::error_code&) -> bool { return true; }
};
// NOLINTEND(readability-identifier-naming)

}  // namespace

auto FindRepeatedMember(std::string_view text) -> std::optional<std::string> {
  json::basic_parser<MemberHandler> parser{json::parse_options()};
  json::error_code ec;
  parser.write_some(false, text.data(), text.size(), ec);
  return std::move(parser.handler().repeated);
}

}  // namespace boragecroft
