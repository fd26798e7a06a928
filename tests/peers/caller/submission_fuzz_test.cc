// Checks that damaged and random request bodies are either parsed or rejected
// with a code and a reason, and that parsed submissions keep the limits that
// docs/API.md states.
#include <gtest/gtest.h>

#include "core/json/text.h"
#include "peers/caller/caller_codec.h"
#include "peers/caller/submission_codec.h"
#include "tests/peers/caller/api_doc_examples.h"
#include "tests/peers/mutation.h"

namespace boragecroft {
namespace {

auto CheckError(const ApiError& error) -> void {
  RC_ASSERT(!error.reason.empty());
  const auto response = ToHttp(error);
  RC_ASSERT(response.status >= 400);
  RC_ASSERT(response.status < 500);
  const auto body = ParseJson(response.body);
  RC_ASSERT(body.has_value());
  RC_ASSERT(!body.value().at("error").at("code").as_string().empty());
  RC_ASSERT(body.value().at("not_run").as_bool());
}

auto CheckSubmission(const SubmitRequest& submit,
                     const Configuration& configuration) -> void {
  const auto& submission = *submit.submission;
  const auto& limits = configuration.limits;
  RC_ASSERT(submission.schema_version >= kOldestRecordVersion);
  RC_ASSERT(submission.schema_version <= kNewestRecordVersion);
  RC_ASSERT(FindPartner(configuration, submission.partner) != nullptr);
  RC_ASSERT(FindService(configuration, submission.service) != nullptr);
  RC_ASSERT(FindClass(configuration, submission.urgency_class) != nullptr);
  RC_ASSERT(submission.deadline.count() > 0);
  RC_ASSERT(submission.deadline <= limits.max_deadline);
  RC_ASSERT(!submission.payloads.empty());
  RC_ASSERT(submission.payloads.size() <= limits.max_tasks_per_job);
  for (const auto& it : submission.payloads) {
    RC_ASSERT(it.size() <= limits.max_payload_bytes);
    RC_ASSERT(ParseJson(it).has_value());
  }
}

auto CheckBody(const std::string& body) -> void {
  static const auto configuration = ExampleConfiguration();
  const auto submit = ParseSubmission(body, configuration);
  if (submit.has_error()) {
    CheckError(submit.error());
  } else {
    CheckSubmission(submit.value(), configuration);
  }
  const auto mint = ParseMint(body);
  if (mint.has_error()) {
    CheckError(mint.error());
  } else {
    RC_ASSERT(mint.value().request.count >= 1U);
    RC_ASSERT(mint.value().request.count <= 1000U);
  }
}

auto GenerateValidBody() -> std::string {
  static const auto examples = ApiDocExamples();
  const auto name = *rc::gen::elementOf(std::vector<std::string>{
      "submit-v1", "submit-v2", "submit-least", "submit-key", "mint-request"});
  return examples.at(name);
}

RC_GTEST_PROP(SubmissionFuzzTest, HandlesRandomBytes, ()) {
  CheckBody(*rc::gen::arbitrary<std::string>());
}

RC_GTEST_PROP(SubmissionFuzzTest, HandlesMutatedBodies, ()) {
  CheckBody(Mutate(GenerateValidBody()));
}

// Replaces one member by a value of any type. The body remains JSON, so that
// the checks of the fields are reached.
RC_GTEST_PROP(SubmissionFuzzTest, HandlesMembersOfAnotherType, ()) {
  auto body = ParseJson(GenerateValidBody()).value().as_object();
  const auto at = *rc::gen::inRange<size_t>(0, body.size());
  const auto value = *rc::gen::elementOf(std::vector<std::string>{
      "null", "true", "-1", "0", "1.5", "9223372036854775808", "\"\"",
      "\"a\\u0000b\"", "[]", "{}", "[[{}]]", "[null]"});
  body[(body.begin() + at)->key()] = ParseJson("[" + value + "]").value().at(0);
  CheckBody(ToJsonText(body));
}

// Returns the error for the example submit-least with `member` set to `value`,
// or an error with an empty reason when the submission is accepted.
auto ErrorWith(std::string_view member, const json::value& value) -> ApiError {
  auto body =
      ParseJson(ApiDocExamples().at("submit-least")).value().as_object();
  body[member] = value;
  const auto submit = ParseSubmission(ToJsonText(body), ExampleConfiguration());
  return submit.has_error() ? submit.error() : ApiError();
}

TEST(SubmissionFuzzTest, NamesFieldWhenTextIsTooLong) {
  for (const auto* member : {"kind", "partner", "service", "class", "key"}) {
    const auto error = ErrorWith(member, json::string(201, 'x'));
    EXPECT_EQ(error.code, ApiErrorCode::kInvalidField) << member;
  }
  EXPECT_EQ(ErrorWith("kind", json::string(201, 'x')).field, "kind");
  EXPECT_TRUE(ErrorWith("kind", json::string(200, 'x')).reason.empty());
}

TEST(SubmissionFuzzTest, ReturnsSpecificCodeForInvalidTasks) {
  EXPECT_EQ(ErrorWith("tasks", json::array()).code, ApiErrorCode::kNoTasks);
  for (const auto& it : {json::value(7), json::value(json::object())}) {
    EXPECT_EQ(ErrorWith("tasks", it).code, ApiErrorCode::kInvalidField);
  }
  EXPECT_EQ(ErrorWith("tasks", json::array(2001, json::value(1))).code,
            ApiErrorCode::kTooManyTasks);
}

TEST(SubmissionFuzzTest, NamesRepeatedMembers) {
  const auto example = ApiDocExamples().at("submit-least");
  for (const auto& [repeated, field] :
       std::vector<std::pair<std::string, std::string>>{
           {R"("partner": "agents", )", "partner"},
           {R"("needs": {"memory_mb": 1, "memory_mb": 2}, )",
            "needs.memory_mb"},
           {R"("tasks": [0, {"a": 1, "a": 1}], )", "tasks[1].a"}}) {
    auto body = example;
    body.insert(1, repeated);
    const auto submit = ParseSubmission(body, ExampleConfiguration());
    ASSERT_TRUE(submit.has_error());
    EXPECT_EQ(submit.error().code, ApiErrorCode::kInvalidField);
    EXPECT_EQ(submit.error().field, field);
  }
  const auto mint =
      ParseMint(R"({"schema_version":2,"partner":"a","count":1,"count":2})");
  ASSERT_TRUE(mint.has_error());
  EXPECT_EQ(mint.error().field, "count");
}

TEST(SubmissionFuzzTest, RejectsTooManyTasksWithSpecificCode) {
  auto body =
      ParseJson(ApiDocExamples().at("submit-least")).value().as_object();
  body["tasks"] = json::array(2001, json::value(1));
  const auto submit = ParseSubmission(ToJsonText(body), ExampleConfiguration());
  ASSERT_TRUE(submit.has_error());
  EXPECT_EQ(submit.error().code, ApiErrorCode::kTooManyTasks);
  EXPECT_EQ(submit.error().field, "tasks");
}

}  // namespace
}  // namespace boragecroft
