// Passes the examples of docs/API.md through the codecs, to check that the page
// describes what the code does.
#include <gtest/gtest.h>

#include "core/json/text.h"
#include "peers/caller/caller_codec.h"
#include "peers/caller/submission_codec.h"
#include "tests/peers/caller/api_doc_examples.h"

namespace boragecroft {
namespace {

class ApiDocTest : public testing::Test {
 protected:
  auto Example(const std::string& name) -> std::string {
    const auto it = examples_.find(name);
    EXPECT_NE(it, examples_.end()) << name;
    return it == examples_.end() ? std::string() : it->second;
  }

  auto ParseExample(const std::string& name) -> SubmitRequest {
    auto parsed = ParseSubmission(Example(name), ExampleConfiguration());
    EXPECT_TRUE(parsed.has_value()) << name << ": " << parsed.error().reason;
    return parsed.value();
  }

  // Expects the body of `response` to equal the example as a JSON value.
  auto ExpectMatchesExample(const std::string& name,
                            const HttpResponse& response) -> void {
    const auto example = ParseJson(Example(name));
    ASSERT_TRUE(example.has_value()) << name << ": " << example.error().reason;
    EXPECT_EQ(example.value(), ParseJson(response.body).value()) << name;
  }

  auto MakeAnswer(JobState state, std::vector<TaskState> tasks)
      -> CallerAnswer {
    CallerAnswer answer;
    answer.id = *ParseJobId("9f3c2a1b4d5e6f70-19ae8bfe6b0-0");
    answer.state = state;
    answer.tasks = std::move(tasks);
    return answer;
  }

  static auto Encode(const CallerAnswer& answer, int version) -> HttpResponse {
    return ToHttp(AnswerReply{.answer = std::make_shared<CallerAnswer>(answer)},
                  version);
  }

