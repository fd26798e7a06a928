// Builds and parses the keys of the ledger's rows in the platform's table.
#ifndef SERVERS_LEDGER_KEYS_H_
#define SERVERS_LEDGER_KEYS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/base/clock.h"
#include "core/base/ids.h"

namespace boragecroft {

// Returns "incarnation/<16 hex digits>".
auto IncarnationKey(Incarnation incarnation) -> std::string;
// Returns "ledger/<16 hex digits>/", the prefix of all segments of one
// incarnation.
auto LedgerPrefix(Incarnation incarnation) -> std::string;
// Returns "ledger/<16 hex digits>/<12 hex digits: ms since the epoch>".
auto SegmentKey(Incarnation incarnation, WallTime time) -> std::string;
// Returns the time in a segment's key, or empty when `key` is not the key of a
// segment.
auto ParseSegmentTime(std::string_view key) -> std::optional<WallTime>;
// Returns "addendum/<16 hex digits>/".
auto AddendumPrefix(Incarnation incarnation) -> std::string;
// Returns "addendum/<16 hex digits>/<8 hex digits>".
auto AddendumKey(Incarnation incarnation, uint32_t number) -> std::string;
// Returns "claim/<partner>/<caller's key>", both percent-encoded.
auto ClaimKey(std::string_view partner, std::string_view caller_key)
    -> std::string;

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_KEYS_H_
