#include "servers/ledger/keys.h"

#include <algorithm>
#include <charconv>
#include <cstddef>

namespace boragecroft {
namespace {

constexpr size_t kTimeDigits = 12;
constexpr size_t kAddendumDigits = 8;
constexpr uint64_t kMaxKeyTime = (uint64_t{1} << 48U) - 1;

auto ToPaddedHex(uint64_t value, size_t digits) -> std::string {
  char buf[16];
  const auto written = std::to_chars(buf, buf + sizeof(buf), value, 16);
  const std::string text(buf, written.ptr);
  return std::string(digits - std::min(digits, text.size()), '0') + text;
}

auto IsUnreserved(char it) -> bool {
  return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') ||
         (it >= '0' && it <= '9') || it == '-' || it == '_' || it == '.';
}

auto PercentEncode(std::string_view text) -> std::string {
  std::string out;
  for (const auto it : text) {
    if (IsUnreserved(it)) {
      out += it;
    } else {
      out += '%';
      out += ToPaddedHex(static_cast<unsigned char>(it), 2);
    }
  }
  return out;
}

}  // namespace

auto IncarnationKey(Incarnation incarnation) -> std::string {
  return "incarnation/" + ToString(incarnation);
}

auto LedgerPrefix(Incarnation incarnation) -> std::string {
  return "ledger/" + ToString(incarnation) + "/";
}

auto SegmentKey(Incarnation incarnation, WallTime time) -> std::string {
  const auto count = std::max<int64_t>(time.time_since_epoch().count(), 0);
  const auto shown = std::min(static_cast<uint64_t>(count), kMaxKeyTime);
  return LedgerPrefix(incarnation) + ToPaddedHex(shown, kTimeDigits);
}

auto ParseSegmentTime(std::string_view key) -> std::optional<WallTime> {
  const auto slash = key.rfind('/');
  if (!key.starts_with("ledger/") || key.size() - slash - 1 != kTimeDigits) {
    return std::nullopt;
  }
  int64_t count = 0;
  const auto* end = key.data() + key.size();
  const auto parsed = std::from_chars(key.data() + slash + 1, end, count, 16);
  if (parsed.ec != std::errc() || parsed.ptr != end || count < 0) {
    return std::nullopt;
  }
  return WallTime(milliseconds(count));
}

auto AddendumPrefix(Incarnation incarnation) -> std::string {
  return "addendum/" + ToString(incarnation) + "/";
}

auto AddendumKey(Incarnation incarnation, uint32_t number) -> std::string {
  return AddendumPrefix(incarnation) + ToPaddedHex(number, kAddendumDigits);
}

auto ClaimKey(std::string_view partner, std::string_view caller_key)
    -> std::string {
  return "claim/" + PercentEncode(partner) + "/" + PercentEncode(caller_key);
}

}  // namespace boragecroft
