// The operations that the ledger needs from the platform's transactional table:
// versioned rows and conditional transactions (compare-and-swap). The transport
// is implemented elsewhere.
#ifndef SERVERS_LEDGER_TABLE_H_
#define SERVERS_LEDGER_TABLE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace boragecroft {

// A row as it was read. Every put raises its version by one.
struct TableRow {
  std::string key;
  uint64_t version = 0;  // 0 means that the row is absent
  std::string value;
};

// A condition that the row has exactly this version; 0 means that it is absent.
struct TableCheck {
  std::string key;
  uint64_t version = 0;

  auto operator==(const TableCheck&) const -> bool = default;
};

struct TablePut {
  std::string key;
  std::string value;

  auto operator==(const TablePut&) const -> bool = default;
};

// A transaction that is applied completely when every check holds and otherwise
// not at all.
struct TableTransaction {
  std::string operation_id;  // the same for each retry of a transaction
  std::vector<TableCheck> checks;
  std::vector<TablePut> puts;

  auto operator==(const TableTransaction&) const -> bool = default;
};

enum class TableOutcomeKind : uint8_t {
  kApplied,
  kConflict,  // certainly not applied by this attempt: a check failed
  // No answer: it was applied, will be applied later, or never will be.
  kUnknown,
  kUnavailable,  // certainly not applied by this attempt
};

// What is known about one attempt to apply a transaction.
struct TableOutcome {
  std::string operation_id;
  TableOutcomeKind kind = TableOutcomeKind::kUnknown;
  // For kApplied, the new versions of the rows that were put. For kConflict,
  // the actual versions of the rows whose checks failed.
  std::vector<TableCheck> versions;
};

// A read of the rows whose keys start with `prefix` and are greater than
// `after`, ordered by key.
struct TableScan {
  std::string prefix;
  std::string after;  // exclusive
  uint32_t limit = 0;
};

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_TABLE_H_
