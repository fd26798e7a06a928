#include "main/ctl/commands.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <map>
#include <sstream>
#include <thread>

#include "core/http/http_server.h"
#include "core/json/text.h"
#include "tests/main/source_files.h"

namespace boragecroft {
namespace {

constexpr auto kDeclarations = "deploy/cartas/declarations.jsonc";

// An instance that gives prepared answers and records the requests that it
// receives. It does not respond to a method and path without a prepared answer.
class FakeInstance {
 public:
  explicit FakeInstance(std::map<std::string, HttpResponse> answers)
      : answers_(std::move(answers)) {
    HttpServerCallbacks callbacks;
    callbacks.on_request = [this](HttpRequest request, HttpResponder respond) {
      const auto key =
          request.method + " " + std::string(TargetPath(request.target));
      requests.push_back(std::move(request));
      const auto it = answers_.find(key);
      if (it == answers_.end()) {
        unanswered_.push_back(std::move(respond));
        return;
      }
      respond(it->second);
    };
    server_ =
        HttpServer::Listen(context_, {.listen = {.ip = "127.0.0.1", .port = 0}},
                           std::move(callbacks))
            .value();
    address = {.ip = "127.0.0.1", .port = server_->Port()};
    thread_ = std::thread([this] { context_.run(); });
  }

  ~FakeInstance() { Stop(); }
  FakeInstance(const FakeInstance&) = delete;
  auto operator=(const FakeInstance&) -> FakeInstance& = delete;

  // Stops the instance, after which its requests can be read.
  auto Stop() -> void {
    context_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
    unanswered_.clear();
    server_.reset();
  }

  Address address;
  std::vector<HttpRequest> requests;

 private:
  std::map<std::string, HttpResponse> answers_;
  std::vector<HttpResponder> unanswered_;
  boost::asio::io_context context_;
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
};

class CommandsTest : public testing::Test {
 protected:
  auto Run(Command command, std::vector<Address> instances) -> ExitCode {
    line_.command = command;
    line_.instances = std::move(instances);
    return RunCommand(line_, out_, err_);
  }

  // Returns an address at which nothing listens.
  static auto UnusedAddress() -> Address {
    FakeInstance stopped_instance({});
    stopped_instance.Stop();
    return stopped_instance.address;
  }

