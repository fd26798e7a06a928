// Reads and writes the platform's table row that holds the configuration: the
// document in an envelope with the operations that wrote its latest versions.
#ifndef SERVERS_CONFIGURATION_CONFIGURATION_ROW_H_
#define SERVERS_CONFIGURATION_CONFIGURATION_ROW_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/base/result.h"
#include "core/json/object_reader.h"

namespace boragecroft {

// A write that succeeded: the version that it replaced and the id of the
// operation.
struct ConfigurationOperation {
  int64_t base_version = 0;
  std::string operation_id;

  auto operator==(const ConfigurationOperation&) const -> bool = default;
};

// The number of operations that a row keeps. A write whose answer was lost can
// be settled as long as no more than this many other writes followed it.
constexpr size_t kKeptOperations = 32;

struct ConfigurationRow {
  // The table's version of the row; 0 means that there is no row.
  int64_t version = 0;
  json::value document;
  std::vector<ConfigurationOperation> operations;  // oldest first
  // Members that a newer writer added, kept when rewriting.
  json::object unknown;
};

// Reads the row's value as the table holds it.
auto ReadConfigurationRow(int64_t version, const json::value& value)
    -> Result<ConfigurationRow, std::vector<FieldError>>;
// Returns the value to write: {"document", "operations": [{"base_version",
// "operation_id"}]}.
auto ToJson(const ConfigurationRow& row) -> json::value;
// Returns the row that an operation writes over `base`. The table assigns its
// version.
auto ReplaceDocument(const ConfigurationRow& base,
                     std::string operation_id,
                     json::value document) -> ConfigurationRow;

// Returns the 64-bit FNV-1a hash of the document's text with members ordered by
// name, so that two processes get the same digest however the text was written.
auto DigestOf(const json::value& document) -> uint64_t;

}  // namespace boragecroft

#endif  // SERVERS_CONFIGURATION_CONFIGURATION_ROW_H_
