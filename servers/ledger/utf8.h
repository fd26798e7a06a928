// Replaces invalid UTF-8. JSON text is UTF-8, so a single invalid byte in text
// from outside would make a whole segment unreadable.
#ifndef SERVERS_LEDGER_UTF8_H_
#define SERVERS_LEDGER_UTF8_H_

#include <string>
#include <string_view>

namespace boragecroft {

// Returns the text with each byte that belongs to no valid UTF-8 sequence
// replaced by a question mark.
auto ToValidUtf8(std::string_view text) -> std::string;

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_UTF8_H_
