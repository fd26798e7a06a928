#include "peers/platform/platform_codec.h"

#include <boost/json/serialize.hpp>
#include <utility>

#include "core/json/object_reader.h"

namespace boragecroft {
namespace {

constexpr Range kVersionRange{.low = 0, .high = INT64_MAX};
// A longer tag is dropped, and the next list is then requested in full.
constexpr size_t kMaxTagBytes = 128;
constexpr Range kCountRange{.low = 0, .high = UINT32_MAX};

auto MakeGetRequest(std::string target) -> HttpRequest {
  HttpRequest request;
  request.method = "GET";
  request.target = std::move(target);
  return request;
}

auto Encode(const TableTransaction& transaction) -> HttpRequest {
  json::array checks;
  for (const auto& it : transaction.checks) {
    checks.push_back({{"key", it.key}, {"version", it.version}});
  }
  json::array puts;
  for (const auto& it : transaction.puts) {
    puts.push_back({{"key", it.key}, {"value", it.value}});
  }
  json::object body;
  body["operation_id"] = transaction.operation_id;
  body["checks"] = std::move(checks);
  body["puts"] = std::move(puts);
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/table/transact";
  request.body = json::serialize(body);
  return request;
}

auto Encode(const ReadRow& read) -> HttpRequest {
  return MakeGetRequest("/v1/table/rows?key=" + read.key);
}

auto Encode(const TableScan& scan) -> HttpRequest {
  return MakeGetRequest("/v1/table/scan?prefix=" + scan.prefix + "&after=" +
                        scan.after + "&limit=" + std::to_string(scan.limit));
}

auto Encode(const ListInstances& call) -> HttpRequest {
  auto request =
      MakeGetRequest("/v1/instances?workers_zone=" + call.workers_zone);
  if (!call.known_tag.empty()) {
    request.headers.push_back(
        HttpHeader{.name = "If-None-Match", .value = call.known_tag});
  }
  return request;
}

auto DecodeRow(ObjectReader& reader) -> TableRow {
  TableRow row;
  row.key = reader.Text("key");
  row.version = static_cast<uint64_t>(reader.Integer("version", kVersionRange));
  row.value = reader.Text("value");
  return row;
}

auto DecodeAddress(ObjectReader& reader) -> Address {
  const auto text = reader.Text("address");
  const auto address = ParseAddress(text);
  if (!address) {
    reader.Fail("address", text, "an IP address and a port");
    return {};
  }
  return *address;
}

auto DecodeWorker(ObjectReader& reader) -> PlatformWorker {
  PlatformWorker worker;
  worker.name = reader.Text("name");
  worker.zone = reader.Text("zone");
  worker.service = reader.Text("service");
  worker.address = DecodeAddress(reader);
  worker.slots =
      static_cast<uint32_t>(reader.IntegerOr("slots", kCountRange, 0));
  worker.capacity.cpu_millis =
      static_cast<uint32_t>(reader.IntegerOr("cpu_millis", kCountRange, 0));
  worker.capacity.memory_mb =
      static_cast<uint32_t>(reader.IntegerOr("memory_mb", kCountRange, 0));
  worker.capacity.accelerators =
      static_cast<uint32_t>(reader.IntegerOr("accelerators", kCountRange, 0));
  worker.incarnation = reader.TextOr("incarnation", "");
  worker.leaving = reader.Choice("state", {"live", "leaving"}) == 1;
  return worker;
}

auto DecodeInstance(ObjectReader& reader) -> PlatformInstance {
  PlatformInstance instance;
  instance.name = reader.Text("name");
  instance.zone = reader.Text("zone");
  instance.address = DecodeAddress(reader);
  instance.leaving = reader.Choice("state", {"live", "leaving"}) == 1;
  return instance;
}

auto DecodeList(ObjectReader& reader) -> InstanceList {
  InstanceList list;
  if (reader.Has("as_of_ms")) {
    list.as_of =
        WallTime(milliseconds(reader.Integer("as_of_ms", kVersionRange)));
  }
  reader.Each("instances", [&](ObjectReader& it) {
    if (it.Choice("kind", {"entry", "worker"}) == 1) {
      list.workers.push_back(DecodeWorker(it));
    } else {
      list.instances.push_back(DecodeInstance(it));
    }
  });
  return list;
}

auto DecodeApplied(ObjectReader& reader, const TableTransaction& transaction)
    -> TableOutcome {
  TableOutcome outcome;
  outcome.kind = TableOutcomeKind::kApplied;
  const auto* versions = reader.Raw("versions");
  if (versions == nullptr || !versions->is_array() ||
      versions->get_array().size() != transaction.puts.size()) {
    reader.Fail("versions", "something else", "a version for each put");
    return outcome;
  }
  for (size_t i = 0; i < transaction.puts.size(); ++i) {
    json::error_code ec;
    const auto version = versions->get_array()[i].to_number<uint64_t>(ec);
    if (ec) {
      reader.Fail("versions", "something else", "whole numbers");
    }
    outcome.versions.push_back(
        TableCheck{.key = transaction.puts[i].key, .version = version});
  }
  return outcome;
}

auto DecodeConflict(ObjectReader& reader) -> TableOutcome {
  TableOutcome outcome;
  outcome.kind = TableOutcomeKind::kConflict;
  reader.Each("conflicts", [&](ObjectReader& it) {
    outcome.versions.push_back(TableCheck{
        .key = it.Text("key"),
        .version =
            static_cast<uint64_t>(it.Integer("version", kVersionRange))});
  });
  return outcome;
}

auto DecodeScan(ObjectReader& reader) -> ScannedRows {
  ScannedRows rows;
  reader.Each("rows",
              [&](ObjectReader& it) { rows.rows.push_back(DecodeRow(it)); });
  return rows;
}

auto DecodeReadResult(const PlatformCommand& command, ObjectReader& reader)
    -> decltype(PlatformOutcome::result) {
  if (std::holds_alternative<ReadRow>(command.call)) {
    return DecodeRow(reader);
  }
  if (std::holds_alternative<TableScan>(command.call)) {
    return DecodeScan(reader);
  }
  return DecodeList(reader);
}

auto TransactionOutcome(const TableTransaction& transaction,
                        const Result<HttpResponse, HttpError>& answer)
    -> TableOutcome {
  TableOutcome outcome;
  if (answer.has_error()) {
    const auto sent = answer.error().request_sent;
    outcome.kind =
        sent ? TableOutcomeKind::kUnknown : TableOutcomeKind::kUnavailable;
    return outcome;
  }
  const auto status = answer.value().status;
  if (status == 503) {
    outcome.kind = TableOutcomeKind::kUnavailable;
    return outcome;
  }
  const auto body = ParseJson(answer.value().body);
  if ((status != 200 && status != 409) || body.has_error()) {
    return outcome;
  }
  std::vector<FieldError> errors;
  ObjectReader reader(body.value(), "", errors);
  auto decoded = status == 409 ? DecodeConflict(reader)
                               : DecodeApplied(reader, transaction);
  return errors.empty() ? decoded : outcome;
}

auto ReadTag(const HttpResponse& response) -> std::string {
  const auto tag = FindHeader(response.headers, "ETag");
  return tag.size() <= kMaxTagBytes ? std::string(tag) : std::string();
}

auto ReadOutcome(const PlatformCommand& command,
                 const Result<HttpResponse, HttpError>& answer)
    -> decltype(PlatformOutcome::result) {
  if (answer.has_error()) {
    return answer.error().request_sent ? PlatformError::kUnknown
                                       : PlatformError::kUnavailable;
  }
  if (answer.value().status == 503) {
    return PlatformError::kUnavailable;
  }
  const auto* list = std::get_if<ListInstances>(&command.call);
  if (answer.value().status == 304 && list != nullptr &&
      !list->known_tag.empty()) {
    return ListUnchanged{};
  }
  const auto body = ParseJson(answer.value().body);
  if (answer.value().status != 200 || body.has_error()) {
    return PlatformError::kUnknown;
  }
  std::vector<FieldError> errors;
  ObjectReader reader(body.value(), "", errors);
  auto result = DecodeReadResult(command, reader);
  if (auto* read = std::get_if<InstanceList>(&result)) {
    read->tag = ReadTag(answer.value());
  }
  return errors.empty() ? result : PlatformError::kUnknown;
}

}  // namespace

auto EncodePlatformCall(const PlatformCommand& command) -> HttpRequest {
  return std::visit([](const auto& it) { return Encode(it); }, command.call);
}

auto DecodePlatformAnswer(const PlatformCommand& command,
                          const Result<HttpResponse, HttpError>& answer)
    -> PlatformOutcome {
  PlatformOutcome outcome;
  outcome.token = command.token;
  if (const auto* transaction = std::get_if<TableTransaction>(&command.call)) {
    auto result = TransactionOutcome(*transaction, answer);
    result.operation_id = transaction->operation_id;
    outcome.result = std::move(result);
    return outcome;
  }
  outcome.result = ReadOutcome(command, answer);
  return outcome;
}

}  // namespace boragecroft
