// Parses and writes the JSON text of ledger rows. A segment holds many entries.
// Addenda have the same format.
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
  std::string operation_id;  // of the transaction that wrote the segment
  std::vector<LedgerEntry> entries;
  std::string unknown_members;

  auto operator==(const LedgerSegment&) const -> bool = default;
};

// Parses a segment of any known version. Each error describes one faulty field.
auto ParseSegment(std::string_view text)
    -> Result<LedgerSegment, std::vector<FieldError>>;
// Returns the segment's text in the segment's own schema version.
auto ToJsonText(const LedgerSegment& segment) -> std::string;

auto EntryToJsonText(const LedgerEntry& entry, int schema_version)
    -> std::string;
// Returns the text of a segment of the current version, joined from the texts
// of its entries.
auto JoinSegment(std::string_view operation_id,
                 const std::vector<std::string>& entries) -> std::string;

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_SEGMENT_H_
