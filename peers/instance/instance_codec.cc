#include "peers/instance/instance_codec.h"

#include <thrift/Thrift.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <utility>

#include "boragecroft_types.h"

namespace boragecroft {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

// The values of the field `call` of WireRelayRequest.
enum WireCall : int8_t { kSubmitCall = 1, kFetchCall = 2, kCancelCall = 3 };
// The values of the field `outcome` of WireRelayReply.
enum WireOutcome : int8_t {
  kAnswerOutcome = 1,
  kRefusalOutcome = 2,
  kUndecidedOutcome = 3
};

auto ToWire(const Submission& it) -> wire::WireSubmission {
  wire::WireSubmission out;
  out.schema_version = it.schema_version;
  out.id = ToString(it.id);
  out.partner = it.partner;
  out.team = it.team;
  out.service_name = it.service;
  out.kind = it.kind;
  out.urgency_class = it.urgency_class;
  out.deadline_ms = it.deadline.count();
  out.run_time_hint_ms = it.run_time_hint.count();
  out.repeatable = it.repeatable;
  out.cpu_millis = static_cast<int32_t>(it.needs.cpu_millis);
  out.memory_mb = static_cast<int32_t>(it.needs.memory_mb);
  out.accelerators = static_cast<int32_t>(it.needs.accelerators);
  out.payloads = it.payloads;
  return out;
}

auto FromWire(wire::WireSubmission& in) -> std::optional<Submission> {
  const auto id = ParseJobId(in.id);
  if (!id) {
    return std::nullopt;
  }
  Submission out;
  out.schema_version = in.schema_version;
  out.id = *id;
  out.partner = std::move(in.partner);
  out.team = std::move(in.team);
  out.service = std::move(in.service_name);
  out.kind = std::move(in.kind);
  out.urgency_class = std::move(in.urgency_class);
  out.deadline = milliseconds(in.deadline_ms);
  out.run_time_hint = milliseconds(in.run_time_hint_ms);
  out.repeatable = in.repeatable;
  out.needs.cpu_millis = static_cast<uint32_t>(in.cpu_millis);
  out.needs.memory_mb = static_cast<uint32_t>(in.memory_mb);
  out.needs.accelerators = static_cast<uint32_t>(in.accelerators);
  out.payloads = std::move(in.payloads);
  return out;
}

auto ToWire(const CallerAnswer& it) -> wire::WireAnswer {
  wire::WireAnswer out;
  out.id = ToString(it.id);
  out.state = static_cast<int8_t>(it.state);
  out.recorded = it.recorded;
  out.reason = it.reason;
  out.partner = it.partner;
  out.tasks = static_cast<int64_t>(it.tasks.size());
  for (const auto state : it.tasks) {
    out.task_states.push_back(static_cast<char>(state));
  }
  out.results = it.results;
  return out;
}

auto FromWire(wire::WireAnswer& in) -> std::optional<CallerAnswer> {
  const auto id = ParseJobId(in.id);
  const auto state_known =
      in.state >= 0 && in.state <= static_cast<int8_t>(JobState::kRefused);
  if (!id || !state_known ||
      static_cast<size_t>(in.tasks) != in.task_states.size()) {
    return std::nullopt;
  }
  CallerAnswer out;
  out.id = *id;
  out.partner = std::move(in.partner);
  out.state = static_cast<JobState>(in.state);
  out.recorded = in.recorded;
  out.reason = std::move(in.reason);
  for (const auto it : in.task_states) {
    if (it < 0 || it > static_cast<char>(TaskState::kMayHaveRun)) {
      return std::nullopt;
    }
    out.tasks.push_back(static_cast<TaskState>(it));
  }
  out.results = std::move(in.results);
  // Rejects an incomplete answer: a done job has a result for each task.
  if (out.state == JobState::kDone && out.results.size() != out.tasks.size()) {
    return std::nullopt;
  }
  return out;
}

auto ToWireDemands(const std::vector<Demand>& demands)
    -> std::vector<wire::WireDemand> {
  std::vector<wire::WireDemand> out;
  out.reserve(demands.size());
  for (const auto& it : demands) {
    wire::WireDemand demand;
    demand.name = it.name;
    demand.tasks = static_cast<int32_t>(it.tasks);
    out.push_back(std::move(demand));
  }
  return out;
}

auto FromWireDemands(std::vector<wire::WireDemand>& demands)
    -> std::vector<Demand> {
  std::vector<Demand> out;
  out.reserve(demands.size());
  for (auto& it : demands) {
    out.push_back(Demand{.name = std::move(it.name),
                         .tasks = static_cast<uint32_t>(it.tasks)});
  }
  return out;
}

auto ToWire(const WorkerEjection& it) -> wire::WireVerdict {
  wire::WireVerdict out;
  out.worker = it.worker;
  out.incarnation = it.incarnation;
  out.service_name = it.service;
  out.kind = it.kind;
  out.sequence = static_cast<int64_t>(it.sequence);
  return out;
}

auto FromWire(wire::WireVerdict& in) -> WorkerEjection {
  return WorkerEjection{.worker = std::move(in.worker),
                        .incarnation = std::move(in.incarnation),
                        .service = std::move(in.service_name),
                        .kind = std::move(in.kind),
                        .sequence = static_cast<uint64_t>(in.sequence)};
}

auto EncodeBody(const Heartbeat& it, wire::WireMessage& message) -> void {
  wire::WireHeartbeat out;
  out.instance = it.instance;
  out.zone = it.zone;
  out.address = ToString(it.address);
  out.started_ms = it.started.time_since_epoch().count();
  out.sequence = static_cast<int64_t>(it.sequence);
  out.configuration_version = static_cast<int64_t>(it.configuration_version);
  out.leaving = it.leaving;
  out.stopped = it.stopped;
  out.service_demands = ToWireDemands(it.service_demands);
  out.teams_digest = static_cast<int32_t>(it.teams_digest);
  out.team_tasks.assign(it.team_tasks.begin(), it.team_tasks.end());
  out.team_demands = ToWireDemands(it.team_demands);
  out.echo_incarnation = static_cast<int64_t>(it.echo_incarnation.value);
  out.echo_sequence = static_cast<int64_t>(it.echo_sequence);
  out.roster_digest = static_cast<int64_t>(it.roster_digest);
  out.quota_claims = it.quota_claims;
  out.quota_leases = ToWireDemands(it.quota_leases);
  for (const auto& verdict : it.verdicts) {
    out.verdicts.push_back(ToWire(verdict));
  }
  message.__set_heartbeat(out);
}

auto EncodeCall(const SubmitRequest& it, wire::WireRelayRequest& out) -> void {
  out.call = kSubmitCall;
  out.wait_ms = it.wait.count();
  out.__set_submission(ToWire(*it.submission));
}

auto EncodeCall(const FetchRequest& it, wire::WireRelayRequest& out) -> void {
  out.call = kFetchCall;
  out.id = ToString(it.id);
  out.partner = it.partner;
  out.wait_ms = it.wait.count();
}

auto EncodeCall(const CancelRequest& it, wire::WireRelayRequest& out) -> void {
  out.call = kCancelCall;
  out.id = ToString(it.id);
  out.partner = it.partner;
}

auto EncodeCall(const MintRequest& /*it*/, wire::WireRelayRequest& /*out*/)
    -> void {}

auto EncodeBody(const RelayRequest& it, wire::WireMessage& message) -> void {
  wire::WireRelayRequest out;
  out.number = static_cast<int64_t>(it.number);
  std::visit([&](const auto& call) { EncodeCall(call, out); }, it.call);
  message.__set_relay_request(out);
}

auto EncodeReplyBody(const AnswerReply& it, wire::WireRelayReply& out) -> void {
  out.outcome = kAnswerOutcome;
  out.__set_answer(ToWire(*it.answer));
}

auto EncodeReplyBody(const RefusalReply& it, wire::WireRelayReply& out)
    -> void {
  out.outcome = kRefusalOutcome;
  out.refusal = static_cast<int8_t>(it.refusal);
  out.reason = it.reason;
  out.retry_after_ms = it.retry_after.count();
}

auto EncodeReplyBody(const UndecidedReply& it, wire::WireRelayReply& out)
    -> void {
  out.outcome = kUndecidedOutcome;
  out.reason = it.reason;
  out.retry_after_ms = it.retry_after.count();
}

auto EncodeReplyBody(const MintReply& /*it*/, wire::WireRelayReply& /*out*/)
    -> void {}

auto EncodeBody(const RelayReply& it, wire::WireMessage& message) -> void {
  wire::WireRelayReply out;
  out.number = static_cast<int64_t>(it.number);
  std::visit([&](const auto& body) { EncodeReplyBody(body, out); }, it.body);
  message.__set_relay_reply(out);
}

auto EncodeBody(const ConfigurationRequest& it, wire::WireMessage& message)
    -> void {
  wire::WireConfigurationRequest out;
  out.known_version = static_cast<int64_t>(it.known_version);
  message.__set_configuration_request(out);
}

auto EncodeBody(const ConfigurationTransfer& it, wire::WireMessage& message)
    -> void {
  wire::WireConfiguration out;
  out.version = static_cast<int64_t>(it.version);
  out.document = it.document;
  message.__set_configuration(out);
}

auto DecodeHeartbeat(wire::WireHeartbeat& in)
    -> std::optional<PeerMessageBody> {
  const auto address = ParseAddress(in.address);
  if (!address) {
    return std::nullopt;
  }
  Heartbeat out;
  out.instance = std::move(in.instance);
  out.zone = std::move(in.zone);
  out.address = *address;
  out.started = WallTime(milliseconds(in.started_ms));
  out.sequence = static_cast<uint64_t>(in.sequence);
  out.configuration_version = static_cast<uint64_t>(in.configuration_version);
  out.leaving = in.leaving;
  out.stopped = in.stopped;
  out.service_demands = FromWireDemands(in.service_demands);
  out.teams_digest = static_cast<uint32_t>(in.teams_digest);
  out.team_tasks.assign(in.team_tasks.begin(), in.team_tasks.end());
  out.team_demands = FromWireDemands(in.team_demands);
  out.echo_incarnation =
      Incarnation{static_cast<uint64_t>(in.echo_incarnation)};
  out.echo_sequence = static_cast<uint64_t>(in.echo_sequence);
  out.roster_digest = static_cast<uint64_t>(in.roster_digest);
  out.quota_claims = in.quota_claims;
  out.quota_leases = FromWireDemands(in.quota_leases);
  for (auto& verdict : in.verdicts) {
    out.verdicts.push_back(FromWire(verdict));
  }
  return out;
}

auto DecodeCall(wire::WireRelayRequest& in) -> std::optional<CallerCall> {
  if (in.call == kSubmitCall) {
    auto submission =
        in.__isset.submission ? FromWire(in.submission) : std::nullopt;
    if (!submission) {
      return std::nullopt;
    }
    SubmitRequest out;
    out.submission = std::make_shared<const Submission>(std::move(*submission));
    out.wait = milliseconds(in.wait_ms);
    return out;
  }
  const auto id = ParseJobId(in.id);
  if (!id) {
    return std::nullopt;
  }
  if (in.call == kFetchCall) {
    return FetchRequest{.id = *id,
                        .partner = std::move(in.partner),
                        .wait = milliseconds(in.wait_ms)};
  }
  if (in.call == kCancelCall) {
    return CancelRequest{.id = *id, .partner = std::move(in.partner)};
  }
  return std::nullopt;
}

auto DecodeRelayRequest(wire::WireRelayRequest& in)
    -> std::optional<PeerMessageBody> {
  auto call = DecodeCall(in);
  if (!call) {
    return std::nullopt;
  }
  return RelayRequest{.number = static_cast<uint64_t>(in.number),
                      .call = std::move(*call)};
}

auto DecodeReplyBody(wire::WireRelayReply& in)
    -> std::optional<CallerReplyBody> {
  if (in.outcome == kAnswerOutcome) {
    auto answer = in.__isset.answer ? FromWire(in.answer) : std::nullopt;
    if (!answer) {
      return std::nullopt;
    }
    return AnswerReply{
        .answer = std::make_shared<const CallerAnswer>(std::move(*answer))};
  }
  if (in.outcome == kRefusalOutcome && in.refusal >= 0 &&
      in.refusal <= static_cast<int8_t>(Refusal::kIdReused)) {
    return RefusalReply{.refusal = static_cast<Refusal>(in.refusal),
                        .reason = std::move(in.reason),
                        .retry_after = milliseconds(in.retry_after_ms)};
  }
  if (in.outcome == kUndecidedOutcome) {
    return UndecidedReply{.reason = std::move(in.reason),
                          .retry_after = milliseconds(in.retry_after_ms)};
  }
  return std::nullopt;
}

auto DecodeRelayReply(wire::WireRelayReply& in)
    -> std::optional<PeerMessageBody> {
  auto body = DecodeReplyBody(in);
  if (!body) {
    return std::nullopt;
  }
  return RelayReply{.number = static_cast<uint64_t>(in.number),
                    .body = std::move(*body)};
}

auto DecodeBody(wire::WireMessage& in) -> std::optional<PeerMessageBody> {
  if (in.__isset.heartbeat) {
    return DecodeHeartbeat(in.heartbeat);
  }
  if (in.__isset.relay_request) {
    return DecodeRelayRequest(in.relay_request);
  }
  if (in.__isset.relay_reply) {
    return DecodeRelayReply(in.relay_reply);
  }
  if (in.__isset.configuration_request) {
    return ConfigurationRequest{.known_version = static_cast<uint64_t>(
                                    in.configuration_request.known_version)};
  }
  if (in.__isset.configuration) {
    return ConfigurationTransfer{
        .version = static_cast<uint64_t>(in.configuration.version),
        .document = std::move(in.configuration.document)};
  }
  return std::nullopt;
}

}  // namespace

auto EncodePeerMessage(const PeerMessage& message) -> std::string {
  wire::WireMessage out;
  out.from_incarnation = static_cast<int64_t>(message.from.value);
  std::visit([&](const auto& it) { EncodeBody(it, out); }, message.body);
  auto buf = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buf);
  out.write(&protocol);
  return buf->getBufferAsString();
}

auto DecodePeerMessage(std::string_view bytes) -> std::optional<PeerMessage> {
  // The cast is safe because the buffer only reads the bytes. Thrift's
  // interface does not accept a pointer to const.
  auto* start = reinterpret_cast<uint8_t*>(const_cast<char*>(bytes.data()));
  auto buf = std::make_shared<TMemoryBuffer>(
      start, static_cast<uint32_t>(bytes.size()));
  TCompactProtocolT<TMemoryBuffer> protocol(buf);
  wire::WireMessage in;
  try {
    in.read(&protocol);
  } catch (const apache::thrift::TException&) {
    return std::nullopt;
  }
  auto body = DecodeBody(in);
  if (!body) {
    return std::nullopt;
  }
  return PeerMessage{
      .from = Incarnation{static_cast<uint64_t>(in.from_incarnation)},
      .body = std::move(*body)};
}

}  // namespace boragecroft
