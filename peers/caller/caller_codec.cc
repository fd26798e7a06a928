#include "peers/caller/caller_codec.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <utility>

#include "core/json/object_reader.h"
#include "peers/caller/caller_body.h"
#include "peers/caller/submission_codec.h"

namespace boragecroft {
namespace {

constexpr int64_t kMaxIdsPerRequest = 1000;
constexpr milliseconds kRetryAfter{200};

struct ErrorInfo {
  std::string_view name;
  int status = 400;
};

auto Describe(ApiErrorCode code) -> ErrorInfo {
  switch (code) {
    case ApiErrorCode::kMalformedHttp:
      return {"malformed_http", 400};
    case ApiErrorCode::kBodyTooLarge:
      return {"body_too_large", 413};
    case ApiErrorCode::kHeadTooLarge:
      return {"head_too_large", 431};
    case ApiErrorCode::kFramingTooLarge:
      return {"framing_too_large", 431};
    case ApiErrorCode::kTooSlow:
      return {"too_slow", 408};
    case ApiErrorCode::kMalformedJson:
      return {"malformed_json", 400};
    case ApiErrorCode::kInvalidField:
      return {"invalid_field", 422};
    case ApiErrorCode::kUnknownVersion:
      return {"unknown_version", 422};
    case ApiErrorCode::kNoTasks:
      return {"no_tasks", 422};
    case ApiErrorCode::kTooManyTasks:
      return {"too_many_tasks", 422};
    case ApiErrorCode::kNoSuchResource:
      return {"no_such_resource", 404};
    case ApiErrorCode::kMethodNotAllowed:
      return {"method_not_allowed", 405};
  }
  return {"invalid", 400};
}

auto HttpStatusOf(Refusal refusal) -> int {
  switch (refusal) {
    case Refusal::kInvalid:
    case Refusal::kUnknownPartner:
    case Refusal::kCanNeverRun:
    case Refusal::kIdReused:
      return 422;
    case Refusal::kWrongPartner:
      return 403;
    case Refusal::kIdExpired:
    case Refusal::kIdNotMinted:
      return 410;
    case Refusal::kDeadline:
    case Refusal::kQueueFull:
    case Refusal::kQuota:
      return 429;
    case Refusal::kDraining:
    case Refusal::kOverloaded:
    case Refusal::kNotReady:
      return 503;
  }
  return 503;
}

auto RefusedBody(std::string_view code,
                 std::string_view field,
                 std::string_view reason) -> json::object {
  json::object error;
  error["code"] = code;
  if (!field.empty()) {
    error["field"] = field;
  }
  error["reason"] = reason;
  json::object body;
  body["schema_version"] = kNewestRecordVersion;
  body["state"] = "refused";
  body["not_run"] = true;
  body["error"] = std::move(error);
  return body;
}

auto Respond(int status, const json::object& body) -> HttpResponse {
  HttpResponse response;
  response.status = status;
  response.body = json::serialize(body);
  return response;
}

auto SetRetryAfter(milliseconds retry_after,
                   json::object& body,
                   HttpHeaders& headers) -> void {
  if (retry_after.count() == 0) {
    return;
  }
  body["retry_after_ms"] = retry_after.count();
  const auto whole_seconds = std::chrono::ceil<seconds>(retry_after);
  headers.push_back(
      HttpHeader{"Retry-After", std::to_string(whole_seconds.count())});
}

auto Encode(const MintReply& reply, int schema_version) -> HttpResponse {
  json::array ids;
  auto id = reply.first;
  for (uint32_t i = 0; i < reply.count; ++i) {
    ids.emplace_back(ToString(id));
    ++id.sequence;
  }
  json::object body;
  body["schema_version"] = schema_version;
  body["ids"] = std::move(ids);
  body["term_ms"] = reply.term.count();
  return Respond(200, body);
}

auto CountStates(const std::vector<TaskState>& tasks) -> json::object {
  json::object counts;
  for (const auto state :
       {TaskState::kQueued, TaskState::kStarted, TaskState::kDone,
        TaskState::kFailed, TaskState::kNotRun, TaskState::kMayHaveRun}) {
    const auto n = std::count(tasks.begin(), tasks.end(), state);
    if (n > 0) {
      counts[ToString(state)] = n;
    }
  }
  return counts;
}

// Returns the array of results. Each result is copied as the endpoint sent it,
// because its text was checked when it arrived from the endpoint.
auto EncodeResults(const CallerAnswer& answer, int schema_version)
    -> std::string {
  std::string text = "[";
  for (size_t i = 0; i < answer.results.size(); ++i) {
    if (i > 0) {
      text += ",";
    }
    if (schema_version >= 2) {
      text += answer.results[i];
    } else {
      text += "{\"task\":" + std::to_string(i) +
              ",\"result\":" + answer.results[i] + "}";
    }
  }
  return text + "]";
}

auto TaskStates(const CallerAnswer& answer) -> json::array {
  json::array states;
  for (const auto it : answer.tasks) {
    states.emplace_back(ToString(it));
  }
  return states;
}

auto Encode(const AnswerReply& reply, int schema_version) -> HttpResponse {
  const auto& answer = *reply.answer;
  json::object body;
  body["schema_version"] = schema_version;
  body["id"] = ToString(answer.id);
  body["state"] = ToString(answer.state);
  body["task_counts"] = CountStates(answer.tasks);
  if (answer.state == JobState::kActive) {
    return Respond(202, body);
  }
  body["recorded"] = answer.recorded;
  if (answer.state == JobState::kDone) {
    auto text = json::serialize(body);
    text.pop_back();
    HttpResponse response;
    response.body =
        text + ",\"results\":" + EncodeResults(answer, schema_version) + "}";
    return response;
  }
  body["reason"] = answer.reason;
  body["task_states"] = TaskStates(answer);
  return Respond(200, body);
}

auto Encode(const RefusalReply& reply, int schema_version) -> HttpResponse {
  auto body = RefusedBody(ToString(reply.refusal), "", reply.reason);
  body["schema_version"] = schema_version;
  HttpHeaders headers;
  SetRetryAfter(reply.retry_after, body, headers);
  auto response = Respond(HttpStatusOf(reply.refusal), body);
  response.headers = std::move(headers);
  return response;
}

auto Encode(const UndecidedReply& reply, int schema_version) -> HttpResponse {
  json::object body;
  body["schema_version"] = schema_version;
  body["state"] = "undecided";
  body["reason"] = reply.reason;
  HttpHeaders headers;
  SetRetryAfter(reply.retry_after, body, headers);
  auto response = Respond(504, body);
  response.headers = std::move(headers);
  return response;
}

}  // namespace

auto ParseMint(std::string_view body) -> Result<ParsedMint, ApiError> {
  const auto document = ParseCallerBody(body);
  if (document.has_error()) {
    return document.error();
  }
  std::vector<FieldError> errors;
  ObjectReader reader(document.value(), "", errors);
  ParsedMint out;
  const Range versions{.low = kOldestRecordVersion,
                       .high = kNewestRecordVersion};
  out.schema_version =
      static_cast<int>(reader.Integer("schema_version", versions));
  out.request.partner = reader.Text("partner");
  out.request.count = static_cast<uint32_t>(
      reader.IntegerOr("count", {.low = 1, .high = kMaxIdsPerRequest}, 1));
  reader.RejectUnknown();
  if (!errors.empty()) {
    const auto& error = errors.front();
    const auto code = error.field == "schema_version"
                          ? ApiErrorCode::kUnknownVersion
                          : ApiErrorCode::kInvalidField;
    return ApiError{
        .code = code,
        .field = error.field,
        .reason = "found " + error.found + ", allowed: " + error.allowed};
  }
  return out;
}

auto ToHttp(const CallerReplyBody& body, int schema_version) -> HttpResponse {
  return std::visit([&](const auto& it) { return Encode(it, schema_version); },
                    body);
}

auto ToHttp(const ApiError& error) -> HttpResponse {
  const auto code = Describe(error.code);
  return Respond(code.status,
                 RefusedBody(code.name, error.field, error.reason));
}

auto ToHttp(HttpFault fault) -> HttpResponse {
  switch (fault) {
    case HttpFault::kMalformed:
      return ToHttp(ApiError{.code = ApiErrorCode::kMalformedHttp,
                             .field = "",
                             .reason = "this is not HTTP/1.1"});
    case HttpFault::kHeadTooLarge:
      return ToHttp(ApiError{.code = ApiErrorCode::kHeadTooLarge,
                             .field = "",
                             .reason = "the header is too long"});
    case HttpFault::kBodyTooLarge:
      return ToHttp(ApiError{.code = ApiErrorCode::kBodyTooLarge,
                             .field = "",
                             .reason = "the body is too long"});
    case HttpFault::kFramingTooLarge:
      return ToHttp(
          ApiError{.code = ApiErrorCode::kFramingTooLarge,
                   .field = "",
                   .reason = "the chunk sizes or trailers are too long"});
    case HttpFault::kTooSlow:
      return ToHttp(ApiError{.code = ApiErrorCode::kTooSlow,
                             .field = "",
                             .reason = "the request took too long"});
    case HttpFault::kTooManyConnections:
      break;
  }
  // The request was not read, so a job with its id may have run before.
  return ToHttp(UndecidedReply{.reason = "too many connections",
                               .retry_after = kRetryAfter},
                kNewestRecordVersion);
}

}  // namespace boragecroft