  const std::map<std::string, std::string> examples_ = ApiDocExamples();
};

TEST_F(ApiDocTest, EveryJsonBlockIsTested) {
  const std::vector<std::string> expected_names = {
      "answer-active",  "answer-done-v1",   "answer-done-v2", "answer-failed",
      "answer-refused", "answer-undecided", "error-field",    "mint-answer",
      "mint-request",   "submit-key",       "submit-least",   "submit-v1",
      "submit-v2"};
  std::vector<std::string> names;
  for (const auto& it : examples_) {
    names.push_back(it.first);
  }
  EXPECT_EQ(names, expected_names);
  const auto page = ReadSource("docs/API.md");
  size_t blocks = 0;
  for (auto at = page.find("```json"); at != std::string::npos;
       at = page.find("```json", at + 1)) {
    ++blocks;
  }
  EXPECT_EQ(blocks, expected_names.size());
}

// Examples of a request for new ids and its response.
class ApiDocMintTest : public ApiDocTest {};

TEST_F(ApiDocMintTest, ParsesRequest) {
  const auto mint = ParseMint(Example("mint-request"));
  ASSERT_TRUE(mint.has_value()) << mint.error().reason;
  EXPECT_EQ(mint.value().request.partner, "banco-cantabrico");
  EXPECT_EQ(mint.value().request.count, 2U);
  EXPECT_EQ(mint.value().schema_version, 2);
}

TEST_F(ApiDocMintTest, ResponseListsIds) {
  MintReply reply;
  reply.first = *ParseJobId("9f3c2a1b4d5e6f70-19ae8bfe6b0-0");
  reply.count = 2;
  reply.term = milliseconds(600000);
  ExpectMatchesExample("mint-answer", ToHttp(reply, 2));
}

// Examples of submissions.
class ApiDocSubmitTest : public ApiDocTest {};

TEST_F(ApiDocSubmitTest, ParsesEveryField) {
  const auto submission = ParseExample("submit-v2").submission;
  EXPECT_EQ(ToString(submission->id), "9f3c2a1b4d5e6f70-19ae8bfe6b0-0");
  EXPECT_EQ(submission->partner, "banco-cantabrico");
  EXPECT_EQ(submission->team, "banks");
  EXPECT_EQ(submission->service, "cartas");
  EXPECT_EQ(submission->kind, "reminder");
  EXPECT_EQ(submission->urgency_class, "reminders");
  EXPECT_EQ(submission->deadline, milliseconds(60000));
  EXPECT_EQ(submission->run_time_hint, milliseconds(200));
  EXPECT_FALSE(submission->repeatable);
  EXPECT_EQ(submission->needs, (Needs{.cpu_millis = 500, .memory_mb = 256}));
  EXPECT_EQ(submission->payloads,
            (std::vector<std::string>{"{\"letter\":17}", "{\"letter\":18}"}));
}

TEST_F(ApiDocSubmitTest, VersionOneMatchesVersionTwo) {
  const auto older = ParseExample("submit-v1").submission;
  const auto newer = ParseExample("submit-v2").submission;
  EXPECT_EQ(older->schema_version, 1);
  EXPECT_EQ(newer->schema_version, 2);
  EXPECT_EQ(older->id, newer->id);
  EXPECT_EQ(older->urgency_class, newer->urgency_class);
  EXPECT_EQ(older->deadline, newer->deadline);
  EXPECT_EQ(older->run_time_hint, newer->run_time_hint);
  EXPECT_EQ(older->needs, newer->needs);
  EXPECT_EQ(older->payloads, newer->payloads);
}

TEST_F(ApiDocSubmitTest, UsesDefaultsForAbsentFields) {
  const auto submission = ParseExample("submit-least").submission;
  EXPECT_EQ(submission->kind, "default");
  EXPECT_EQ(submission->deadline,
            milliseconds(10000));  // of the class confirmations
  EXPECT_EQ(submission->run_time_hint, milliseconds(0));
  EXPECT_FALSE(submission->repeatable);
  EXPECT_EQ(submission->needs, Needs());
}

TEST_F(ApiDocSubmitTest, AcceptsCallerKeyInsteadOfId) {
  EXPECT_EQ(ParseExample("submit-key").caller_key, "run-2026-12/banco-7");
}

// Examples of the responses that report the state of a job.
class ApiDocAnswerTest : public ApiDocTest {};

TEST_F(ApiDocAnswerTest, MatchesExampleOfActiveJob) {
  const auto response = Encode(
      MakeAnswer(JobState::kActive, {TaskState::kStarted, TaskState::kQueued}),
      2);
  EXPECT_EQ(response.status, 202);
  ExpectMatchesExample("answer-active", response);
}

TEST_F(ApiDocAnswerTest, MatchesExamplesOfDoneJobInBothVersions) {
  auto answer =
      MakeAnswer(JobState::kDone, {TaskState::kDone, TaskState::kDone});
  answer.recorded = true;
  answer.results = {"{\"pages\":2}", "{\"pages\":1}"};
  EXPECT_EQ(Encode(answer, 2).status, 200);
  ExpectMatchesExample("answer-done-v2", Encode(answer, 2));
  ExpectMatchesExample("answer-done-v1", Encode(answer, 1));
}

TEST_F(ApiDocAnswerTest, MatchesExampleOfFailedJob) {
  auto answer =
      MakeAnswer(JobState::kFailed, {TaskState::kDone, TaskState::kNotRun});
  answer.reason = "deadline";
  EXPECT_EQ(Encode(answer, 2).status, 200);
  ExpectMatchesExample("answer-failed", Encode(answer, 2));
}

TEST_F(ApiDocAnswerTest, MatchesExampleOfRefusedJob) {
  const auto response =
      ToHttp(RefusalReply{.refusal = Refusal::kDeadline,
                          .reason = "the queue ahead is too long for the "
                                    "deadline or its bound",
                          .retry_after = milliseconds(1200)},
             2);
  EXPECT_EQ(response.status, 429);
  EXPECT_EQ(FindHeader(response.headers, "Retry-After"), "2");
  ExpectMatchesExample("answer-refused", response);
}

TEST_F(ApiDocAnswerTest, MatchesExampleOfUndecidedJob) {
  const auto response = ToHttp(
      UndecidedReply{.reason = "the instance that owns this id did not answer",
                     .retry_after = milliseconds(500)},
      2);
  EXPECT_EQ(response.status, 504);
  ExpectMatchesExample("answer-undecided", response);
}

TEST_F(ApiDocAnswerTest, MatchesExampleOfInvalidField) {
  auto body = Example("submit-v2");
  body.replace(body.find("\"reminders\""), 11, "\"letters\"");
  const auto parsed = ParseSubmission(body, ExampleConfiguration());
  ASSERT_TRUE(parsed.has_error());
  EXPECT_EQ(ToHttp(parsed.error()).status, 422);
  ExpectMatchesExample("error-field", ToHttp(parsed.error()));
}

// Checks that the table of codes lists each code with its status.
class ApiDocCodesTest : public ApiDocTest {
 protected:
  auto ExpectRow(const HttpResponse& response) -> void {
    const auto body = ParseJson(response.body).value();
    const auto code = std::string(body.at("error").at("code").as_string());
    const auto row =
        "| `" + code + "` | " + std::to_string(response.status) + " |";
    EXPECT_NE(page_.find(row), std::string::npos) << row;
  }

