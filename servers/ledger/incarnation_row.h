// The row of one incarnation. Every ledger transaction of its owner checks this
// row's version, so closing the row ends the ledger for good.
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
  Incarnation incarnation;  // from the key
  std::string instance;
  std::string zone;
  std::string address;
  WallTime started;
  bool closed = false;
  std::optional<Incarnation> closed_by;
  // The owner closed it itself, after every job that it took had its final
  // entry. Jobs without any entry were then never accepted.
  bool clean = false;
  // The incarnation to which the owner handed its unused ids.
  std::optional<Incarnation> successor;
  // These ids. Empty when a version that did not list them closed the row.
  std::optional<UnusedIds> unused;
  std::string operation_id;  // of the transaction that wrote the row last
  std::string unknown_members;

  auto operator==(const IncarnationRow&) const -> bool = default;
};

// Reads a row; an absent one (version 0) has no value to read.
auto ParseIncarnationRow(const TableRow& row)
    -> Result<IncarnationRow, std::vector<FieldError>>;
auto ToJsonText(const IncarnationRow& row) -> std::string;

// The owner's first write: the row must be absent.
auto OpenTransaction(const IncarnationRow& row) -> TableTransaction;

// Who closes an incarnation, and how.
struct Closing {
  Incarnation closed_by;
  bool clean = false;
  std::optional<Incarnation> successor;
  std::optional<UnusedIds> unused;
  std::string operation_id;  // unique for each call of CloseTransaction
};

// Closes the incarnation on condition that its row is still as read: `row` is
// what the caller read, also when absent. Empty when it is closed already or
// when its text cannot be read.
auto CloseTransaction(Incarnation incarnation,
                      const TableRow& row,
                      const Closing& closing)
    -> std::optional<TableTransaction>;

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_INCARNATION_ROW_H_
