// What the ledger needs of the platform's transactional table: versioned rows
// and conditional transactions. The transport lives elsewhere.
#ifndef SERVERS_LEDGER_TABLE_H_
#define SERVERS_LEDGER_TABLE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace boragecroft {

// A row as read. Every put raises the version by one.
struct TableRow {
  std::string key;
  uint64_t version = 0;  // 0: the row is absent
  std::string value;
};

// A condition: the row has exactly this version; 0 means that it is absent.
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

// Applied whole when every check holds, else not at all.
struct TableTransaction {
  std::string operation_id;  // the same when a transaction is sent again
  std::vector<TableCheck> checks;
  std::vector<TablePut> puts;

  auto operator==(const TableTransaction&) const -> bool = default;
};

enum class TableOutcomeKind : uint8_t {
  kApplied,
  kConflict,     // certainly not applied by this attempt: a check failed
  kUnknown,      // no answer: applied, will be applied, or never
  kUnavailable,  // certainly not applied by this attempt
};

// What is known of one attempt at a transaction.
struct TableOutcome {
  std::string operation_id;
  TableOutcomeKind kind = TableOutcomeKind::kUnknown;
  // kApplied: the new versions of the rows put. kConflict: the actual versions
  // of the rows whose checks failed.
  std::vector<TableCheck> versions;
};

// Rows whose keys start with `prefix`, after `after`, ordered by key.
struct TableScan {
  std::string prefix;
  std::string after;  // exclusive
  uint32_t limit = 0;
};

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_TABLE_H_
