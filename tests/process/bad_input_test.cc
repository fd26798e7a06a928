// Guards against requests that violate the callers' interface. Each of them is
// answered with an error code and "not_run", and the daemon continues to serve.
#include <boost/json/serialize.hpp>

#include "core/json/text.h"
#include "tests/lab/raw_connection.h"
#include "tests/process/process_fixture.h"

namespace boragecroft::lab {
namespace {

namespace json = boost::json;

constexpr milliseconds kReadIdleTimeout{1000};
constexpr milliseconds kSlowSenderTimeout{20000};
constexpr size_t kOversizedBodyBytes = 9U << 20U;

auto OneZoneOptions() -> ClusterOptions {
  auto options = MakeFixtureOptions();
  options.zones = {"bilbao"};
  return options;
}

class InvalidRequests : public ProcessFixture {
 protected:
  InvalidRequests() : ProcessFixture(OneZoneOptions()) {}

  static auto RequestHead(size_t length) -> std::string {
    return "POST /v1/jobs HTTP/1.1\r\nHost: test\r\nContent-Type: "
           "application/json\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n";
  }

  static auto ParseResponseBody(const std::string& response) -> json::value {
    const auto at = response.find("\r\n\r\n");
    auto body =
        ParseJson(at == std::string::npos ? "" : response.substr(at + 4));
    return body.has_value() ? body.value() : json::value();
  }

  static auto ExpectNotRun(const json::value& body, std::string_view code)
      -> void {
    ASSERT_TRUE(body.is_object()) << code;
    EXPECT_TRUE(body.at("not_run").as_bool());
    EXPECT_EQ(body.at("state").as_string(), "refused");
    EXPECT_EQ(body.at("error").at("code").as_string(), code);
  }

  // Expects that the daemon still serves a valid job, and that none of the
  // requests before it started a task.
  auto ExpectServesNextJob() -> void {
    const auto job = NewJob(0, 2, 10);
    EXPECT_EQ(Submit(Callers(0), job, seconds(5)).Text("state"), "done");
    EXPECT_EQ(cluster.CountStarts().total, 2);
  }

  auto ExpectRefused(const std::string& text, int status, std::string_view code)
      -> void {
    const auto reply = Send(Callers(0), "POST", "/v1/jobs", text, seconds(10));
    EXPECT_EQ(reply.status, status);
    ExpectNotRun(reply.body, code);
  }
};

TEST_F(InvalidRequests, AreRejectedWithSpecificErrorWhenSubmissionIsInvalid) {
  ExpectRefused("{\"schema_version\": 2, \"id\":", 400, "malformed_json");
  ExpectRefused("[1, 2]", 422, "invalid_field");
  auto wrong_type = ToBody(NewJob(0, 1, 10));
  wrong_type["partner"] = 7;
  ExpectRefused(json::serialize(wrong_type), 422, "invalid_field");
  auto unknown_version = ToBody(NewJob(0, 1, 10));
  unknown_version["schema_version"] = 99;
  ExpectRefused(json::serialize(unknown_version), 422, "unknown_version");
  ExpectRefused(json::serialize(ToBody(NewJob(0, 2001, 10))), 422,
                "too_many_tasks");
  ExpectServesNextJob();
}

TEST_F(InvalidRequests, AreAnsweredWithAllowedMethodWhenMethodIsWrong) {
  const auto id = NewJob(0, 1, 10).id;
  const std::pair<std::string, std::string> resources[] = {
      {"DELETE /v1/ids", "POST"},
      {"PUT /v1/jobs", "POST"},
      {"POST /v1/jobs/" + id, "GET"},
      {"GET /v1/jobs/" + id + "/cancel", "POST"}};
  for (const auto& [request, allowed] : resources) {
    const RawConnection connection(Callers(0));
    connection.Send(request + " HTTP/1.1\r\nHost: test\r\n\r\n");
    const auto response = connection.ReadAll(kReadIdleTimeout);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 405")) << response;
    EXPECT_NE(response.find("\r\nAllow: " + allowed + "\r\n"),
              std::string::npos)
        << response;
    ExpectNotRun(ParseResponseBody(response), "method_not_allowed");
  }
  ExpectServesNextJob();
}

TEST_F(InvalidRequests, AreRejectedBeforeReadingWhenBodyIsTooLarge) {
  const RawConnection connection(Callers(0));
  connection.Send(RequestHead(kOversizedBodyBytes));
  const auto response = connection.ReadAll(kReadIdleTimeout);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 413")) << response;
  ExpectNotRun(ParseResponseBody(response), "body_too_large");
  ExpectServesNextJob();
}

TEST_F(InvalidRequests, AreRejectedWhenBytesAreNotHttp) {
  const RawConnection connection(Callers(0));
  connection.Send("\x16\x03\x01 this is not HTTP\r\n\r\n");
  const auto response = connection.ReadAll(kReadIdleTimeout);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 400")) << response;
  ExpectNotRun(ParseResponseBody(response), "malformed_http");
  ExpectServesNextJob();
}

TEST_F(InvalidRequests, TimeOutWhenBodyIsIncomplete) {
  const auto body = json::serialize(ToBody(NewJob(0, 1, 10)));
  const RawConnection connection(Callers(0));
  connection.Send(RequestHead(body.size()) + body.substr(0, body.size() / 2));
  const auto response = connection.ReadAll(kSlowSenderTimeout);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 408")) << response;
  ExpectNotRun(ParseResponseBody(response), "too_slow");
  ExpectServesNextJob();
}

TEST_F(InvalidRequests, AreRejectedWhenSenderClosesWithinBody) {
  const auto body = json::serialize(ToBody(NewJob(0, 1, 10)));
  const RawConnection connection(Callers(0));
  connection.Send(RequestHead(body.size()) + body.substr(0, body.size() / 2));
  connection.CloseSending();
  const auto response = connection.ReadAll(kReadIdleTimeout);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 400")) << response;
  ExpectNotRun(ParseResponseBody(response), "malformed_http");
  ExpectServesNextJob();
}

TEST_F(InvalidRequests, AreNotReportedWhenSenderHalfClosesAfterBody) {
  const auto job = NewJob(0, 1, 10);
  const auto body = json::serialize(ToBody(job));
  const RawConnection connection(Callers(0));
  connection.Send(RequestHead(body.size()) + body);
  connection.CloseSending();
  const auto response = connection.ReadAll(kReadIdleTimeout);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 202")) << response;
  EXPECT_EQ(
      AwaitFinal(Callers(0), job.id, job.partner, seconds(10)).Text("state"),
      "done");
}

}  // namespace
}  // namespace boragecroft::lab
