#include "peers/handover/handover_codec.h"

#include <thrift/Thrift.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <exception>
#include <limits>
#include <utility>

#include "handover_types.h"

namespace boragecroft {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
namespace wire = handover_wire;

// Terms use up to kTokensPerTerm tokens each, so that a token beyond this can't
// be valid.
constexpr int64_t kMaxTermToken = std::numeric_limits<int64_t>::max() / 4096;

auto IsTermToken(int64_t token) -> bool {
  return token >= 0 && token <= kMaxTermToken;
}

auto IsWithin(int64_t amount, int64_t most) -> bool {
  return amount >= 0 && amount <= most;
}

// Reports whether the offer could have been accepted from a caller.
auto IsValid(const wire::WireOffer& in) -> bool {
  constexpr int32_t kMaxTasks = 1'000'000;
  constexpr int64_t kMaxTimeMs = 1'000'000'000;
  return IsWithin(in.count, kMaxTasks) && in.submission >= 0 &&
         in.max_attempts >= 0 && in.priority >= 0 &&
         IsWithin(in.cpu_millis, kMaxResources.cpu_millis) &&
         IsWithin(in.memory_mb, kMaxResources.memory_mb) &&
         IsWithin(in.accelerators, kMaxResources.accelerators) &&
         IsWithin(in.run_estimate_ms, kMaxTimeMs) &&
         IsWithin(in.target_ms, kMaxTimeMs) &&
         IsWithin(in.age_ms, kMaxTimeMs) && in.remaining_ms <= kMaxTimeMs &&
         in.remaining_ms >= -kMaxTimeMs && in.slack_factor >= 0 &&
         in.slack_factor <= 1e6;
}

auto ToWire(const InstanceRef& it) -> wire::WireInstance {
  wire::WireInstance out;
  out.name = it.name;
  out.zone = it.zone;
  out.address = ToString(it.address);
  out.incarnation = static_cast<int64_t>(it.incarnation.value);
  out.processor_millis = static_cast<int32_t>(it.processor_millis);
  return out;
}

auto FromWire(const wire::WireInstance& in) -> std::optional<InstanceRef> {
  const auto address = ParseAddress(in.address);
  if (!address) {
    return std::nullopt;
  }
  return InstanceRef{
      .name = in.name,
      .zone = in.zone,
      .address = *address,
      .incarnation = Incarnation{static_cast<uint64_t>(in.incarnation)},
      .processor_millis =
          static_cast<uint32_t>(std::max(0, in.processor_millis))};
}

auto ToWire(const GroupStatus& it) -> wire::WireGroupStatus {
  wire::WireGroupStatus out;
  out.group = it.group;
  out.token = static_cast<int64_t>(it.token);
  out.leaving = it.leaving;
  out.ready = it.ready;
  out.free_places = static_cast<int32_t>(it.load.free_slots);
  out.fast_places = static_cast<int32_t>(it.load.fast_slots);
  out.waiting = static_cast<int32_t>(it.load.waiting);
  out.jobs = static_cast<int32_t>(it.load.jobs);
  return out;
}

auto FromWire(const wire::WireGroupStatus& in) -> GroupStatus {
  GroupStatus out;
  out.group = in.group;
  out.token = static_cast<uint64_t>(in.token);
  out.leaving = in.leaving;
  out.ready = in.ready;
  out.load.free_slots = static_cast<uint32_t>(in.free_places);
  out.load.fast_slots = static_cast<uint32_t>(in.fast_places);
  out.load.waiting = static_cast<uint32_t>(in.waiting);
  out.load.jobs = static_cast<uint32_t>(in.jobs);
  return out;
}

auto ToWire(const Evacuation& it) -> wire::WireEvacuation {
  wire::WireEvacuation out;
  out.zone = it.zone;
  out.version = static_cast<int64_t>(it.version);
  out.active = it.active;
  return out;
}

auto FromWire(const wire::WireEvacuation& in) -> std::optional<Evacuation> {
  if (in.zone.empty() || in.version <= 0) {
    return std::nullopt;
  }
  return Evacuation{.zone = in.zone,
                    .version = static_cast<uint64_t>(in.version),
                    .active = in.active};
}

auto EncodeBody(const HelloMessage& it, wire::WireHandover& out) -> void {
  wire::WireHello hello;
  hello.sender = ToWire(it.sender);
  out.__set_hello(hello);
}

auto EncodeBody(const HeartbeatMessage& it, wire::WireHandover& out) -> void {
  wire::WireHeartbeat heartbeat;
  heartbeat.configuration_version =
      static_cast<int64_t>(it.configuration_version);
  for (const auto& group : it.groups) {
    heartbeat.groups.push_back(ToWire(group));
  }
  heartbeat.reply = it.reply;
  // Without evacuations the field is absent, and the message is as earlier
  // versions send it.
  if (!it.evacuations.empty()) {
    std::vector<wire::WireEvacuation> evacuations;
    for (const auto& record : it.evacuations) {
      evacuations.push_back(ToWire(record));
    }
    heartbeat.__set_evacuations(evacuations);
  }
  out.__set_heartbeat(heartbeat);
}

auto EncodeBody(const OfferMessage& it, wire::WireHandover& out) -> void {
  const auto& from = it.offer;
  wire::WireOffer offer;
  offer.job = static_cast<int64_t>(from.name.value);
  offer.spec = from.spec;
  offer.kind = from.kind;
  offer.service_name = from.service;
  offer.count = static_cast<int32_t>(from.count);
  offer.cpu_millis = from.needs.cpu_millis;
  offer.memory_mb = from.needs.memory_mb;
  offer.accelerators = from.needs.accelerators;
  offer.run_estimate_ms = from.run_estimate.count();
  offer.target_ms = from.target.count();
  offer.slack_factor = from.slack_factor;
  offer.max_attempts = static_cast<int32_t>(from.max_attempts);
  offer.age_ms = from.age.count();
  offer.remaining_ms = from.remaining.count();
  offer.submission = static_cast<int32_t>(from.submission);
  offer.may_run_elsewhere = from.may_run_elsewhere;
  offer.at_once = from.immediate_only;
  offer.priority = static_cast<int32_t>(from.priority);
  offer.group = it.group;
  out.__set_offer(offer);
}

auto EncodeBody(const CancelMessage& it, wire::WireHandover& out) -> void {
  wire::WireCancel cancel;
  cancel.job = static_cast<int64_t>(it.job.value);
  cancel.group = it.group;
  out.__set_cancel(cancel);
}

auto EncodeBody(const ResultMessage& it, wire::WireHandover& out) -> void {
  wire::WireResult result;
  result.job = static_cast<int64_t>(it.result.name.value);
  result.outcome = static_cast<int8_t>(it.result.outcome);
  result.retry_after_ms = it.result.retry_after.count();
  result.submission = static_cast<int32_t>(it.result.submission);
  result.status = ToWire(it.status);
  if (it.result.evacuated) {
    result.__set_evacuated(true);
  }
  out.__set_result(result);
}

auto EncodeBody(const RoutesRequest& it, wire::WireHandover& out) -> void {
  wire::WireConfigurationRequest request;
  request.known_version = static_cast<int64_t>(it.known_version);
  out.__set_configuration_request(request);
}

auto EncodeBody(const RoutesTransfer& it, wire::WireHandover& out) -> void {
  wire::WireConfiguration configuration;
  configuration.version = static_cast<int64_t>(it.version);
  configuration.document = it.document;
  out.__set_configuration(configuration);
}

auto EncodeBody(const SnapshotRequest& /*it*/, wire::WireHandover& out)
    -> void {
  out.__set_snapshot_request(wire::WireSnapshotRequest());
}

auto EncodeBody(const SnapshotTransfer& it, wire::WireHandover& out) -> void {
  wire::WireSnapshot snapshot;
  for (const auto& row : it.rows) {
    wire::WireRow wire_row;
    wire_row.table_name = row.table;
    wire_row.part = row.part;
    wire_row.key = row.key;
    wire_row.value = row.value;
    wire_row.version = static_cast<int64_t>(row.version);
    snapshot.rows.push_back(std::move(wire_row));
  }
  out.__set_snapshot(snapshot);
}

auto EncodeBody(const HolderAnnouncement& it, wire::WireHandover& out) -> void {
  wire::WireTenure announcement;
  announcement.group = it.group;
  announcement.token = static_cast<int64_t>(it.holder.token);
  announcement.holder = ToWire(it.holder.instance);
  out.__set_tenure(announcement);
}

auto EncodeBody(const CancelRequest& it, wire::WireHandover& out) -> void {
  wire::WireCancelRequest request;
  request.job = static_cast<int64_t>(it.job.value);
  request.number = static_cast<int64_t>(it.number);
  out.__set_cancel_request(request);
}

auto EncodeBody(const CancelReply& it, wire::WireHandover& out) -> void {
  wire::WireCancelReply reply;
  reply.number = static_cast<int64_t>(it.number);
  reply.found = it.found;
  out.__set_cancel_reply(reply);
}

auto DecodeHeartbeat(const wire::WireHeartbeat& in)
    -> std::optional<HandoverMessage> {
  HeartbeatMessage out;
  out.configuration_version = static_cast<uint64_t>(in.configuration_version);
  for (const auto& it : in.groups) {
    if (!IsTermToken(it.token)) {
      return std::nullopt;
    }
    out.groups.push_back(FromWire(it));
  }
  out.reply = in.reply;
  for (const auto& it : in.evacuations) {
    const auto record = FromWire(it);
    if (!record) {
      return std::nullopt;
    }
    out.evacuations.push_back(*record);
  }
  return out;
}

auto DecodeOffer(wire::WireOffer& in) -> std::optional<HandoverMessage> {
  if (!IsValid(in)) {
    return std::nullopt;
  }
  OfferMessage out;
  out.group = std::move(in.group);
  auto& offer = out.offer;
  offer.name = JobName{static_cast<uint64_t>(in.job)};
  offer.spec = std::move(in.spec);
  offer.kind = std::move(in.kind);
  offer.service = std::move(in.service_name);
  offer.count = static_cast<uint32_t>(in.count);
  offer.needs = Resources{.cpu_millis = in.cpu_millis,
                          .memory_mb = in.memory_mb,
                          .accelerators = in.accelerators};
  offer.run_estimate = milliseconds(in.run_estimate_ms);
  offer.target = milliseconds(in.target_ms);
  offer.slack_factor = in.slack_factor;
  offer.max_attempts = static_cast<uint32_t>(in.max_attempts);
  offer.age = milliseconds(in.age_ms);
  offer.remaining = milliseconds(in.remaining_ms);
  offer.submission = static_cast<uint32_t>(in.submission);
  offer.may_run_elsewhere = in.may_run_elsewhere;
  offer.immediate_only = in.at_once;
  offer.priority = static_cast<uint32_t>(in.priority);
  return out;
}

auto DecodeResult(const wire::WireResult& in)
    -> std::optional<HandoverMessage> {
  if (in.submission < 0 || in.outcome < 0 ||
      in.outcome > static_cast<int8_t>(JobOutcome::kCancelled)) {
    return std::nullopt;
  }
  ResultMessage out;
  out.result.name = JobName{static_cast<uint64_t>(in.job)};
  out.result.outcome = static_cast<JobOutcome>(in.outcome);
  out.result.retry_after = milliseconds(in.retry_after_ms);
  out.result.submission = static_cast<uint32_t>(in.submission);
  out.result.evacuated = in.__isset.evacuated && in.evacuated;
  out.status = FromWire(in.status);
  return out;
}

auto DecodeSnapshot(wire::WireSnapshot& in) -> HandoverMessage {
  SnapshotTransfer out;
  for (auto& it : in.rows) {
    out.rows.push_back(
        SnapshotRow{.table = std::move(it.table_name),
                    .part = std::move(it.part),
                    .key = std::move(it.key),
                    .value = std::move(it.value),
                    .version = static_cast<uint64_t>(it.version)});
  }
  return out;
}

auto DecodeHolderAnnouncement(const wire::WireTenure& in)
    -> std::optional<HandoverMessage> {
  auto holder = FromWire(in.holder);
  if (!holder || !IsTermToken(in.token)) {
    return std::nullopt;
  }
  return HolderAnnouncement{
      .group = in.group,
      .holder = Successor{.instance = std::move(*holder),
                          .token = static_cast<uint64_t>(in.token)}};
}

auto DecodeBody(wire::WireHandover& in) -> std::optional<HandoverMessage> {
  if (in.__isset.hello) {
    auto sender = FromWire(in.hello.sender);
    return sender ? std::optional<HandoverMessage>(HelloMessage{*sender})
                  : std::nullopt;
  }
  if (in.__isset.heartbeat) {
    return DecodeHeartbeat(in.heartbeat);
  }
  if (in.__isset.offer) {
    return DecodeOffer(in.offer);
  }
  if (in.__isset.cancel) {
    return CancelMessage{.group = in.cancel.group,
                         .job = JobName{static_cast<uint64_t>(in.cancel.job)}};
  }
  if (in.__isset.result) {
    return DecodeResult(in.result);
  }
  if (in.__isset.configuration_request) {
    return RoutesRequest{.known_version = static_cast<uint64_t>(
                             in.configuration_request.known_version)};
  }
  if (in.__isset.configuration) {
    return RoutesTransfer{
        .version = static_cast<uint64_t>(in.configuration.version),
        .document = std::move(in.configuration.document)};
  }
  if (in.__isset.snapshot_request) {
    return SnapshotRequest{};
  }
  if (in.__isset.snapshot) {
    return DecodeSnapshot(in.snapshot);
  }
  if (in.__isset.tenure) {
    return DecodeHolderAnnouncement(in.tenure);
  }
  if (in.__isset.cancel_request) {
    return CancelRequest{
        .job = JobName{static_cast<uint64_t>(in.cancel_request.job)},
        .number = static_cast<uint64_t>(in.cancel_request.number)};
  }
  if (in.__isset.cancel_reply) {
    return CancelReply{.number = static_cast<uint64_t>(in.cancel_reply.number),
                       .found = in.cancel_reply.found};
  }
  return std::nullopt;
}

}  // namespace

auto EncodeHandover(const HandoverMessage& message) -> std::string {
  wire::WireHandover out;
  std::visit([&](const auto& it) { EncodeBody(it, out); }, message);
  auto buf = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buf);
  out.write(&protocol);
  return buf->getBufferAsString();
}

auto DecodeHandover(std::string_view bytes) -> std::optional<HandoverMessage> {
  // The cast is safe because the buffer only reads the bytes. Thrift's
  // interface does not accept a pointer to const.
  auto* start = reinterpret_cast<uint8_t*>(const_cast<char*>(bytes.data()));
  auto buf = std::make_shared<TMemoryBuffer>(
      start, static_cast<uint32_t>(bytes.size()));
  TCompactProtocolT<TMemoryBuffer> protocol(buf);
  wire::WireHandover in;
  try {
    in.read(&protocol);
  } catch (const std::exception&) {
    // Besides Thrift's own errors: a length that the memory can't hold.
    return std::nullopt;
  }
  return DecodeBody(in);
}

}  // namespace boragecroft