  const std::string page_ = ReadSource("docs/API.md");
};

TEST_F(ApiDocCodesTest, ListsRefusals) {
  for (const auto it :
       {Refusal::kInvalid, Refusal::kUnknownPartner, Refusal::kWrongPartner,
        Refusal::kIdExpired, Refusal::kIdNotMinted, Refusal::kCanNeverRun,
        Refusal::kDeadline, Refusal::kQueueFull, Refusal::kDraining,
        Refusal::kOverloaded, Refusal::kNotReady, Refusal::kIdReused}) {
    ExpectRow(ToHttp(RefusalReply{.refusal = it}, 2));
  }
}

TEST_F(ApiDocCodesTest, ListsErrorsOfInvalidRequests) {
  for (const auto it :
       {ApiErrorCode::kMalformedHttp, ApiErrorCode::kBodyTooLarge,
        ApiErrorCode::kHeadTooLarge, ApiErrorCode::kFramingTooLarge,
        ApiErrorCode::kTooSlow, ApiErrorCode::kMalformedJson,
        ApiErrorCode::kInvalidField, ApiErrorCode::kUnknownVersion,
        ApiErrorCode::kNoTasks, ApiErrorCode::kTooManyTasks,
        ApiErrorCode::kNoSuchResource, ApiErrorCode::kMethodNotAllowed}) {
    ExpectRow(ToHttp(ApiError{.code = it}));
  }
}

TEST_F(ApiDocCodesTest, ListsTaskStates) {
  for (const auto it :
       {TaskState::kQueued, TaskState::kStarted, TaskState::kDone,
        TaskState::kFailed, TaskState::kNotRun, TaskState::kMayHaveRun}) {
    const auto row = "| `" + std::string(ToString(it)) + "` |";
    EXPECT_NE(page_.find(row), std::string::npos) << row;
  }
}

// The request was not read, so a job with its id may have run before and the
// response must not say "not run".
TEST_F(ApiDocAnswerTest, IsUndecidedWhenTooManyConnectionsAreOpen) {
  const auto response = ToHttp(HttpFault::kTooManyConnections);
  EXPECT_EQ(response.status, 504);
  const auto body = ParseJson(response.body).value();
  EXPECT_EQ(body.at("state").as_string(), "undecided");
  EXPECT_FALSE(body.as_object().contains("not_run"));
  EXPECT_TRUE(body.as_object().contains("retry_after_ms"));
}

}  // namespace
}  // namespace boragecroft
