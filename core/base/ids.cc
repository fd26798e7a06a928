#include "core/base/ids.h"

#include <charconv>
#include <cstdio>

namespace boragecroft {
namespace {

template <class T>
auto ParseInteger(std::string_view text, int base) -> std::optional<T> {
  T value = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value, base);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

auto ToHex(uint64_t value) -> std::string {
  char buf[17];
  const auto written = std::to_chars(buf, buf + sizeof(buf), value, 16);
  return {buf, written.ptr};
}

}  // namespace

auto ToString(Incarnation incarnation) -> std::string {
  auto digits = ToHex(incarnation.value);
  return std::string(16 - digits.size(), '0') + digits;
}

auto ParseIncarnation(std::string_view text) -> std::optional<Incarnation> {
  if (text.size() != 16) {
    return std::nullopt;
  }
  const auto value = ParseInteger<uint64_t>(text, 16);
  return value ? std::optional(Incarnation{*value}) : std::nullopt;
}

auto ToString(const JobId& id) -> std::string {
  const auto minted =
      static_cast<uint64_t>(id.minted.time_since_epoch().count());
  return ToString(id.incarnation) + "-" + ToHex(minted) + "-" +
         ToHex(id.sequence);
}

auto ParseJobId(std::string_view text) -> std::optional<JobId> {
  const auto first = text.find('-');
  const auto second =
      text.find('-', first == std::string_view::npos ? first : first + 1);
  if (first == std::string_view::npos || second == std::string_view::npos) {
    return std::nullopt;
  }
  const auto incarnation = ParseIncarnation(text.substr(0, first));
  const auto minted =
      ParseInteger<int64_t>(text.substr(first + 1, second - first - 1), 16);
  const auto sequence = ParseInteger<uint64_t>(text.substr(second + 1), 16);
  if (!incarnation || !minted || *minted < 0 || !sequence) {
    return std::nullopt;
  }
  return JobId{.incarnation = *incarnation,
               .sequence = *sequence,
               .minted = WallTime(milliseconds(*minted))};
}

auto ToString(const TaskId& id) -> std::string {
  return ToString(id.job) + "/" + std::to_string(id.index);
}

auto ParseTaskId(std::string_view text) -> std::optional<TaskId> {
  const auto slash = text.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto job = ParseJobId(text.substr(0, slash));
  const auto index = ParseInteger<uint32_t>(text.substr(slash + 1), 10);
  if (!job || !index) {
    return std::nullopt;
  }
  return TaskId{.job = *job, .index = *index};
}

}  // namespace boragecroft
