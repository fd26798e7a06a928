#include "servers/ledger/segment.h"
#include "servers/ledger/unknown_members.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <optional>
#include <utility>

namespace boragecroft {
namespace {

constexpr Range kAnyTime{0, (int64_t{1} << 48U) - 1};
constexpr Range kAnyCount{0, UINT32_MAX};
constexpr Range kAnySequence{0, INT64_MAX};

auto ReadJobId(ObjectReader& reader) -> JobId {
  const auto text = reader.Text("job");
  const auto id = ParseJobId(text);
  if (!id) {
    reader.Fail("job", "\"" + text + "\"", "a job id");
    return {};
  }
  return *id;
}

auto ReadCount(ObjectReader& reader, std::string_view key) -> uint32_t {
  return static_cast<uint32_t>(reader.Integer(key, kAnyCount));
}

auto ReadTime(ObjectReader& reader, std::string_view key) -> WallTime {
  return WallTime(milliseconds(reader.Integer(key, kAnyTime)));
}

auto ReadTeam(ObjectReader& reader, int schema_version) -> std::string {
  return schema_version < kTeamSchema ? std::string() : reader.Text("team");
}

auto ReadArray(ObjectReader& reader, std::string_view key) -> json::array {
  const auto* value = reader.Raw(key);
  if (value == nullptr || !value->is_array()) {
    reader.Fail(key, value == nullptr ? "nothing" : ToJsonText(*value),
                "an array");
    return {};
  }
  return value->get_array();
}

// Parses one element of "tasks": [state, count].
auto ReadRun(const json::value& value) -> std::optional<TaskRun> {
  const auto* pair = value.if_array();
  if (pair == nullptr || pair->size() != 2 || !(*pair)[0].is_string() ||
      !(*pair)[1].is_int64()) {
    return std::nullopt;
  }
  const auto state = ParseTaskState((*pair)[0].get_string());
  const auto count = (*pair)[1].get_int64();
  if (!state || count < 0 || count > kAnyCount.high) {
    return std::nullopt;
  }
  return TaskRun{.state = *state, .count = static_cast<uint32_t>(count)};
}

auto ReadRuns(ObjectReader& reader) -> TaskRuns {
  TaskRuns runs;
  for (const auto& it : ReadArray(reader, "tasks")) {
    const auto run = ReadRun(it);
    if (!run) {
      reader.Fail("tasks", ToJsonText(it), "a pair of task state and count");
      return runs;
    }
    runs.push_back(*run);
  }
  return runs;
}

auto ReadResults(ObjectReader& reader) -> std::vector<std::string> {
  std::vector<std::string> results;
  if (!reader.Has("results")) {
    return results;
  }
  for (const auto& it : ReadArray(reader, "results")) {
    if (!it.is_string()) {
      reader.Fail("results", ToJsonText(it), "a string");
      return results;
    }
    results.emplace_back(it.get_string());
  }
  return results;
}

// Parses one element of "ranges": [first, last].
auto ReadRange(const json::value& value) -> std::optional<SequenceRange> {
  const auto* pair = value.if_array();
  if (pair == nullptr || pair->size() != 2 || !(*pair)[0].is_int64() ||
      !(*pair)[1].is_int64()) {
    return std::nullopt;
  }
  const auto first = (*pair)[0].get_int64();
  const auto last = (*pair)[1].get_int64();
  if (first < 0 || last < first) {
    return std::nullopt;
  }
  return SequenceRange{static_cast<uint64_t>(first),
                       static_cast<uint64_t>(last)};
}

auto ReadRanges(ObjectReader& reader) -> SequenceRanges {
  SequenceRanges ranges;
  for (const auto& it : ReadArray(reader, "ranges")) {
    const auto range = ReadRange(it);
    if (!range) {
      reader.Fail("ranges", ToJsonText(it), "a pair of first and last");
      return ranges;
    }
    Insert(ranges, *range);
  }
  return ranges;
}

// Reads a digest of 16 hexadecimal digits; 0 when it is absent or malformed.
auto ReadDigest(ObjectReader& reader) -> uint64_t {
  return ParseIncarnation(reader.TextOr("digest", ""))
      .value_or(Incarnation{})
      .value;
}

auto ReadAccepted(ObjectReader& reader, int schema_version) -> AcceptedEntry {
  AcceptedEntry entry;
  entry.job = ReadJobId(reader);
  entry.partner = reader.Text("partner");
  entry.team = ReadTeam(reader, schema_version);
  entry.service = reader.Text("service");
  entry.kind = reader.Text("kind");
  entry.urgency_class = reader.Text("class");
  entry.tasks = ReadCount(reader, "tasks");
  entry.started_below = ReadCount(reader, "started_below");
  entry.accepted = ReadTime(reader, "accepted_ms");
  entry.digest = ReadDigest(reader);
  entry.unknown_members = UnknownMembersOf(reader);
  return entry;
}

auto ReadWatermark(ObjectReader& reader) -> WatermarkEntry {
  WatermarkEntry entry;
  entry.job = ReadJobId(reader);
  entry.started_below = ReadCount(reader, "started_below");
  entry.unknown_members = UnknownMembersOf(reader);
  return entry;
}

auto ReadFinal(ObjectReader& reader, int schema_version) -> FinalEntry {
  FinalEntry entry;
  entry.job = ReadJobId(reader);
  entry.partner = reader.Text("partner");
  entry.team = ReadTeam(reader, schema_version);
  entry.service = reader.Text("service");
  entry.urgency_class = reader.Text("class");
  entry.state = reader.Choice("state", {"done", "failed"}) == 0
                    ? JobState::kDone
                    : JobState::kFailed;
  entry.tasks = ReadRuns(reader);
  entry.reason = reader.TextOr("reason", "");
  entry.results = ReadResults(reader);
  entry.results_dropped = reader.FlagOr("results_dropped", false);
  entry.finished = ReadTime(reader, "finished_ms");
  entry.digest = ReadDigest(reader);
  entry.unknown_members = UnknownMembersOf(reader);
  return entry;
}

auto ReadIncarnation(ObjectReader& reader) -> Incarnation {
  const auto text = reader.Text("incarnation");
  const auto incarnation = ParseIncarnation(text);
  if (!incarnation) {
    reader.Fail("incarnation", "\"" + text + "\"", "an incarnation");
  }
  return incarnation.value_or(Incarnation{});
}

auto ReadRefused(ObjectReader& reader) -> RefusedEntry {
  RefusedEntry entry;
  entry.incarnation = ReadIncarnation(reader);
  entry.partner = reader.Text("partner");
  const auto text = reader.Text("reason");
  const auto reason = ParseRefusal(text);
  if (!reason) {
    reader.Fail("reason", "\"" + text + "\"", "a refusal");
  }
  entry.reason = reason.value_or(Refusal::kInvalid);
  entry.ranges = ReadRanges(reader);
  entry.unidentified =
      static_cast<uint64_t>(reader.IntegerOr("unidentified", kAnySequence, 0));
  entry.unknown_members = UnknownMembersOf(reader);
  return entry;
}

auto ReadEntry(const json::value& value,
               const std::string& path,
               int schema_version,
               std::vector<FieldError>& errors) -> LedgerEntry {
  ObjectReader reader(value, path, errors);
  const auto type = reader.Text("type");
  if (type == "accepted") {
    return ReadAccepted(reader, schema_version);
  }
  if (type == "watermark") {
    return ReadWatermark(reader);
  }
  if (type == "final") {
    return ReadFinal(reader, schema_version);
  }
  if (type == "refused") {
    return ReadRefused(reader);
  }
  return UnknownEntry{.text = ToJsonText(value)};
}

}  // namespace

auto ParseSegment(std::string_view text)
    -> Result<LedgerSegment, std::vector<FieldError>> {
  const auto parsed = ParseJson(text);
  if (!parsed) {
    return std::vector{FieldError{
        .field = "", .found = parsed.error().reason, .allowed = "JSON"}};
  }
  std::vector<FieldError> errors;
  ObjectReader reader(parsed.value(), "", errors);
  LedgerSegment segment;
  segment.schema_version = static_cast<int>(reader.Integer(
      "schema_version", Range{kOldestLedgerSchema, kLedgerSchema}));
  segment.operation_id = reader.Text("operation_id");
  const auto entries = ReadArray(reader, "entries");
  for (size_t i = 0; i < entries.size(); ++i) {
    segment.entries.push_back(ReadEntry(entries[i],
                                        "entries[" + std::to_string(i) + "]",
                                        segment.schema_version, errors));
  }
  segment.unknown_members = UnknownMembersOf(reader);
  if (!errors.empty()) {
    return errors;
  }
  return segment;
}

}  // namespace boragecroft
