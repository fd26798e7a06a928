#include "peers/endpoint/endpoint_codec.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <limits>

#include "core/json/text.h"

namespace boragecroft {
namespace {

// A longer incarnation name in an answer is ignored.
constexpr size_t kMaxIncarnationBytes = 64;

// Returns the body of a start request. Inserts the payload without parsing it,
// because the JSON of callers is checked once, when the job is accepted.
auto StartBody(const StartAttempt& start) -> std::string {
  json::object body;
  body["schema_version"] = 1;
  body["task"] = ToString(start.id);
  body["incarnation"] = start.incarnation;
  body["service"] = start.service;
  body["kind"] = start.kind;
  body["lease_ms"] = start.lease.count();
  if (start.needs != Needs{}) {
    body["needs"] = {{"cpu_millis", start.needs.cpu_millis},
                     {"memory_mb", start.needs.memory_mb},
                     {"accelerators", start.needs.accelerators}};
  }
  auto text = json::serialize(body);
  text.pop_back();
  return text + ",\"payload\":" + start.payload + "}";
}

auto ToRequest(std::string target, std::string body) -> HttpRequest {
  HttpRequest request;
  request.method = "POST";
  request.target = std::move(target);
  request.headers.push_back(HttpHeader{"Content-Type", "application/json"});
  request.body = std::move(body);
  return request;
}

auto Failure(const AttemptId& id, const HttpError& error) -> AttemptOutcome {
  AttemptOutcome outcome;
  outcome.id = id;
  outcome.text = error.reason;
  if (!error.request_sent) {
    outcome.end = ExchangeEnd::kNotSent;
  } else if (error.kind == HttpError::Kind::kProtocol) {
    outcome.end = ExchangeEnd::kProtocol;
  } else {
    outcome.end = ExchangeEnd::kNoResponse;
  }
  return outcome;
}

auto ProtocolError(const AttemptId& id, std::string reason) -> AttemptOutcome {
  AttemptOutcome outcome;
  outcome.id = id;
  outcome.end = ExchangeEnd::kProtocol;
  outcome.text = std::move(reason);
  return outcome;
}

auto MemberText(const json::object& body, std::string_view key)
    -> std::string_view {
  const auto* member = body.if_contains(key);
  return member != nullptr && member->is_string()
             ? std::string_view(member->get_string())
             : std::string_view();
}

auto DecodeEnd(const json::object& body, AttemptOutcome& outcome) -> bool {
  const auto state = MemberText(body, "state");
  const auto reason = MemberText(body, "reason");
  outcome.text = reason;
  if (state == "done" && body.contains("result")) {
    outcome.end = ExchangeEnd::kDone;
    outcome.text = json::serialize(body.at("result"));
  } else if (state == "failed" || state == "stopped") {
    outcome.end = ExchangeEnd::kFailed;
    outcome.text = reason.empty() ? state : reason;
  } else if (state == "refused" && reason == "busy") {
    outcome.end = ExchangeEnd::kBusy;
  } else if (state == "refused" && reason == "draining") {
    outcome.end = ExchangeEnd::kDraining;
  } else if (state == "refused" && reason == "cannot_run") {
    outcome.end = ExchangeEnd::kCannotRun;
  } else if (state == "refused" && reason == "other_incarnation") {
    outcome.end = ExchangeEnd::kOtherIncarnation;
  } else if (state == "not_started" ||
             (state == "refused" && reason == "stopped")) {
    outcome.end = ExchangeEnd::kNotStarted;
  } else if (state == "running") {
    outcome.end = ExchangeEnd::kRunning;
  } else if (state == "unknown") {
    outcome.end = ExchangeEnd::kNotReceived;
  } else {
    return false;
  }
  return true;
}

auto MemberCount(const json::object& body, std::string_view key)
    -> std::optional<uint32_t> {
  const auto* member = body.if_contains(key);
  if (member == nullptr || !member->is_int64() || member->get_int64() < 0 ||
      member->get_int64() > std::numeric_limits<uint32_t>::max()) {
    return std::nullopt;
  }
  return static_cast<uint32_t>(member->get_int64());
}

auto DecodeAnswer(const AttemptId& id,
                  const Result<HttpResponse, HttpError>& answer)
    -> AttemptOutcome {
  if (answer.has_error()) {
    return Failure(id, answer.error());
  }
  const auto parsed = ParseJson(answer.value().body);
  if (parsed.has_error() || !parsed.value().is_object()) {
    return ProtocolError(id, "the endpoint's answer is not a JSON object");
  }
  const auto& body = parsed.value().get_object();
  const auto task = MemberText(body, "task");
  if (task != ToString(id)) {
    return ProtocolError(
        id, "the endpoint's answer names another task: " + std::string(task));
  }
  AttemptOutcome outcome;
  outcome.id = id;
  if (const auto name = MemberText(body, "incarnation");
      name.size() <= kMaxIncarnationBytes) {
    outcome.incarnation = name;
  }
  outcome.free_slots = MemberCount(body, "free_slots");
  if (!DecodeEnd(body, outcome)) {
    return ProtocolError(id, "the endpoint's answer has no known state");
  }
  return outcome;
}

}  // namespace

auto ToString(const AttemptId& id) -> std::string {
  auto text = ToString(id.task);
  if (id.attempt > 0) {
    text += "#" + std::to_string(id.attempt);
  }
  return text;
}

auto CertainlyNotStarted(ExchangeEnd end) -> bool {
  switch (end) {
    case ExchangeEnd::kBusy:
    case ExchangeEnd::kDraining:
    case ExchangeEnd::kCannotRun:
    case ExchangeEnd::kOtherIncarnation:
    case ExchangeEnd::kNotStarted:
    case ExchangeEnd::kNotSent:
      return true;
    case ExchangeEnd::kDone:
    case ExchangeEnd::kFailed:
    case ExchangeEnd::kNoResponse:
    case ExchangeEnd::kProtocol:
    case ExchangeEnd::kRunning:
    case ExchangeEnd::kNotReceived:
    case ExchangeEnd::kUnknownToNewProcess:
      return false;
  }
  return false;
}

auto EncodeStart(const StartAttempt& start) -> HttpRequest {
  return ToRequest("/v1/tasks", StartBody(start));
}

auto EncodeRenewal(const RenewLeases& renewal) -> HttpRequest {
  json::array tasks;
  for (const auto& it : renewal.ids) {
    tasks.emplace_back(ToString(it));
  }
  json::object body;
  body["lease_ms"] = renewal.lease.count();
  body["tasks"] = std::move(tasks);
  return ToRequest("/v1/leases", json::serialize(body));
}

auto EncodeQuery(const QueryAttempt& query) -> HttpRequest {
  json::object body;
  body["task"] = ToString(query.id);
  body["incarnation"] = query.incarnation;
  return ToRequest(query.stop ? "/v1/stop" : "/v1/status",
                   json::serialize(body));
}

auto DecodeStartAnswer(const AttemptId& id,
                       const Result<HttpResponse, HttpError>& answer)
    -> AttemptOutcome {
  return DecodeAnswer(id, answer);
}

auto DecodeQueryAnswer(const AttemptId& id,
                       const Result<HttpResponse, HttpError>& answer)
    -> AttemptOutcome {
  auto outcome = DecodeAnswer(id, answer);
  outcome.from_query = true;
  // A query or stop that was not sent gives no information about the attempt,
  // and a refusal is not a valid answer to a stop.
  if (outcome.end == ExchangeEnd::kNotSent ||
      outcome.end == ExchangeEnd::kBusy ||
      outcome.end == ExchangeEnd::kDraining ||
      outcome.end == ExchangeEnd::kCannotRun) {
    outcome.end = ExchangeEnd::kNoResponse;
  } else if (outcome.end == ExchangeEnd::kOtherIncarnation) {
    outcome.end = ExchangeEnd::kUnknownToNewProcess;
  }
  return outcome;
}

}  // namespace boragecroft
