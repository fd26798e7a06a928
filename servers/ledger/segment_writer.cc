#include "servers/ledger/segment.h"
#include "servers/ledger/unknown_members.h"
#include "servers/ledger/utf8.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <utility>

namespace boragecroft {
namespace {

auto AddTeam(json::object& object, const std::string& team, int schema_version)
    -> void {
  if (schema_version >= kTeamSchema) {
    object["team"] = team;
  }
}

auto MillisecondsOf(WallTime time) -> int64_t {
  return time.time_since_epoch().count();
}

auto ToArray(const TaskRuns& runs) -> json::array {
  json::array array;
  for (const auto& it : runs) {
    array.push_back(json::array{ToString(it.state), it.count});
  }
  return array;
}

auto ToArray(const SequenceRanges& ranges) -> json::array {
  json::array array;
  for (const auto& it : ranges) {
    array.push_back(json::array{static_cast<int64_t>(it.first),
                                static_cast<int64_t>(it.last)});
  }
  return array;
}

auto ToArray(const std::vector<std::string>& texts) -> json::array {
  json::array array;
  for (const auto& it : texts) {
    array.emplace_back(it);
  }
  return array;
}

auto AddDigest(json::object& object, uint64_t digest) -> void {
  if (digest != 0) {
    object["digest"] = ToString(Incarnation{digest});
  }
}

auto ToObject(const AcceptedEntry& entry, int schema_version) -> json::object {
  json::object object;
  object["type"] = "accepted";
  object["job"] = ToString(entry.job);
  object["partner"] = entry.partner;
  AddTeam(object, entry.team, schema_version);
  object["service"] = entry.service;
  object["kind"] = entry.kind;
  object["class"] = entry.urgency_class;
  object["tasks"] = entry.tasks;
  object["started_below"] = entry.started_below;
  object["accepted_ms"] = MillisecondsOf(entry.accepted);
  AddDigest(object, entry.digest);
  return object;
}

auto ToObject(const WatermarkEntry& entry, int /*schema_version*/)
    -> json::object {
  json::object object;
  object["type"] = "watermark";
  object["job"] = ToString(entry.job);
  object["started_below"] = entry.started_below;
  return object;
}

auto ToObject(const FinalEntry& entry, int schema_version) -> json::object {
  json::object object;
  object["type"] = "final";
  object["job"] = ToString(entry.job);
  object["partner"] = entry.partner;
  AddTeam(object, entry.team, schema_version);
  object["service"] = entry.service;
  object["class"] = entry.urgency_class;
  object["state"] = ToString(entry.state);
  object["tasks"] = ToArray(entry.tasks);
  if (!entry.reason.empty()) {
    object["reason"] = entry.reason;
  }
  if (!entry.results.empty()) {
    object["results"] = ToArray(entry.results);
  }
  if (entry.results_dropped) {
    object["results_dropped"] = true;
  }
  object["finished_ms"] = MillisecondsOf(entry.finished);
  AddDigest(object, entry.digest);
  return object;
}

auto ToObject(const RefusedEntry& entry, int /*schema_version*/)
    -> json::object {
  json::object object;
  object["type"] = "refused";
  object["incarnation"] = ToString(entry.incarnation);
  object["partner"] = entry.partner;
  object["reason"] = ToString(entry.reason);
  object["ranges"] = ToArray(entry.ranges);
  if (entry.unidentified != 0) {
    object["unidentified"] = entry.unidentified;
  }
  return object;
}

struct EntryWriter {
  int schema_version = kLedgerSchema;

  auto operator()(const UnknownEntry& entry) const -> std::string {
    return entry.text;
  }
  template <class Entry>
  auto operator()(const Entry& entry) const -> std::string {
    auto object = ToObject(entry, schema_version);
    AddUnknownMembers(object, entry.unknown_members);
    return ToValidUtf8(ToJsonText(json::value(std::move(object))));
  }
};

// Appends the entries to `head`, a JSON object without its closing brace.
auto Join(std::string head, const std::vector<std::string>& entries)
    -> std::string {
  head += ",\"entries\":[";
  for (size_t i = 0; i < entries.size(); ++i) {
    head += (i == 0 ? "" : ",") + entries[i];
  }
  return head + "]}";
}

auto HeadOf(int schema_version,
            std::string_view operation_id,
            const std::string& unknown_members) -> std::string {
  json::object object;
  object["schema_version"] = schema_version;
  object["operation_id"] = operation_id;
  AddUnknownMembers(object, unknown_members);
  auto text = ToJsonText(json::value(std::move(object)));
  text.pop_back();
  return text;
}

}  // namespace

auto EntryToJsonText(const LedgerEntry& entry, int schema_version)
    -> std::string {
  return std::visit(EntryWriter{schema_version}, entry);
}

auto ToJsonText(const LedgerSegment& segment) -> std::string {
  std::vector<std::string> entries;
  for (const auto& it : segment.entries) {
    entries.push_back(EntryToJsonText(it, segment.schema_version));
  }
  return Join(HeadOf(segment.schema_version, segment.operation_id,
                     segment.unknown_members),
              entries);
}

auto JoinSegment(std::string_view operation_id,
                 const std::vector<std::string>& entries) -> std::string {
  return Join(HeadOf(kLedgerSchema, operation_id, ""), entries);
}

}  // namespace boragecroft
