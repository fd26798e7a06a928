// Checks that the decoder of endpoint answers survives invalid input and
// rejects every answer that does not carry the id of the attempt. Otherwise the
// answer to one task could be returned as the result of another.
#include <gtest/gtest.h>

#include "core/json/text.h"
#include "peers/endpoint/endpoint_codec.h"
#include "tests/peers/mutation.h"

namespace boragecroft {
namespace {

const AttemptId kId{
    .task = {.job = {.incarnation = Incarnation{0x9f3c},
                     .sequence = 7,
                     .minted = WallTime(milliseconds(1760000000000))},
             .index = 3}};

auto GenerateStatus() -> int {
  return *rc::gen::elementOf(
      std::vector<int>{200, 204, 404, 409, 422, 429, 500, 503});
}

auto GenerateBody(const std::string& id) -> std::string {
  const auto state = *rc::gen::elementOf(
      std::vector<std::string>{"done", "failed", "refused", "running",
                               "unknown", "stopped", "not_started", "other"});
  const auto rest = *rc::gen::elementOf(std::vector<std::string>{
      "", R"(,"result":{"pages":2})", R"(,"reason":"busy")",
      R"(,"reason":"draining")", R"(,"reason":"cannot_run")",
      R"(,"reason":"stopped")", R"(,"result":1,"reason":2)"});
  return R"({"task":")" + id + R"(","state":")" + state + "\"" + rest + "}";
}

auto CheckOutcome(const AttemptOutcome& outcome) -> void {
  RC_ASSERT(outcome.id == kId);
  if (outcome.end == ExchangeEnd::kDone) {
    RC_ASSERT(ParseJson(outcome.text).has_value());
  }
}

auto MakeAnswer(std::string body) -> Result<HttpResponse, HttpError> {
  HttpResponse response;
  response.status = GenerateStatus();
  response.body = std::move(body);
  return response;
}

RC_GTEST_PROP(EndpointCodecFuzzTest, RejectsRandomBytes, ()) {
  const auto answer = MakeAnswer(*rc::gen::arbitrary<std::string>());
  RC_ASSERT(DecodeStartAnswer(kId, answer).end == ExchangeEnd::kProtocol);
  RC_ASSERT(DecodeQueryAnswer(kId, answer).end == ExchangeEnd::kProtocol);
}

RC_GTEST_PROP(EndpointCodecFuzzTest, RejectsAnswersForOtherTasks, ()) {
  const auto other = *rc::gen::elementOf(std::vector<std::string>{
      "", "x", ToString(kId) + "#1", ToString(kId) + "0"});
  const auto answer = MakeAnswer(GenerateBody(other));
  RC_ASSERT(DecodeStartAnswer(kId, answer).end == ExchangeEnd::kProtocol);
  RC_ASSERT(DecodeQueryAnswer(kId, answer).end == ExchangeEnd::kProtocol);
}

TEST(EndpointCodecTest, ReadsFreeSlotsOnlyWhenValid) {
  const auto free_slots = [](const std::string& member) {
    HttpResponse response;
    response.body =
        R"({"task":")" + ToString(kId) + R"(","state":"failed")" + member + "}";
    const auto outcome = DecodeStartAnswer(kId, std::move(response));
    EXPECT_EQ(outcome.end, ExchangeEnd::kFailed) << member;
    return outcome.free_slots;
  };
  EXPECT_EQ(free_slots(R"(,"free_slots":3)"), 3U);
  for (const auto* it : {"", R"(,"free_slots":-1)", R"(,"free_slots":"3")",
                         R"(,"free_slots":1.5)", R"(,"free_slots":1e30)"}) {
    EXPECT_EQ(free_slots(it), std::nullopt) << it;
  }
}

RC_GTEST_PROP(EndpointCodecFuzzTest, HandlesDamagedAnswers, ()) {
  const auto answer = MakeAnswer(Mutate(GenerateBody(ToString(kId))));
  CheckOutcome(DecodeStartAnswer(kId, answer));
  CheckOutcome(DecodeQueryAnswer(kId, answer));
}

// A refusal with the reason other_incarnation proves that the refused start did
// not run. As the answer to a query it proves nothing, because the attempt may
// have run in the previous incarnation of the endpoint.
TEST(EndpointCodecTest, RefusalByOtherIncarnationLeavesEarlierStartUncertain) {
  HttpResponse response;
  response.body = R"({"task":")" + ToString(kId) +
                  R"(","incarnation":"b","state":"refused",)"
                  R"("reason":"other_incarnation"})";
  const auto start = DecodeStartAnswer(kId, response);
  EXPECT_TRUE(CertainlyNotStarted(start.end));
  EXPECT_EQ(start.incarnation, "b");
  const auto query = DecodeQueryAnswer(kId, response);
  EXPECT_FALSE(CertainlyNotStarted(query.end));
  EXPECT_EQ(query.incarnation, "b");
}

TEST(EndpointCodecTest, StartsAndQueriesNameTheirIncarnation) {
  StartAttempt start;
  start.incarnation = "a";
  start.payload = "1";
  QueryAttempt query;
  query.incarnation = "a";
  for (const auto& request : {EncodeStart(start), EncodeQuery(query)}) {
    const auto body = ParseJson(request.body).value();
    EXPECT_EQ(body.at("incarnation").as_string(), "a");
  }
}

}  // namespace
}  // namespace boragecroft
