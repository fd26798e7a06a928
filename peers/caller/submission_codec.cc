#include "peers/caller/submission_codec.h"

#include <boost/json/serialize.hpp>
#include <utility>

#include "core/json/object_reader.h"
#include "peers/caller/caller_body.h"

namespace boragecroft {
namespace {

constexpr Range kAnyCount{.low = 0, .high = INT32_MAX};
constexpr size_t kMaxCallerKeyBytes = 200;
constexpr size_t kMaxNameBytes = 200;

auto ReadName(ObjectReader& reader, std::string_view key) -> std::string {
  auto name = reader.Text(key);
  if (name.size() > kMaxNameBytes) {
    reader.Fail(key, std::to_string(name.size()) + " bytes",
                "at most " + std::to_string(kMaxNameBytes) + " bytes");
  }
  return name;
}

auto ReadNeeds(ObjectReader& reader, std::vector<FieldError>& errors) -> Needs {
  const auto* value = reader.Raw("needs");
  if (value == nullptr) {
    return {};
  }
  ObjectReader needs(*value, "needs", errors);
  Needs out;
  out.cpu_millis =
      static_cast<uint32_t>(needs.IntegerOr("cpu_millis", kAnyCount, 0));
  out.memory_mb =
      static_cast<uint32_t>(needs.IntegerOr("memory_mb", kAnyCount, 0));
  out.accelerators =
      static_cast<uint32_t>(needs.IntegerOr("accelerators", kAnyCount, 0));
  needs.RejectUnknown();
  return out;
}

// Reads either an id that the caller requested before, or the caller's own key.
auto ReadIdentity(ObjectReader& reader,
                  Submission& submission,
                  std::string& caller_key) -> void {
  if (reader.Has("id") == reader.Has("key")) {
    reader.Fail("id",
                reader.Has("id") ? "both id and key" : "neither id nor key",
                "exactly one of id and key");
    return;
  }
  if (reader.Has("key")) {
    caller_key = reader.Text("key");
    if (caller_key.empty() || caller_key.size() > kMaxCallerKeyBytes) {
      reader.Fail("key", std::to_string(caller_key.size()) + " bytes",
                  "1 to 200 bytes");
    }
    return;
  }
  const auto text = reader.Text("id");
  const auto id = ParseJobId(text);
  if (!id) {
    reader.Fail("id", "\"" + text.substr(0, 80) + "\"",
                "an id from POST /v1/ids");
    return;
  }
  submission.id = *id;
}

// Reads the urgency class. Version 1 gives its rank, with 0 for the most urgent
// class; version 2 gives its name.
auto ReadClass(ObjectReader& reader,
               const Configuration& configuration,
               Submission& submission) -> void {
  if (submission.schema_version >= 2) {
    submission.urgency_class = ReadName(reader, "class");
    if (FindClass(configuration, submission.urgency_class) == nullptr &&
        reader.Has("class")) {
      reader.Fail("class", "\"" + submission.urgency_class + "\"",
                  "the name of a declared class");
    }
    return;
  }
  const auto last = static_cast<int64_t>(configuration.classes.size()) - 1;
  const auto rank = reader.Integer("urgency", {.low = 0, .high = last});
  submission.urgency_class =
      configuration.classes[static_cast<size_t>(rank)].name;
}

auto ReadPartner(ObjectReader& reader,
                 const Configuration& configuration,
                 Submission& submission) -> void {
  submission.partner = ReadName(reader, "partner");
  const auto* partner = FindPartner(configuration, submission.partner);
  if (partner == nullptr) {
    if (reader.Has("partner")) {
      reader.Fail("partner", "\"" + submission.partner + "\"",
                  "the name of a declared partner");
    }
    return;
  }
  submission.team = partner->team;
}

auto ReadService(ObjectReader& reader,
                 const Configuration& configuration,
                 Submission& submission) -> void {
  submission.service = ReadName(reader, "service");
  if (reader.Has("service") &&
      FindService(configuration, submission.service) == nullptr) {
    reader.Fail("service", "\"" + submission.service + "\"",
                "the name of a declared service");
  }
  submission.kind = reader.Has("kind") ? ReadName(reader, "kind") : "default";
}

auto ReadTimes(ObjectReader& reader,
               const Configuration& configuration,
               Submission& submission) -> void {
  const auto* urgency_class =
      FindClass(configuration, submission.urgency_class);
  const auto fallback =
      urgency_class == nullptr ? seconds(30) : urgency_class->default_deadline;
  const Range allowed{.low = 1,
                      .high = configuration.limits.max_deadline.count()};
  submission.deadline = reader.MillisecondsOr("deadline_ms", allowed, fallback);
  submission.run_time_hint =
      reader.MillisecondsOr("run_time_ms", allowed, milliseconds(0));
}

auto Payload(const json::value& task, int schema_version)
    -> const json::value* {
  if (schema_version >= 2) {
    return &task;
  }
  const auto* object = task.if_object();
  return object == nullptr ? nullptr : object->if_contains("payload");
}

auto ReadTasks(ObjectReader& reader,
               const Limits& limits,
               Submission& submission) -> void {
  const auto* value = reader.Raw("tasks");
  const auto* tasks = value == nullptr ? nullptr : value->if_array();
  if (tasks == nullptr || tasks->empty() ||
      tasks->size() > limits.max_tasks_per_job) {
    const auto found = tasks == nullptr
                           ? std::string("no array")
                           : std::to_string(tasks->size()) + " tasks";
    reader.Fail("tasks", found,
                "an array of 1 to " + std::to_string(limits.max_tasks_per_job) +
                    " tasks");
    return;
  }
  submission.payloads.reserve(tasks->size());
  for (size_t i = 0; i < tasks->size(); ++i) {
    const auto* payload = Payload((*tasks)[i], submission.schema_version);
    auto text = payload == nullptr ? std::string() : json::serialize(*payload);
    if (payload == nullptr || text.size() > limits.max_payload_bytes) {
      reader.Fail("tasks[" + std::to_string(i) + "]",
                  payload == nullptr ? "no payload"
                                     : std::to_string(text.size()) + " bytes",
                  "a payload of at most " +
                      std::to_string(limits.max_payload_bytes) + " bytes");
      return;
    }
    submission.payloads.push_back(std::move(text));
  }
}

// Returns the code for an error in the member `tasks`, which is kInvalidField
// unless the list is empty or too long.
auto TaskListErrorCode(ObjectReader& reader, const Limits& limits)
    -> ApiErrorCode {
  const auto* value = reader.Raw("tasks");
  const auto* tasks = value == nullptr ? nullptr : value->if_array();
  if (tasks != nullptr && tasks->empty()) {
    return ApiErrorCode::kNoTasks;
  }
  return tasks != nullptr && tasks->size() > limits.max_tasks_per_job
             ? ApiErrorCode::kTooManyTasks
             : ApiErrorCode::kInvalidField;
}

auto ToApiError(const FieldError& error, ApiErrorCode task_list_code)
    -> ApiError {
  ApiError out;
  out.code = ApiErrorCode::kInvalidField;
  out.field = error.field;
  out.reason = "found " + error.found + ", allowed: " + error.allowed;
  if (error.field == "schema_version") {
    out.code = ApiErrorCode::kUnknownVersion;
  } else if (error.field == "tasks") {
    out.code = task_list_code;
  }
  return out;
}

}  // namespace

auto ParseSubmission(std::string_view body, const Configuration& configuration)
    -> Result<SubmitRequest, ApiError> {
  const auto document = ParseCallerBody(body);
  if (document.has_error()) {
    return document.error();
  }
  std::vector<FieldError> errors;
  ObjectReader reader(document.value(), "", errors);
  SubmitRequest request;
  auto submission = std::make_shared<Submission>();
  const Range versions{.low = kOldestRecordVersion,
                       .high = kNewestRecordVersion};
  submission->schema_version =
      static_cast<int>(reader.Integer("schema_version", versions));
  if (errors.empty()) {
    ReadIdentity(reader, *submission, request.caller_key);
    ReadPartner(reader, configuration, *submission);
    ReadService(reader, configuration, *submission);
    ReadClass(reader, configuration, *submission);
    ReadTimes(reader, configuration, *submission);
    submission->repeatable = reader.FlagOr("repeatable", false);
    submission->needs = ReadNeeds(reader, errors);
    ReadTasks(reader, configuration.limits, *submission);
    reader.RejectUnknown();
  }
  if (!errors.empty()) {
    return ToApiError(errors.front(),
                      TaskListErrorCode(reader, configuration.limits));
  }
  request.submission = std::move(submission);
  return request;
}

}  // namespace boragecroft
