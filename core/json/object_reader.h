// Reads typed members of a JSON object and collects all errors, so that one
// pass reports every error of a document.
#ifndef CORE_JSON_OBJECT_READER_H_
#define CORE_JSON_OBJECT_READER_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/clock.h"
#include "core/json/text.h"

namespace boragecroft {

// One error in a document: the field, the value found and the values allowed.
struct FieldError {
  std::string field;  // dotted path, for example "classes[1].floor_percent"
  std::string found;
  std::string allowed;
};

auto ToString(const FieldError& error) -> std::string;

// Closed range of integers.
struct Range {
  int64_t low = 0;
  int64_t high = 0;
};

class ObjectReader {
 public:
  // `path` is the position of `value` in the document, and is empty for the
  // root. `value` and `errors` must outlive the reader. If `value` is not an
  // object, the constructor records an error and every member reads as absent.
  ObjectReader(const json::value& value,
               std::string path,
               std::vector<FieldError>& errors);

  // Returns a required member. If the member is absent or invalid, records an
  // error and returns an empty text, `range.low`, false or the index 0.
  auto Text(std::string_view key) -> std::string;
  auto Integer(std::string_view key, Range range) -> int64_t;
  auto Flag(std::string_view key) -> bool;
  // Returns the index of the member's value in `allowed`.
  auto Choice(std::string_view key, const std::vector<std::string>& allowed)
      -> size_t;

  // Returns an optional member, or `fallback` when it is absent.
  auto TextOr(std::string_view key, std::string fallback) -> std::string;
  auto IntegerOr(std::string_view key, Range range, int64_t fallback)
      -> int64_t;
  auto FlagOr(std::string_view key, bool fallback) -> bool;
  auto ChoiceOr(std::string_view key,
                const std::vector<std::string>& allowed,
                size_t fallback) -> size_t;
  // Returns a whole number of milliseconds. By convention the key ends in
  // "_ms".
  auto MillisecondsOr(std::string_view key, Range range, milliseconds fallback)
      -> milliseconds;

  // Returns the member as JSON, or null when it is absent. Marks the key as
  // known.
  auto Raw(std::string_view key) -> const json::value*;
  // Calls `visit` with a reader for each element of an array of objects. An
  // absent array is treated as empty.
  auto Each(std::string_view key,
            const std::function<void(ObjectReader&)>& visit) -> void;

  // Records an error in the member `key`.
  auto Fail(std::string_view key, std::string found, std::string allowed)
      -> void;
  auto Path(std::string_view key) const -> std::string;
  auto Has(std::string_view key) const -> bool;

  // Records an error for each member whose key no earlier call has read.
  auto RejectUnknown() -> void;
  // Returns the members whose keys no earlier call has read, so that a rewrite
  // of the document does not lose them.
  auto Unknown() const -> json::object;

 private:
  auto Find(std::string_view key) -> const json::value*;
  auto Require(std::string_view key, std::string_view allowed)
      -> const json::value*;

  const json::object* object_ = nullptr;
  std::string path_;
  std::vector<FieldError>& errors_;
  std::set<std::string, std::less<>> known_;
};

}  // namespace boragecroft

#endif  // CORE_JSON_OBJECT_READER_H_
