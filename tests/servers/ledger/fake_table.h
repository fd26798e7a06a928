// Implements the platform's table in memory, with the ways in which it fails.
#ifndef TESTS_SERVERS_LEDGER_FAKE_TABLE_H_
#define TESTS_SERVERS_LEDGER_FAKE_TABLE_H_

#include <map>
#include <string>
#include <vector>

#include "servers/ledger/segment.h"
#include "servers/ledger/table.h"

namespace boragecroft {

enum class Delivery : uint8_t {
  kAnswered,    // decided immediately, and the answer arrives
  kAnswerLost,  // decided immediately, but no answer arrives
  kLate,        // no answer; decided when Release is called
  kLost,        // no answer; never decided
  kRefused,     // certainly not applied
};

struct FakeTable {
  std::map<std::string, TableRow> rows;
  std::vector<TableTransaction> late;
};

auto Decide(FakeTable& table, const TableTransaction& transaction)
    -> TableOutcome;
auto Send(FakeTable& table,
          const TableTransaction& transaction,
          Delivery delivery) -> TableOutcome;
// Decides one of the late transactions.
auto Release(FakeTable& table, size_t index) -> void;
auto Read(const FakeTable& table, const std::string& key) -> TableRow;
auto Scan(const FakeTable& table, const TableScan& scan)
    -> std::vector<TableRow>;
// Returns every segment or addendum whose key starts with `prefix`, in the
// order of keys.
auto SegmentsBelow(const FakeTable& table, const std::string& prefix)
    -> std::vector<LedgerSegment>;

}  // namespace boragecroft

#endif  // TESTS_SERVERS_LEDGER_FAKE_TABLE_H_
