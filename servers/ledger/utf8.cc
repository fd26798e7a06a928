#include "servers/ledger/utf8.h"

#include <cstddef>

namespace boragecroft {
namespace {

// A range of lead bytes from `low` to `high`. They start a sequence of `size`
// bytes whose second byte is from `second_low` to `second_high` (Unicode, table
// 3-7).
struct LeadBytes {
  unsigned char low;
  unsigned char high;
  size_t size;
  unsigned char second_low;
  unsigned char second_high;
};

constexpr LeadBytes kLeadBytes[] = {
    {0xC2, 0xDF, 2, 0x80, 0xBF}, {0xE0, 0xE0, 3, 0xA0, 0xBF},
    {0xE1, 0xEC, 3, 0x80, 0xBF}, {0xED, 0xED, 3, 0x80, 0x9F},
    {0xEE, 0xEF, 3, 0x80, 0xBF}, {0xF0, 0xF0, 4, 0x90, 0xBF},
    {0xF1, 0xF3, 4, 0x80, 0xBF}, {0xF4, 0xF4, 4, 0x80, 0x8F},
};

auto ByteAt(std::string_view text, size_t index) -> unsigned char {
  return index < text.size() ? static_cast<unsigned char>(text[index]) : 0;
}

auto IsSequence(std::string_view text, const LeadBytes& lead) -> bool {
  const auto second = ByteAt(text, 1);
  if (second < lead.second_low || second > lead.second_high) {
    return false;
  }
  for (size_t i = 2; i < lead.size; ++i) {
    if ((ByteAt(text, i) & 0xC0U) != 0x80U) {
      return false;
    }
  }
  return true;
}

// Returns the number of bytes of the valid sequence that `text` starts with, or
// 0 when it starts with an invalid one. `text` must not be empty.
auto SequenceSize(std::string_view text) -> size_t {
  const auto first = ByteAt(text, 0);
  if (first < 0x80) {
    return 1;
  }
  for (const auto& it : kLeadBytes) {
    if (first >= it.low && first <= it.high) {
      return IsSequence(text, it) ? it.size : 0;
    }
  }
  return 0;
}

}  // namespace

auto ToValidUtf8(std::string_view text) -> std::string {
  std::string out;
  out.reserve(text.size());
  while (!text.empty()) {
    const auto size = SequenceSize(text);
    if (size == 0) {
      out += '?';
      text.remove_prefix(1);
      continue;
    }
    out += text.substr(0, size);
    text.remove_prefix(size);
  }
  return out;
}

}  // namespace boragecroft
