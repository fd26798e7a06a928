// The platform's table row that holds the configuration: the document in an
// envelope with the operations that wrote the latest versions.
#ifndef SERVERS_CONFIGURATION_CONFIGURATION_ROW_H_
#define SERVERS_CONFIGURATION_CONFIGURATION_ROW_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/base/result.h"
#include "core/json/object_reader.h"

namespace boragecroft {

// A write that succeeded: the version it replaced and the operation's id.
struct ConfigurationOperation {
  int64_t base_version = 0;
  std::string operation_id;

  auto operator==(const ConfigurationOperation&) const -> bool = default;
};

// Operations that a row keeps: enough to settle a write whose answer was lost
// after that many other writes.
constexpr size_t kKeptOperations = 32;

struct ConfigurationRow {
  int64_t version = 0;  // the table's version of the row; 0: there is no row
  json::value document;
  std::vector<ConfigurationOperation> operations;  // oldest first
  json::object unknown;  // members of a newer writer, kept for a rewrite
};

// Reads the row's value as the table holds it.
auto ReadConfigurationRow(int64_t version, const json::value& value)
    -> Result<ConfigurationRow, std::vector<FieldError>>;
// The value to write: {"document", "operations": [{"base_version",
// "operation_id"}]}.
auto ToJson(const ConfigurationRow& row) -> json::value;
// The row that an operation writes over `base`; its version is the table's to
// choose.
auto ReplaceDocument(const ConfigurationRow& base,
                     std::string operation_id,
                     json::value document) -> ConfigurationRow;

// 64-bit FNV-1a of the document's text with members in order of their names, so
// that two processes agree however the text was written.
auto DigestOf(const json::value& document) -> uint64_t;

}  // namespace boragecroft

#endif  // SERVERS_CONFIGURATION_CONFIGURATION_ROW_H_
