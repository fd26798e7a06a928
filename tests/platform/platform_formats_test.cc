// Checks that the platform's formats are read and written as in the examples of
// its published protocol.
#include <gtest/gtest.h>

#include "platform/base64.h"
#include "platform/configuration.h"
#include "platform/evacuation_rows.h"
#include "platform/group_rows.h"
#include "platform/ingress.h"
#include "platform/settings.h"
#include "platform/store_client.h"
#include "platform/worker_orders.h"

namespace boragecroft::platform {
namespace {

TEST(PlatformSettingsTest, ParsesAddressesAndZones) {
  const auto settings = ParseSettings(
      "node_name=n1\nzone=z1\nzones.z1=r\nzones.z2=r\nnew.field=1\n"
      "listen.frontend=10.0.0.1:1\nlisten.readiness=10.0.0.1:2\n"
      "listen.control=10.0.0.1:3\nplatform.addr=10.0.0.9:4\n"
      "seeds=10.0.0.1:3,10.0.0.2:3\nlimits.max_fds=4100\n");
  ASSERT_TRUE(settings.has_value());
  EXPECT_EQ(settings.value().zones, (std::vector<std::string>{"z1", "z2"}));
  EXPECT_EQ(settings.value().seeds.size(), 2);
  EXPECT_EQ(settings.value().max_descriptors, 4100);
}

TEST(PlatformSettingsTest, RejectsInvalidAddressWithFieldAndValue) {
  const auto settings = ParseSettings(
      "node_name=n1\nzone=z1\nlisten.frontend=here\n"
      "listen.readiness=10.0.0.1:2\nlisten.control=10.0.0.1:3\n"
      "platform.addr=10.0.0.9:4\n");
  ASSERT_TRUE(settings.has_error());
  ASSERT_EQ(settings.error().size(), 1);
  EXPECT_EQ(settings.error()[0].field, "listen.frontend");
  EXPECT_EQ(settings.error()[0].found, "here");
}

TEST(PlatformSettingsTest, ParsesBoundOfEvacuations) {
  const std::string text =
      "node_name=f-1\nzone=north\nlisten.frontend=10.0.0.1:80\n"
      "listen.readiness=10.0.0.1:81\nlisten.control=10.0.0.1:82\n"
      "platform.addr=10.0.0.2:80\n";
  EXPECT_EQ(ParseSettings(text).value().evacuation_bound, milliseconds{0});
  EXPECT_EQ(ParseSettings(text + "bounds.evacuate_ms=5000\n")
                .value()
                .evacuation_bound,
            milliseconds{5000});
  EXPECT_TRUE(ParseSettings(text + "bounds.evacuate_ms=5s\n").has_error());
}

TEST(EvacuationRowTest, NamesZoneInItsKey) {
  const auto row =
      DecodeEvacuation({.key = "evacuate/a/b", .value = "{}", .version = 7});
  ASSERT_TRUE(row);
  EXPECT_EQ(row->evacuation, (Evacuation{"a/b", 7, true}));
  EXPECT_TRUE(row->value_readable);
  const auto deleted =
      DecodeEvacuation({.key = "evacuate/a", .version = 8, .deleted = true});
  ASSERT_TRUE(deleted);
  EXPECT_EQ(deleted->evacuation, (Evacuation{"a", 8, false}));
  EXPECT_TRUE(deleted->value_readable);
  EXPECT_FALSE(DecodeEvacuation({.key = "config", .value = "{}"}));
  EXPECT_FALSE(DecodeEvacuation({.key = "evacuate", .value = "{}"}));
  const auto written = EncodeEvacuation({"a/b", 7, true});
  EXPECT_EQ(DecodeEvacuation(written)->evacuation, row->evacuation);
}

// Guards against starts in a zone whose operator made a mistake in the value.
TEST(EvacuationRowTest, EvacuatesItsZoneWhenItsValueIsUnreadable) {
  for (const auto& value :
       {std::optional<std::string>(), std::optional<std::string>("[]"),
        std::optional<std::string>("{")}) {
    const auto row = DecodeEvacuation({.key = "evacuate/a", .value = value});
    ASSERT_TRUE(row);
    EXPECT_TRUE(row->evacuation.active);
    EXPECT_FALSE(row->value_readable);
  }
}

TEST(AllZonesEvacuated, IsAnsweredAsNotRunWithTimeOfRetry) {
  const auto response = EncodeAllEvacuated(milliseconds{5000});
  EXPECT_EQ(response.status, 503);
  EXPECT_NE(response.body.find("not run: all availability zones"),
            std::string::npos);
  EXPECT_EQ(FindHeader(response.headers, "Retry-After"), "5");
}

TEST(Base64Test, RoundTripsAndRejectsInvalidText) {
  for (const std::string text : {"", "n", "no", "nod", "node", "\xff\x00z"}) {
    EXPECT_EQ(DecodeBase64(EncodeBase64(text)), text);
  }
  EXPECT_EQ(EncodeBase64("node-1"), "bm9kZS0x");
  EXPECT_FALSE(DecodeBase64("bm9k*S0x"));
  EXPECT_FALSE(DecodeBase64("bm9"));
}

TEST(PlatformConfigurationTest, DecodesRoutesAndLimits) {
  const auto table = DecodeConfiguration(
      R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
      R"("kind":"non_idempotent","timeout_ms":1500,"target_duration_ms":60,)"
      R"("priority":2,"service":"s","max_attempts":3,"slack_factor":1.6}],)"
      R"("services":[{"name":"s"}],"limits":{"max_body_bytes":1000}})");
  ASSERT_TRUE(table.has_value());
  EXPECT_EQ(table.value().version, 7);
  EXPECT_EQ(table.value().routes[0].slack_factor, 1.6);
  EXPECT_EQ(table.value().routes[0].target, milliseconds{60});
  EXPECT_EQ(table.value().limits.max_body_bytes, 1000);
}

// Guards against limits of op/config that are read and not applied, or that a
// row leaves out.
TEST(PlatformConfigurationTest, ReadsLimitsOfRequests) {
  const auto read = [](const std::string& limits) {
    return DecodeConfiguration(R"({"version":1,"routes":[],"services":[],)"
                               R"("limits":)" +
                               limits + "}")
        .value()
        .limits;
  };
  const auto given = read(R"({"max_header_bytes":9000,"header_timeout_ms":70,)"
                          R"("idle_timeout_ms":80})");
  EXPECT_EQ(given.max_header_bytes, 9000);
  EXPECT_EQ(given.max_body_bytes, 262144);
  EXPECT_EQ(given.header_timeout, milliseconds{70});
  EXPECT_EQ(given.idle_timeout, milliseconds{80});
  EXPECT_EQ(read(R"({"max_header_bytes":0})").max_header_bytes, 16384);
}

TEST(PlatformConfigurationTest, RejectsInvalidFieldAndInvalidJson) {
  EXPECT_TRUE(DecodeConfiguration(R"({"version":"x"})").has_error());
  EXPECT_TRUE(DecodeConfiguration("{").has_error());
}

constexpr auto kWorker =
    R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","version":"v1",)"
    R"("slots":8,"state":"ready","cold_left_ms":0,"born":5,)"
    R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},)"
    R"("labels":["a","r1-3"],"clock_ms":482113,"seq":4})";

