#include "core/json/object_reader.h"

#include <boost/json/serialize.hpp>
#include <utility>

namespace boragecroft {
namespace {

constexpr size_t kMaxShownValueBytes = 80;

// Returns the longest prefix of at most `limit` bytes that ends between two
// UTF-8 characters.
auto TruncateUtf8(const std::string& text, size_t limit) -> std::string {
  constexpr uint8_t kContinuationMask = 0xC0;
  constexpr uint8_t kContinuation = 0x80;
  while (limit > 0 && (static_cast<uint8_t>(text[limit]) & kContinuationMask) ==
                          kContinuation) {
    --limit;
  }
  return text.substr(0, limit);
}

auto Describe(const json::value& value) -> std::string {
  auto text = json::serialize(value);
  if (text.size() > kMaxShownValueBytes) {
    text = TruncateUtf8(text, kMaxShownValueBytes) + "...";
  }
  return text;
}

auto DescribeRange(Range range) -> std::string {
  return "a whole number from " + std::to_string(range.low) + " to " +
         std::to_string(range.high);
}

auto DescribeChoice(const std::vector<std::string>& allowed) -> std::string {
  std::string out = "one of";
  auto separator = std::string(" ");
  for (const auto& it : allowed) {
    out += separator + "\"" + it + "\"";
    separator = ", ";
  }
  return out;
}

}  // namespace

auto ToString(const FieldError& error) -> std::string {
  const auto field =
      error.field.empty() ? std::string("(document)") : error.field;
  return field + ": found " + error.found + ", allowed: " + error.allowed;
}

ObjectReader::ObjectReader(const json::value& value,
                           std::string path,
                           std::vector<FieldError>& errors)
    : object_(value.if_object()), path_(std::move(path)), errors_(errors) {
  if (object_ == nullptr) {
    errors_.push_back(FieldError{
        .field = path_, .found = Describe(value), .allowed = "an object"});
  }
}

auto ObjectReader::Text(std::string_view key) -> std::string {
  const auto* value = Require(key, "a string");
  if (value == nullptr) {
    return {};
  }
  if (!value->is_string()) {
    Fail(key, Describe(*value), "a string");
    return {};
  }
  return std::string(value->get_string());
}

auto ObjectReader::Integer(std::string_view key, Range range) -> int64_t {
  const auto* value = Require(key, DescribeRange(range));
  if (value == nullptr) {
    return range.low;
  }
  json::error_code ec;
  const auto number = value->to_number<int64_t>(ec);
  if (!value->is_number() || value->is_double() || ec || number < range.low ||
      number > range.high) {
    Fail(key, Describe(*value), DescribeRange(range));
    return range.low;
  }
  return number;
}

auto ObjectReader::Flag(std::string_view key) -> bool {
  const auto* value = Require(key, "true or false");
  if (value == nullptr) {
    return false;
  }
  if (!value->is_bool()) {
    Fail(key, Describe(*value), "true or false");
    return false;
  }
  return value->get_bool();
}

auto ObjectReader::Choice(std::string_view key,
                          const std::vector<std::string>& allowed) -> size_t {
  const auto* value = Require(key, DescribeChoice(allowed));
  if (value == nullptr) {
    return 0;
  }
  for (size_t i = 0; i < allowed.size(); ++i) {
    if (value->is_string() &&
        std::string_view(value->get_string()) == allowed[i]) {
      return i;
    }
  }
  Fail(key, Describe(*value), DescribeChoice(allowed));
  return 0;
}

auto ObjectReader::TextOr(std::string_view key, std::string fallback)
    -> std::string {
  return Find(key) == nullptr ? std::move(fallback) : Text(key);
}

auto ObjectReader::IntegerOr(std::string_view key,
                             Range range,
                             int64_t fallback) -> int64_t {
  return Find(key) == nullptr ? fallback : Integer(key, range);
}

auto ObjectReader::FlagOr(std::string_view key, bool fallback) -> bool {
  return Find(key) == nullptr ? fallback : Flag(key);
}

auto ObjectReader::ChoiceOr(std::string_view key,
                            const std::vector<std::string>& allowed,
                            size_t fallback) -> size_t {
  return Find(key) == nullptr ? fallback : Choice(key, allowed);
}

auto ObjectReader::MillisecondsOr(std::string_view key,
                                  Range range,
                                  milliseconds fallback) -> milliseconds {
  return milliseconds(IntegerOr(key, range, fallback.count()));
}

auto ObjectReader::Raw(std::string_view key) -> const json::value* {
  return Find(key);
}

auto ObjectReader::Each(std::string_view key,
                        const std::function<void(ObjectReader&)>& visit)
    -> void {
  const auto* value = Find(key);
  if (value == nullptr) {
    return;
  }
  const auto* array = value->if_array();
  if (array == nullptr) {
    Fail(key, Describe(*value), "an array of objects");
    return;
  }
  for (size_t i = 0; i < array->size(); ++i) {
    ObjectReader reader((*array)[i], Path(key) + "[" + std::to_string(i) + "]",
                        errors_);
    visit(reader);
  }
}

auto ObjectReader::Fail(std::string_view key,
                        std::string found,
                        std::string allowed) -> void {
  errors_.push_back(FieldError{.field = Path(key),
                               .found = std::move(found),
                               .allowed = std::move(allowed)});
}

auto ObjectReader::Path(std::string_view key) const -> std::string {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

auto ObjectReader::Has(std::string_view key) const -> bool {
  return object_ != nullptr && object_->contains(key);
}

auto ObjectReader::RejectUnknown() -> void {
  for (const auto& it : Unknown()) {
    Fail(it.key(), Describe(it.value()), "no such key");
  }
}

auto ObjectReader::Unknown() const -> json::object {
  json::object unknown;
  if (object_ == nullptr) {
    return unknown;
  }
  for (const auto& it : *object_) {
    if (!known_.contains(std::string_view(it.key()))) {
      unknown[it.key()] = it.value();
    }
  }
  return unknown;
}

auto ObjectReader::Find(std::string_view key) -> const json::value* {
  known_.emplace(key);
  return object_ == nullptr ? nullptr : object_->if_contains(key);
}

auto ObjectReader::Require(std::string_view key, std::string_view allowed)
    -> const json::value* {
  const auto* value = Find(key);
  if (value == nullptr && object_ != nullptr) {
    Fail(key, "nothing", std::string(allowed));
  }
  return value;
}

}  // namespace boragecroft