  CommandLine line_;
  std::ostringstream out_;
  std::ostringstream err_;
};

TEST_F(CommandsTest, CheckErrorNamesFileAndField) {
  line_.operand = SourcePath(kDeclarations);
  EXPECT_EQ(Run(Command::kCheck, {}), ExitCode::kOk);
  line_.operand = SourcePath("deploy/cartas/daemon.jsonc");
  EXPECT_EQ(Run(Command::kCheck, {}), ExitCode::kRefused);
  EXPECT_NE(err_.str().find("daemon.jsonc: schema_version: found nothing"),
            std::string::npos);
  line_.operand = SourcePath("no-such-file");
  EXPECT_EQ(Run(Command::kCheck, {}), ExitCode::kUsage);
}

TEST_F(CommandsTest, JobsListPrintsATableOrJson) {
  const std::string body =
      R"({"jobs":[{"id":"1","partner":"banco","tasks":3}]})";
  FakeInstance instance({{"GET /v1/jobs", {.body = body}}});
  line_.partner = "banco";
  line_.limit = 5;
  EXPECT_EQ(Run(Command::kJobsList, {instance.address}), ExitCode::kOk);
  EXPECT_EQ(out_.str().substr(0, 14), "id  partner  s");
  line_.output = OutputFormat::kJson;
  EXPECT_EQ(Run(Command::kJobsList, {instance.address}), ExitCode::kOk);
  instance.Stop();
  EXPECT_EQ(instance.requests.front().target, "/v1/jobs?partner=banco&limit=5");
}

TEST_F(CommandsTest, ApplyExpectsTheActiveVersionByDefault) {
  FakeInstance instance(
      {{"GET /v1/configuration", {.body = R"({"version":7,"document":{}})"}},
       {"PUT /v1/configuration", {.body = R"({"version":8})"}}});
  line_.operand = SourcePath(kDeclarations);
  EXPECT_EQ(Run(Command::kApply, {UnusedAddress(), instance.address}),
            ExitCode::kOk);
  instance.Stop();
  const auto put = ParseJson(instance.requests.back().body).value();
  EXPECT_EQ(put.at("expected_version"), 7);
  EXPECT_EQ(put.at("operation_id").as_string().size(), 32U);
  EXPECT_EQ(put.at("document").at("deployment"), "cartas");
}

TEST_F(CommandsTest, SendsSameOperationToNextInstanceWhenAnswerIsLost) {
  FakeInstance unresponsive({});
  FakeInstance other({{"PUT /v1/configuration", {.body = R"({"version":8})"}}});
  line_.operand = SourcePath(kDeclarations);
  line_.expected_version = 7;
  line_.timeout = milliseconds(200);
  EXPECT_EQ(Run(Command::kApply, {unresponsive.address, other.address}),
            ExitCode::kOk);
  unresponsive.Stop();
  other.Stop();
  ASSERT_EQ(unresponsive.requests.size(), 1U);
  EXPECT_EQ(unresponsive.requests.front().body, other.requests.front().body);
}

TEST_F(CommandsTest, RetriesUndecidedApplyAndPrintsHowToRepeatIt) {
  FakeInstance instance(
      {{"PUT /v1/configuration",
        {.status = 503, .body = R"({"error":{"code":"undecided"}})"}}});
  line_.operand = SourcePath(kDeclarations);
  line_.expected_version = 7;
  line_.operation_id = std::string(32, 'a');
  EXPECT_EQ(Run(Command::kApply, {instance.address}), ExitCode::kUndecided);
  EXPECT_NE(err_.str().find("--expected-version 7 --operation-id aaaa"),
            std::string::npos);
  instance.Stop();
  ASSERT_EQ(instance.requests.size(), 3U);
  EXPECT_EQ(instance.requests.front().body, instance.requests.back().body);
}

TEST_F(CommandsTest, ExitCodesDistinguishRefusedUnreachableAndUndecided) {
  FakeInstance instance(
      {{"PUT /v1/configuration",
        {.status = 409,
         .body = R"({"error":{"code":"version_conflict","version":9}})"}},
       {"POST /v1/drain",
        {.status = 503, .body = R"({"error":{"code":"undecided"}})"}}});
  line_.operand = SourcePath(kDeclarations);
  line_.expected_version = 7;
  line_.timeout = milliseconds(200);
  EXPECT_EQ(Run(Command::kApply, {instance.address}), ExitCode::kRefused);
  EXPECT_NE(err_.str().find("version_conflict"), std::string::npos);
  EXPECT_EQ(Run(Command::kDrain, {instance.address}), ExitCode::kUndecided);
  EXPECT_EQ(Run(Command::kDrain, {UnusedAddress()}), ExitCode::kUnreachable);

  FakeInstance unresponsive({});
  EXPECT_EQ(Run(Command::kApply, {unresponsive.address}), ExitCode::kUndecided);
  EXPECT_EQ(Run(Command::kDump, {unresponsive.address}),
            ExitCode::kUnreachable);
}

TEST_F(CommandsTest, ShowOutputEqualsDocumentAndDiffListsChanges) {
  const auto document =
      ParseJsonWithComments(ReadSource(kDeclarations)).value();
  const auto body =
      ToJsonText(json::object{{"version", 7}, {"document", document}});
  FakeInstance instance({{"GET /v1/configuration", {.body = body}}});
  EXPECT_EQ(Run(Command::kShow, {instance.address}), ExitCode::kOk);
  EXPECT_EQ(ParseJsonWithComments(out_.str()).value(), document);

  out_.str("");
  line_.operand = SourcePath(kDeclarations);
  EXPECT_EQ(Run(Command::kDiff, {instance.address}), ExitCode::kOk);
  EXPECT_EQ(out_.str(), "");
  line_.operand = SourcePath("deploy/logbook/declarations.jsonc");
  EXPECT_EQ(Run(Command::kDiff, {instance.address}), ExitCode::kOk);
  EXPECT_NE(out_.str().find("removed zones[bilbao]"), std::string::npos);
}

}  // namespace
}  // namespace boragecroft
