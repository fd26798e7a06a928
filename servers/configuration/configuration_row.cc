#include "servers/configuration/configuration_row.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace boragecroft {
namespace {

constexpr Range kVersions{.low = 0,
                          .high = std::numeric_limits<int64_t>::max()};
constexpr uint64_t kFnvOffset = 0xCBF29CE484222325ULL;
constexpr uint64_t kFnvPrime = 0x100000001B3ULL;

auto SortMembersByName(const json::value& value) -> json::value {
  if (const auto* object = value.if_object()) {
    std::vector<std::pair<std::string, json::value>> members;
    for (const auto& it : *object) {
      members.emplace_back(it.key(), SortMembersByName(it.value()));
    }
    std::sort(members.begin(), members.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    json::object out;
    for (auto& it : members) {
      out.emplace(it.first, std::move(it.second));
    }
    return out;
  }
  if (const auto* array = value.if_array()) {
    json::array out;
    for (const auto& it : *array) {
      out.push_back(SortMembersByName(it));
    }
    return out;
  }
  return value;
}

}  // namespace

auto ReadConfigurationRow(int64_t version, const json::value& value)
    -> Result<ConfigurationRow, std::vector<FieldError>> {
  std::vector<FieldError> errors;
  ObjectReader reader(value, "", errors);
  ConfigurationRow out;
  out.version = version;
  if (const auto* document = reader.Raw("document")) {
    out.document = *document;
  } else {
    reader.Fail("document", "nothing", "a declarations document");
  }
  reader.Each("operations", [&](ObjectReader& it) {
    out.operations.push_back(ConfigurationOperation{
        .base_version = it.Integer("base_version", kVersions),
        .operation_id = it.Text("operation_id")});
  });
  out.unknown = reader.Unknown();
  if (!errors.empty()) {
    return errors;
  }
  return out;
}

auto ToJson(const ConfigurationRow& row) -> json::value {
  json::array operations;
  for (const auto& it : row.operations) {
    operations.push_back(json::object{{"base_version", it.base_version},
                                      {"operation_id", it.operation_id}});
  }
  json::object out = row.unknown;
  out["document"] = row.document;
  out["operations"] = std::move(operations);
  return out;
}

auto ReplaceDocument(const ConfigurationRow& base,
                     std::string operation_id,
                     json::value document) -> ConfigurationRow {
  auto out = base;
  out.document = std::move(document);
  out.operations.push_back(ConfigurationOperation{
      .base_version = base.version, .operation_id = std::move(operation_id)});
  if (out.operations.size() > kKeptOperations) {
    out.operations.erase(out.operations.begin(),
                         out.operations.end() - kKeptOperations);
  }
  return out;
}

auto DigestOf(const json::value& document) -> uint64_t {
  auto hash = kFnvOffset;
  for (const auto c : ToJsonText(SortMembersByName(document))) {
    hash = (hash ^ static_cast<uint8_t>(c)) * kFnvPrime;
  }
  return hash;
}

}  // namespace boragecroft
