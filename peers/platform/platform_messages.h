// Defines the commands that the dispatcher sends to the platform and the
// outcomes that it receives. See docs/PLATFORM.md.
#ifndef PEERS_PLATFORM_PLATFORM_MESSAGES_H_
#define PEERS_PLATFORM_PLATFORM_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "servers/ledger/table.h"
#include "servers/model/worker.h"

namespace boragecroft {

// Reads one row of the table.
struct ReadRow {
  std::string key;
};

// Requests the list of instances and workers. The platform may omit the workers
// of availability zones other than `workers_zone`. It answers that nothing
// changed if `known_tag` is the tag of the current list.
struct ListInstances {
  std::string workers_zone;
  std::string known_tag;  // of the known list; empty if no list is known
};

// Reports that the list with `known_tag` is the current list.
struct ListUnchanged {};

// One call to the platform. Its outcome carries the same `token`.
struct PlatformCommand {
  uint64_t token = 0;
  std::variant<TableTransaction, ReadRow, TableScan, ListInstances> call;
};

// The reason why a read, scan or list has no result. A transaction always
// results in a TableOutcome.
enum class PlatformError : uint8_t {
  kUnavailable,  // the call was refused or the platform is unreachable
  kUnknown,      // no answer, or an answer that violates the interface
};

// The result of a TableScan.
struct ScannedRows {
  std::vector<TableRow> rows;
};

// The outcome of the PlatformCommand with the same token.
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
