// Keys of the ledger's rows in the platform's table.
#ifndef SERVERS_LEDGER_KEYS_H_
#define SERVERS_LEDGER_KEYS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/base/clock.h"
#include "core/base/ids.h"

namespace boragecroft {

// "incarnation/<16 hex digits>".
auto IncarnationKey(Incarnation incarnation) -> std::string;
// "ledger/<16 hex digits>/": the segments of one incarnation.
auto LedgerPrefix(Incarnation incarnation) -> std::string;
// "ledger/<16 hex digits>/<12 hex digits: ms since the epoch>".
auto SegmentKey(Incarnation incarnation, WallTime time) -> std::string;
// The time in a segment's key, or empty when it is no segment's key.
auto ParseSegmentTime(std::string_view key) -> std::optional<WallTime>;
// "addendum/<16 hex digits>/".
auto AddendumPrefix(Incarnation incarnation) -> std::string;
// "addendum/<16 hex digits>/<8 hex digits>".
auto AddendumKey(Incarnation incarnation, uint32_t number) -> std::string;
// "claim/<partner>/<caller's key>", each percent-encoded.
auto ClaimKey(std::string_view partner, std::string_view caller_key)
    -> std::string;

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_KEYS_H_