TEST(WorkerReportTest, DecodesCapacityKindAndState) {
  const auto worker = DecodeWorker("i-1", kWorker);
  ASSERT_TRUE(worker.has_value());
  EXPECT_EQ(worker.value().capacity.cpu_millis, 16000);
  EXPECT_EQ(worker.value().kind, "a");
  EXPECT_EQ(worker.value().started_at, milliseconds{5});
  EXPECT_FALSE(worker.value().draining);
}

TEST(WorkerReportTest, RejectsMissingFieldsAndUnknownState) {
  EXPECT_TRUE(DecodeWorker("i-1", R"({"service":"s"})").has_error());
  EXPECT_TRUE(DecodeWorker("i-1", "\xff").has_error());
  std::string report_with_unknown_state = kWorker;
  report_with_unknown_state.replace(report_with_unknown_state.find("ready"), 5,
                                    "weird");
  EXPECT_TRUE(DecodeWorker("i-1", report_with_unknown_state).has_error());
}

auto Decode(const std::string& body, const std::string& wait = "900") {
  Route route{.name = "r", .service = "s", .timeout = milliseconds{1500}};
  HttpRequest request;
  if (!wait.empty()) {
    request.headers.push_back({"Deadline-Ms", wait});
  }
  request.body = body;
  return DecodeSubmission(route, JobName{1}, request);
}

// Returns how long the caller of a job with this Deadline-Ms header waits.
// Nullopt when the request is rejected.
auto WaitOf(const std::string& header) -> std::optional<milliseconds> {
  const auto job =
      Decode(R"({"best_effort":true,"steps":[{"count":1}]})", header);
  if (job.has_error()) {
    return std::nullopt;
  }
  return std::get<JobOffer>(job.value()).remaining;
}

