// Reads typed members of a JSON object and collects every error on the way, so
// that a document is checked whole.
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

// One fault of a document: where, what was found, what is allowed.
struct FieldError {
  std::string field;  // dotted path, for example "classes[1].floor_percent"
  std::string found;
  std::string allowed;
};

auto ToString(const FieldError& error) -> std::string;

// A closed range of whole numbers.
struct Range {
  int64_t low = 0;
  int64_t high = 0;
};

class ObjectReader {
 public:
  // `path` is the position of `value` in the document, empty for the root.
  // `value` and `errors` must outlive the reader. A value that is no object is
  // an error, and every member then reads as absent.
  ObjectReader(const json::value& value,
               std::string path,
               std::vector<FieldError>& errors);

  // A required member: its absence is an error.
  auto Text(std::string_view key) -> std::string;
  auto Integer(std::string_view key, Range range) -> int64_t;
  auto Flag(std::string_view key) -> bool;
  // One of `allowed`; the index into it.
  auto Choice(std::string_view key, const std::vector<std::string>& allowed)
      -> size_t;

  // An optional member: `fallback` when absent.
  auto TextOr(std::string_view key, std::string fallback) -> std::string;
  auto IntegerOr(std::string_view key, Range range, int64_t fallback)
      -> int64_t;
  auto FlagOr(std::string_view key, bool fallback) -> bool;
  auto ChoiceOr(std::string_view key,
                const std::vector<std::string>& allowed,
                size_t fallback) -> size_t;
  // Whole milliseconds; the key ends in "_ms" by custom.
  auto MillisecondsOr(std::string_view key, Range range, milliseconds fallback)
      -> milliseconds;

  // The raw member, or null when absent. Marks the key as known.
  auto Raw(std::string_view key) -> const json::value*;
  // Calls `visit` with a reader for each element of an array of objects; an
  // absent array has no elements.
  auto Each(std::string_view key,
            const std::function<void(ObjectReader&)>& visit) -> void;

  auto Fail(std::string_view key, std::string found, std::string allowed)
      -> void;
  auto Path(std::string_view key) const -> std::string;
  auto Has(std::string_view key) const -> bool;

  // Reports each member that nothing asked for.
  auto RejectUnknown() -> void;
  // The members that nothing asked for: kept so that a rewrite does not lose
  // them.
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
