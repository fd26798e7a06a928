// The JSON text of ledger rows: a segment holds many entries. Addenda have the
// same form.
#ifndef SERVERS_LEDGER_SEGMENT_H_
#define SERVERS_LEDGER_SEGMENT_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/base/result.h"
#include "core/json/object_reader.h"
#include "servers/ledger/entries.h"

namespace boragecroft {

struct LedgerSegment {
  int schema_version = kLedgerSchema;
  std::string operation_id;  // of the transaction that wrote it
  std::vector<LedgerEntry> entries;
  std::string unknown_members;

  auto operator==(const LedgerSegment&) const -> bool = default;
};

// Reads a segment of any known version. Every error is a fault of one field.
auto ParseSegment(std::string_view text)
    -> Result<LedgerSegment, std::vector<FieldError>>;
// Writes the segment in its own version.
auto ToJsonText(const LedgerSegment& segment) -> std::string;

auto EntryToJsonText(const LedgerEntry& entry, int schema_version)
    -> std::string;
// A segment of the current version from the texts of its entries.
auto JoinSegment(std::string_view operation_id,
                 const std::vector<std::string>& entries) -> std::string;

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_SEGMENT_H_