// Guards against long jobs that were stopped, or refused as hopeless, after the
// timeout of their route, although workers were free and their callers said
// that they wait for longer.
TEST(CallerWaitTest, IsWhatCallerStatesEvenIfRouteTimeoutIsShorter) {
  EXPECT_EQ(WaitOf("40165"), milliseconds{40165});
  EXPECT_EQ(WaitOf("900"), milliseconds{900});
  EXPECT_EQ(WaitOf("2317.5"), milliseconds{2317});
  {
    SCOPED_TRACE("the route's timeout stands in for callers that state none");
    EXPECT_EQ(WaitOf(""), milliseconds{1500});
  }
}

TEST(CallerWaitTest, IsBoundedForAnyHeader) {
  for (const auto* it : {"700000", "1e300", "9223372036854775807",
                         "99999999999999999999999", "inf"}) {
    EXPECT_EQ(WaitOf(it), milliseconds{600'000}) << it;
  }
}

TEST(CallerWaitTest, RejectsHeaderThatStatesNoWait) {
  for (const auto* it : {"0", "-5", "0.5", "nan", "soon", "15 00", "1500ms"}) {
    EXPECT_FALSE(WaitOf(it)) << it;
  }
  const auto job =
      Decode(R"({"best_effort":true,"steps":[{"count":1}]})", "soon");
  ASSERT_TRUE(job.has_error());
  EXPECT_EQ(job.error()[0].field, "Deadline-Ms");
  EXPECT_EQ(job.error()[0].found, "soon");
}

TEST(SubmissionTest, DecodesTasksAndDeadline) {
  const auto job =
      Decode(R"({"spec":"t","best_effort":true,"steps":[{"count":4,"cpu":500,)"
             R"("mem_mb":256,"est_runtime_ms":900,"affinity":"r1-3"}]})");
  ASSERT_TRUE(job.has_value());
  const auto& offer = std::get<JobOffer>(job.value());
  EXPECT_EQ(offer.count, 4);
  EXPECT_EQ(offer.needs.cpu_millis, 500);
  EXPECT_EQ(offer.run_estimate, milliseconds{900});
  EXPECT_EQ(offer.remaining, milliseconds{900});
}

TEST(SubmissionTest, ReportsUnsupportedJob) {
  const auto is_unsupported = [](const std::string& body) {
    const auto job = Decode(body);
    return job.has_value() &&
           std::holds_alternative<UnsupportedJob>(job.value());
  };
  EXPECT_TRUE(is_unsupported(R"({"spec":"t","steps":[{"count":4}]})"));
  EXPECT_TRUE(is_unsupported(
      R"({"best_effort":true,"steps":[{"count":4},{"count":1,"after":[0]}]})"));
  EXPECT_TRUE(is_unsupported(
      R"({"best_effort":true,"steps":[{"count":4,"gang":true}]})"));
  EXPECT_TRUE(is_unsupported(
      R"({"best_effort":true,"steps":[{"count":4,"max_per_server":2}]})"));
}

TEST(SubmissionTest, RejectsInvalidCountAndInvalidJson) {
  const auto job = Decode(R"({"best_effort":true,"steps":[{"count":"x"}]})");
  ASSERT_TRUE(job.has_error());
  EXPECT_EQ(job.error()[0].field, "steps[0].count");
  EXPECT_TRUE(Decode("{").has_error());
  EXPECT_TRUE(
      Decode(R"({"best_effort":true,"steps":[{"count":0}]})").has_error());
}

TEST(JobNameTest, AcceptsOnlySixteenHexadecimalDigits) {
  EXPECT_EQ(ToString(*ParseJobName("0c0e7a21d94b36f8")), "0c0e7a21d94b36f8");
  EXPECT_FALSE(ParseJobName("0c0e7a21d94b36f"));
  EXPECT_FALSE(ParseJobName("0c0e7a21d94b36fg"));
}

TEST(TaskNameTest, RoundTripsJobAndIndex) {
  const TaskName task{.job = JobName{0x5c0e7a21d94b36f8}, .index = 17};
  EXPECT_EQ(ToString(task), "5c0e7a21d94b36f8.0.0.17");
  EXPECT_EQ(ParseTaskName("5c0e7a21d94b36f8.0.0.17"), task);
  EXPECT_FALSE(ParseTaskName("5c0e7a21d94b36f8.0.1.17"));
  EXPECT_FALSE(ParseTaskName("5c0e7a21d94b36f8.0.0."));
}

TEST(StartOrderTest, EncodesTokenAttemptAndLease) {
  StartCommand order;
  order.target.worker = "i-1";
  order.target.token = 7;
  order.task = {.job = JobName{1}, .index = 2};
  order.attempt = 3;
  order.spec = std::make_shared<const std::string>("a \"b\"");
  order.lease = milliseconds{486000};
  const auto request = EncodeOrder(order);
  EXPECT_EQ(request.target, "/run-start");
  EXPECT_EQ(FindHeader(request.headers, "Expect-Instance"), "i-1");
  EXPECT_EQ(request.body,
            R"({"task":"0000000000000001.0.0.2","attempt":3,"spec":"a \"b\"",)"
            R"("expires_ms":486000,"fencing_token":7})");
}

TEST(OrderAnswerTest, IsDecodedFromStatusAndReason) {
  const auto read = [](int status, const std::string& body) {
    HttpResponse response;
    response.status = status;
    response.body = body;
    return DecodeAnswer(response).answer;
  };
  EXPECT_EQ(read(200, R"({"clock_ms":1})"), OrderAnswer::kAccepted);
  EXPECT_EQ(read(409, R"({"reason":"fence"})"), OrderAnswer::kFenced);
  EXPECT_EQ(read(409, R"({"reason":"room"})"), OrderAnswer::kNoCapacity);
  EXPECT_EQ(read(409, R"({"reason":"old"})"), OrderAnswer::kStaleAttempt);
  EXPECT_EQ(read(409, R"({"reason":"late"})"), OrderAnswer::kLeaseExpired);
  EXPECT_EQ(read(421, ""), OrderAnswer::kMoved);
  // Such an answer does not say that nothing ran.
  EXPECT_EQ(read(500, ""), OrderAnswer::kNoAnswer);
  EXPECT_EQ(read(504, "{"), OrderAnswer::kNoAnswer);
  EXPECT_EQ(read(503, ""), OrderAnswer::kUnhealthy);
  EXPECT_EQ(read(400, ""), OrderAnswer::kInvalid);
}

TEST(RunReportTest, DecodesRunningAndEndedRuns) {
  const auto report = DecodeRunReport(
      R"({"clock_ms":482113,"born":9,"running":)"
      R"([["5c0e7a21d94b36f8.0.0.17",2,"00000bb87a21d94b",41]],"finished":)"
      R"([[58,"5c0e7a21d94b36f8.0.0.9",1,"done",""]]})");
  ASSERT_TRUE(report);
  EXPECT_EQ(report->started_at, milliseconds{9});
  ASSERT_EQ(report->running.size(), 1);
  EXPECT_EQ(report->running[0].attempt, 2);
  ASSERT_EQ(report->ended.size(), 1);
  EXPECT_EQ(report->ended[0].sequence, 58);
  EXPECT_EQ(report->ended[0].end, RunEnd::kDone);
  EXPECT_FALSE(DecodeRunReport(R"({"clock_ms":1})"));
}

TEST(RowPageTest, DecodesRowsWithVersions) {
  const auto page = DecodeRowPage(
      R"({"rows":[{"table":"my","part":"p7","key":"owner",)"
      R"("value":"bm9kZS0x","ver":412},{"table":"my","part":"","key":"k",)"
      R"("ver":413,"deleted":true}],"has_more":false,"ver":530,"now_ms":1})");
  ASSERT_TRUE(page.has_value());
  EXPECT_EQ(page.value().version, 530);
  EXPECT_EQ(page.value().rows[0].value, "node-1");
  EXPECT_TRUE(page.value().rows[1].deleted);
  EXPECT_TRUE(DecodeRowPage("[]").has_error());
}

TEST(GroupRowTest, RoundTripsHolderAndSuccessors) {
  const InstanceRef holder{.name = "n",
                           .zone = "z",
                           .address = {.ip = "10.0.0.1", .port = 3},
                           .incarnation = Incarnation{0xabc}};
  const GroupRow row{.group = "g",
                     .holder = holder,
                     .token = 10,
                     .successors = {{holder, 11}},
                     .highest_token = 12,
                     .version = 4};
  const auto written = EncodeGroupRow(row);
  EXPECT_EQ(written.expected_version, 4);
  const auto read = DecodeGroupRow(
      StoreRow{.key = written.key, .value = written.value, .version = 5});
  ASSERT_TRUE(read);
  EXPECT_EQ(read->holder, holder);
  EXPECT_EQ(read->token, 10);
  EXPECT_EQ(read->successors, row.successors);
  EXPECT_EQ(read->highest_token, 12);
  EXPECT_EQ(read->version, 5);
  EXPECT_FALSE(DecodeGroupRow(StoreRow{.key = "g", .value = "{}"}));
}

}  // namespace
}  // namespace boragecroft::platform
