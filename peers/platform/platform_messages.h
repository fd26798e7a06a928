// What the dispatcher asks of the platform and what comes back. See
// docs/PLATFORM.md.
#ifndef PEERS_PLATFORM_PLATFORM_MESSAGES_H_
#define PEERS_PLATFORM_PLATFORM_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "servers/ledger/table.h"
#include "servers/model/worker.h"

namespace boragecroft {

struct ReadRow {
  std::string key;
};

// Asks for the list. A platform may leave out the workers of other availability
// zones than `workers_zone`, and answers that nothing changed when `known_tag`
// still holds.
struct ListInstances {
  std::string workers_zone;
  std::string known_tag;  // of the list that is known; empty: none
};

// The list with `known_tag` is the list of now.
struct ListUnchanged {};

// One call; `token` comes back with its outcome.
struct PlatformCommand {
  uint64_t token = 0;
  std::variant<TableTransaction, ReadRow, TableScan, ListInstances> call;
};

// Why a read, scan or list has no result. A transaction always ends in a
// TableOutcome.
enum class PlatformError : uint8_t {
  kUnavailable,  // refused or out of reach
  kUnknown,      // no answer, or one that breaks the interface
};

struct ScannedRows {
  std::vector<TableRow> rows;
};

struct PlatformOutcome {
  uint64_t token = 0;
  std::variant<PlatformError,
               TableOutcome,
               TableRow,
               ScannedRows,
               InstanceList,
               ListUnchanged>
      result;
};

}  // namespace boragecroft

#endif  // PEERS_PLATFORM_PLATFORM_MESSAGES_H_
