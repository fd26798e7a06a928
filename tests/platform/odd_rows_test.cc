// Passes entries of another writer to the decoders of the platform's rows: deep
// nesting, numbers out of range, wrong types, missing fields, invalid UTF-8.
// Each must be refused with a reason, and the other rows must be read.
#include <gtest/gtest.h>
// RapidCheck's header must be included after GoogleTest's.
#include <rapidcheck/gtest.h>

#include "core/json/text.h"
#include "platform/base64.h"
#include "platform/configuration.h"
#include "platform/group_rows.h"
#include "platform/ingress.h"
#include "platform/settings.h"
#include "platform/store_client.h"
#include "platform/tables.h"
#include "platform/worker_orders.h"
#include "servers/scheduling/placement.h"

namespace boragecroft::platform {
namespace {

auto Nested(size_t depth) -> std::string {
  return std::string(depth, '[') + std::string(depth, ']');
}

auto EntryWith(const std::string& addr, const std::string& cpu) -> std::string {
  return R"({"service":"s","addr":")" + addr +
         R"(","zone":"z","state":"ready","born":5,"capacity":{"cpu":)" + cpu +
         R"(,"mem_mb":1000,"gpu":0},"labels":["a","r1"]})";
}

TEST(OddWorkerEntry, NamesNoWorker) {
  ASSERT_TRUE(DecodeWorker("w", EntryWith("10.0.0.9:80", "16000")).has_value());
  for (const auto& text :
       {EntryWith("10.0.0.9:0", "16000"), EntryWith("10.0.0.9:-1", "16000"),
        EntryWith("10.0.0.9:70000", "16000"), EntryWith("10.0.0.9", "16000"),
        EntryWith("999.0.0.9:80", "16000"),
        EntryWith("10.0.0.9:80", "9223372036854775807"),
        EntryWith("10.0.0.9:80", "99999999999999999999"),
        EntryWith("10.0.0.9:80", "1e999"), EntryWith("10.0.0.9:80", "-1"),
        EntryWith("10.0.0.9:80", Nested(1000)), Nested(100'000),
        std::string(65'536, '{'), std::string("\xff\xfe"), std::string()}) {
    const auto entry = DecodeWorker("w", text);
    ASSERT_TRUE(entry.has_error()) << text.substr(0, 80);
    EXPECT_FALSE(entry.error().empty());
  }
}

// Guards against a worker that is lost because of its cold time, which only
// says how it is paced, and against one that is paced for ever.
TEST(OddWorkerEntry, IsKeptWhateverItsColdTimeSays) {
  const auto cold_ms = [](const std::string& text) -> int64_t {
    auto row = EntryWith("10.0.0.9:80", "16000");
    row.insert(1, R"("cold_left_ms":)" + text + ",");
    const auto entry = DecodeWorker("w", row);
    return entry.has_value() ? entry.value().cold_left.count() : -1;
  };
  const auto without = DecodeWorker("w", EntryWith("10.0.0.9:80", "16000"));
  EXPECT_EQ(without.value().cold_left, milliseconds{0});
  EXPECT_EQ(cold_ms("0"), 0);
  EXPECT_EQ(cold_ms("3000"), 3000);
  EXPECT_EQ(cold_ms("2999.7"), 2999);
  EXPECT_EQ(cold_ms("-1"), 0);
  EXPECT_EQ(cold_ms("-9223372036854775808"), 0);
  EXPECT_EQ(cold_ms("60001"), 60'000);
  EXPECT_EQ(cold_ms("9223372036854775807"), 60'000);
  EXPECT_EQ(cold_ms("1e300"), 60'000);
  for (const auto* text : {"null", "true", R"("3000")", "[3000]", "{}"}) {
    EXPECT_EQ(cold_ms(text), 0) << text;
  }
}

TEST(OddWorkerEntry, LeavesOtherRowsOfItsPage) {
  const auto page = DecodeRowPage(
      R"({"rows":[{"key":"a","value":")" + EncodeBase64(Nested(100'000)) +
      R"(","ver":3},7,{"key":"b","value":")" +
      EncodeBase64(EntryWith("10.0.0.9:80", "16000")) +
      R"(","ver":99999999999999999999},{"key":"c","value":"*","ver":4}],)" +
      R"("ver":9})");
  ASSERT_TRUE(page.has_value());
  ASSERT_EQ(page.value().rows.size(), 3);
  EXPECT_TRUE(
      DecodeWorker("b", page.value().rows[1].value.value()).has_value());
  EXPECT_FALSE(page.value().rows[2].value.has_value());
}

// Guards against the loss of the event loop: slots were counted one by one, so
// that one entry with an immense capacity stopped the process.
TEST(OddWorkerEntry, CountsSlotsOfImmenseWorkerAtOnce) {
  WorkerAccounts workers;
  auto& worker = workers["w"];
  worker.fenced = true;
  worker.entry.service = "s";
  worker.entry.capacity = {.cpu_millis = std::numeric_limits<int64_t>::max(),
                           .memory_mb = std::numeric_limits<int64_t>::max()};
  EXPECT_GT(CountSlots(workers, "s", {.cpu_millis = 1, .memory_mb = 1}), 0U);
}

// Guards against an overflow: the sum of what is used and of what a caller asks
// for became negative, so that the task seemed to fit.
TEST(OddRequest, DoesNotFitByOverflow) {
  const Resources capacity{.cpu_millis = 32'000, .memory_mb = 64'000};
  const Resources used{.cpu_millis = 14'000, .memory_mb = 64};
  const Resources needs{.cpu_millis = std::numeric_limits<int64_t>::max()};
  EXPECT_FALSE(Fits(capacity, used, needs));
}

TEST(OddRequest, IsRefusedWithItsField) {
  HttpRequest request;
  request.body =
      R"({"best_effort":true,"steps":[{"count":1,"cpu":9223372036854775807}]})";
  const auto decoded = DecodeSubmission(Route(), JobName{1}, request);
  ASSERT_TRUE(decoded.has_error());
  EXPECT_NE(decoded.error()[0].field.find("cpu"), std::string::npos);
}

TEST(OddGroupRow, IsIgnoredWhenItsTermIsOutOfRange) {
  GroupRow row;
  row.group = "z";
  row.holder.address = {.ip = "10.0.0.1", .port = 7};
  row.token = 5;
  auto encoded = EncodeGroupRow(row).value;
  const auto decode = [](const std::string& value) {
    return DecodeGroupRow(StoreRow{
        .table = kGroupTable, .key = "z", .value = value, .version = 1});
  };
  ASSERT_TRUE(decode(encoded).has_value());
  const auto at = encoded.find("\"token\":5");
  encoded.replace(at, 9, "\"token\":9223372036854775807");
  EXPECT_FALSE(decode(encoded).has_value());
}

// Draws pieces of JSON that other writers may leave.
auto DrawPiece() -> std::string {
  return *rc::gen::oneOf(
      rc::gen::elementOf(std::vector<std::string>{
          "null", "true", "-1", "0", "70000", "1e999", "1.5",
          "9223372036854775808", "18446744073709551616", "\"\"", "\"x\"", "{}",
          "[]", "\"\\ud800\"", "\"10.0.0.1:70000\"", Nested(1000)}),
      rc::gen::arbitrary<std::string>());
}

RC_GTEST_PROP(OddDocument, NeverEndsADecoder, ()) {
  std::string text = "{";
  for (const auto* key :
       {"service",  "addr",    "zone",     "state",    "born",
        "capacity", "labels",  "version",  "routes",   "services",
        "limits",   "steps",   "spec",     "holder",   "successors",
        "rows",     "running", "finished", "clock_ms", "ver"}) {
    if (*rc::gen::inRange(0, 3) > 0) {
      text += (text.size() > 1 ? "," : "") + std::string("\"") + key +
              "\":" + DrawPiece();
    }
  }
  text += *rc::gen::elementOf(std::vector<std::string>{"}", "", "]"});
  HttpRequest request;
  request.body = text;
  HttpResponse response;
  response.body = text;
  (void)DecodeWorker("w", text);
  (void)DecodeConfiguration(text);
  (void)DecodeGroupRow(StoreRow{.key = "z", .value = text, .version = 1});
  (void)DecodeRowPage(text);
  (void)DecodeSubmission(Route(), JobName{1}, request);
  (void)DecodeAnswer(response);
  (void)DecodeRunReport(text);
  (void)ParseSettings(text);
}

}  // namespace
}  // namespace boragecroft::platform
