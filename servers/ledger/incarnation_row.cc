#include "servers/ledger/incarnation_row.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <limits>
#include <utility>

#include "servers/ledger/keys.h"
#include "servers/ledger/unknown_members.h"

namespace boragecroft {
namespace {

constexpr Range kSchemas{1, 1};
constexpr Range kAnyTime{0, (int64_t{1} << 48U) - 1};
constexpr Range kAnySequence{0, std::numeric_limits<int64_t>::max()};
constexpr std::string_view kKeyStart = "incarnation/";

auto ReadIncarnation(ObjectReader& reader, std::string_view key)
    -> std::optional<Incarnation> {
  const auto text = reader.TextOr(key, "");
  if (text.empty()) {
    return std::nullopt;
  }
  const auto incarnation = ParseIncarnation(text);
  if (!incarnation) {
    reader.Fail(key, "\"" + text + "\"", "an incarnation");
  }
  return incarnation;
}

auto ReadTime(ObjectReader& reader, std::string_view key) -> WallTime {
  return WallTime(milliseconds(reader.IntegerOr(key, kAnyTime, 0)));
}

auto ReadSequence(ObjectReader& reader, std::string_view key) -> uint64_t {
  return static_cast<uint64_t>(reader.Integer(key, kAnySequence));
}

auto ReadUnused(ObjectReader& reader) -> std::optional<UnusedIds> {
  const auto dropped_through = ReadTime(reader, "unused_dropped_through_ms");
  if (!reader.Has("unused")) {
    return std::nullopt;
  }
  UnusedIds out;
  out.dropped_through = dropped_through;
  reader.Each("unused", [&](ObjectReader& it) {
    UnusedRange range;
    range.partner = it.Text("partner");
    range.first = ReadSequence(it, "first");
    range.last = ReadSequence(it, "last");
    range.minted = ReadTime(it, "minted_ms");
    range.expires = ReadTime(it, "expires_ms");
    out.ranges.push_back(std::move(range));
  });
  return out;
}

auto ToJson(const UnusedIds& unused) -> json::array {
  json::array out;
  for (const auto& it : unused.ranges) {
    out.push_back({{"partner", it.partner},
                   {"first", it.first},
                   {"last", it.last},
                   {"minted_ms", it.minted.time_since_epoch().count()},
                   {"expires_ms", it.expires.time_since_epoch().count()}});
  }
  return out;
}

auto ReadRow(ObjectReader& reader) -> IncarnationRow {
  IncarnationRow out;
  out.schema_version =
      static_cast<int>(reader.Integer("schema_version", kSchemas));
  out.instance = reader.TextOr("instance", "");
  out.zone = reader.TextOr("zone", "");
  out.address = reader.TextOr("address", "");
  out.started = ReadTime(reader, "started_ms");
  out.closed = reader.Choice("state", {"open", "closed"}) == 1;
  out.closed_by = ReadIncarnation(reader, "closed_by");
  out.clean = reader.FlagOr("clean", false);
  out.successor = ReadIncarnation(reader, "successor");
  out.unused = ReadUnused(reader);
  out.operation_id = reader.Text("operation_id");
  out.unknown_members = UnknownMembersOf(reader);
  return out;
}

}  // namespace

auto ParseIncarnationRow(const TableRow& row)
    -> Result<IncarnationRow, std::vector<FieldError>> {
  std::vector<FieldError> errors;
  const auto incarnation =
      row.key.starts_with(kKeyStart)
          ? ParseIncarnation(std::string_view(row.key).substr(kKeyStart.size()))
          : std::nullopt;
  const auto parsed = ParseJson(row.value);
  if (!incarnation || !parsed) {
    return std::vector{
        FieldError{.field = row.key,
                   .found = parsed ? row.key : parsed.error().reason,
                   .allowed = "the JSON text of an incarnation"}};
  }
  ObjectReader reader(parsed.value(), "", errors);
  auto out = ReadRow(reader);
  out.incarnation = *incarnation;
  if (!errors.empty()) {
    return errors;
  }
  return out;
}

auto ToJsonText(const IncarnationRow& row) -> std::string {
  json::object object;
  object["schema_version"] = row.schema_version;
  object["instance"] = row.instance;
  object["zone"] = row.zone;
  object["address"] = row.address;
  object["started_ms"] = row.started.time_since_epoch().count();
  object["state"] = row.closed ? "closed" : "open";
  if (row.closed_by) {
    object["closed_by"] = ToString(*row.closed_by);
  }
  object["clean"] = row.clean;
  if (row.successor) {
    object["successor"] = ToString(*row.successor);
  }
  if (row.unused) {
    object["unused"] = ToJson(*row.unused);
    object["unused_dropped_through_ms"] =
        row.unused->dropped_through.time_since_epoch().count();
  }
  object["operation_id"] = row.operation_id;
  AddUnknownMembers(object, row.unknown_members);
  return ToJsonText(json::value(std::move(object)));
}

auto OpenTransaction(const IncarnationRow& row) -> TableTransaction {
  const auto key = IncarnationKey(row.incarnation);
  return TableTransaction{
      .operation_id = row.operation_id,
      .checks = {TableCheck{.key = key, .version = 0}},
      .puts = {TablePut{.key = key, .value = ToJsonText(row)}}};
}

auto CloseTransaction(Incarnation incarnation,
                      const TableRow& row,
                      const Closing& closing)
    -> std::optional<TableTransaction> {
  IncarnationRow closed{.incarnation = incarnation};
  if (row.version != 0) {
    auto parsed = ParseIncarnationRow(row);
    if (!parsed || parsed.value().closed) {
      return std::nullopt;
    }
    closed = std::move(parsed.value());
  }
  closed.closed = true;
  closed.closed_by = closing.closed_by;
  closed.clean = closing.clean;
  closed.successor = closing.successor;
  closed.unused = closing.unused;
  closed.operation_id = closing.operation_id;
  const auto key = IncarnationKey(incarnation);
  return TableTransaction{
      .operation_id = closing.operation_id,
      .checks = {TableCheck{.key = key, .version = row.version}},
      .puts = {TablePut{.key = key, .value = ToJsonText(closed)}}};
}

}  // namespace boragecroft
