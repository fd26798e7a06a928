#include "tests/standins/platform/table.h"

#include <boost/json/array.hpp>

#include "tests/standins/common/json_reply.h"

namespace boragecroft::standins {
namespace {

namespace json = boost::json;

auto VersionOf(const Table& table, const std::string& key) -> uint64_t {
  const auto it = table.rows.find(key);
  return it == table.rows.end() ? 0 : it->second.version;
}

auto ArrayMember(const json::object& transaction, std::string_view key)
    -> json::array {
  const auto* items = transaction.if_contains(key);
  return items != nullptr && items->is_array() ? items->get_array()
                                               : json::array();
}

auto FindConflicts(const Table& table, const json::object& transaction)
    -> json::array {
  json::array conflicts;
  for (const auto& it : ArrayMember(transaction, "checks")) {
    const auto& check = it.get_object();
    const auto key = TextOr(check, "key", "");
    const auto actual = VersionOf(table, key);
    if (actual != static_cast<uint64_t>(NumberOr(check, "version", 0))) {
      conflicts.push_back({{"key", key}, {"version", actual}});
    }
  }
  return conflicts;
}

}  // namespace

auto Transact(Table& table, const json::object& transaction) -> TransactAnswer {
  auto conflicts = FindConflicts(table, transaction);
  if (!conflicts.empty()) {
    json::object body;
    body["conflicts"] = std::move(conflicts);
    return TransactAnswer{.status = 409, .body = std::move(body)};
  }
  json::array versions;
  for (const auto& it : ArrayMember(transaction, "puts")) {
    const auto key = TextOr(it.get_object(), "key", "");
    auto& row = table.rows[key];
    ++row.version;
    row.value = TextOr(it.get_object(), "value", "");
    versions.emplace_back(row.version);
  }
  ++table.writes;
  json::object body;
  body["versions"] = std::move(versions);
  return TransactAnswer{.status = 200, .body = std::move(body)};
}

auto ReadRowJson(const std::map<std::string, Row>& rows, const std::string& key)
    -> json::object {
  const auto it = rows.find(key);
  const auto row = it == rows.end() ? Row() : it->second;
  json::object body;
  body["key"] = key;
  body["version"] = row.version;
  body["value"] = row.value;
  return body;
}

auto ScanJson(const Table& table,
              const std::string& prefix,
              const std::string& after,
              size_t limit) -> json::object {
  json::array rows;
  for (auto it = table.rows.upper_bound(std::max(prefix, after));
       it != table.rows.end() && rows.size() < limit; ++it) {
    if (!it->first.starts_with(prefix)) {
      break;
    }
    rows.push_back(ReadRowJson(table.rows, it->first));
  }
  json::object body;
  body["rows"] = std::move(rows);
  return body;
}

}  // namespace boragecroft::standins
