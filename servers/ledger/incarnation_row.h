// The table row of one incarnation. Every ledger transaction of the owner
// checks the version of this row, so closing the row ends the ledger
// permanently.
#ifndef SERVERS_LEDGER_INCARNATION_ROW_H_
#define SERVERS_LEDGER_INCARNATION_ROW_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "core/base/result.h"
#include "core/json/object_reader.h"
#include "servers/identity/unused_ids.h"
#include "servers/ledger/table.h"

namespace boragecroft {

struct IncarnationRow {
  int schema_version = 1;
  Incarnation incarnation;  // parsed from the row's key
  std::string instance;
  std::string zone;
  std::string address;
  WallTime started;
  bool closed = false;
  std::optional<Incarnation> closed_by;
  // True when the owner itself closed the row after every job that it accepted
  // had its final entry. A job without any entry was then never accepted.
  bool clean = false;
  // The incarnation to which the owner handed its unused ids.
  std::optional<Incarnation> successor;
  // The unused ids that were handed over. Empty when the row was closed by a
  // version that did not list them.
  std::optional<UnusedIds> unused;
  std::string operation_id;  // of the last transaction that wrote the row
  std::string unknown_members;

  auto operator==(const IncarnationRow&) const -> bool = default;
};

// Parses a row. An absent row (version 0) has no value and is an error.
auto ParseIncarnationRow(const TableRow& row)
    -> Result<IncarnationRow, std::vector<FieldError>>;
auto ToJsonText(const IncarnationRow& row) -> std::string;

// Returns the owner's first write, on condition that the row is absent.
auto OpenTransaction(const IncarnationRow& row) -> TableTransaction;

// How an incarnation is closed, and by which incarnation.
struct Closing {
  Incarnation closed_by;
  bool clean = false;
  std::optional<Incarnation> successor;
  std::optional<UnusedIds> unused;
  std::string operation_id;  // unique for each call of CloseTransaction
};

// Returns the transaction that closes the incarnation on condition that its row
// is unchanged since it was read. `row` is the row as the caller read it, also
// when it was absent. Returns empty when the row is closed already or its text
// can't be parsed.
auto CloseTransaction(Incarnation incarnation,
                      const TableRow& row,
                      const Closing& closing)
    -> std::optional<TableTransaction>;

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_INCARNATION_ROW_H_
