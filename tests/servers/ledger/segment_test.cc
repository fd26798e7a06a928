#include "servers/ledger/segment.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "servers/ledger/incarnation_row.h"
#include "servers/ledger/keys.h"
#include "servers/ledger/utf8.h"

namespace boragecroft {
namespace {

constexpr auto kVersion1 = R"({"schema_version":1,"operation_id":"op",
  "shard":7,"entries":[
  {"type":"accepted","job":"000000000000000a-64-1","partner":"bank",
   "service":"cartas","kind":"letter","class":"due","tasks":3,
   "started_below":1,"accepted_ms":100,"colour":"red"},
  {"type":"final","job":"000000000000000a-64-1","partner":"bank",
   "service":"cartas","class":"due","state":"failed",
   "tasks":[["done",1],["not_run",2]],"reason":"deadline",
   "finished_ms":200,"team":"letters"},
  {"type":"moved","job":"000000000000000a-64-1","to":[1,{"x":null}]}]})";

TEST(SegmentOfVersion1Test, ParsesJobsWithoutTeam) {
  const auto segment = ParseSegment(kVersion1).value();
  const auto& accepted = std::get<AcceptedEntry>(segment.entries[0]);
  EXPECT_EQ(accepted.team, "");
  EXPECT_EQ(accepted.started_below, 1U);
  const auto& final_entry = std::get<FinalEntry>(segment.entries[1]);
  EXPECT_EQ(CountTasks(final_entry.tasks, TaskState::kNotRun), 2U);
}

TEST(SegmentOfVersion1Test, RewriteKeepsVersionAndUnknownMembers) {
  const auto segment = ParseSegment(kVersion1).value();
  const auto before = ParseJson(kVersion1).value();
  EXPECT_EQ(ParseJson(ToJsonText(segment)).value(), before);
}

TEST(SegmentOfVersion2Test, RejectsJobWithoutTeam) {
  auto text = std::string(kVersion1);
  text.replace(text.find("\"schema_version\":1"), 18, "\"schema_version\":2");
  const auto segment = ParseSegment(text);
  ASSERT_FALSE(segment);
  EXPECT_EQ(segment.error().front().field, "entries[0].team");
}

TEST(SegmentOfNewerVersionTest, IsRejected) {
  EXPECT_FALSE(
      ParseSegment(R"({"schema_version":3,"operation_id":"x","entries":[]})"));
  EXPECT_FALSE(ParseSegment("{"));
}

RC_GTEST_PROP(SegmentTest,
              ParsesWhatItWrites,
              (const std::string& bytes,
               uint32_t count,
               const std::vector<bool>& started)) {
  const auto text = ToValidUtf8(bytes);
  const JobId job{.incarnation = {count}, .sequence = count};
  std::vector<TaskState> states;
  states.reserve(started.size());
  for (const auto it : started) {
    states.push_back(it ? TaskState::kDone : TaskState::kNotRun);
  }
  LedgerSegment segment{.operation_id = "op"};
  segment.entries = {AcceptedEntry{.job = job,
                                   .partner = text,
                                   .team = text,
                                   .tasks = count,
                                   .digest = count},
                     WatermarkEntry{.job = job, .started_below = count},
                     FinalEntry{.job = job,
                                .partner = text,
                                .state = JobState::kDone,
                                .tasks = EncodeRuns(states),
                                .results = {text, "{}"},
                                .digest = ~uint64_t{count}},
                     RefusedEntry{.partner = text,
                                  .reason = Refusal::kQuota,
                                  .ranges = {{count, uint64_t{count} + 5}},
                                  .unidentified = count}};
  RC_ASSERT(ParseSegment(ToJsonText(segment)).value() == segment);
}

RC_GTEST_PROP(SegmentTest,
              StaysReadableWithArbitraryInputBytes,
              (const std::string& bytes)) {
  const FinalEntry entry{.partner = bytes, .reason = bytes};
  const auto text = JoinSegment("op", {EntryToJsonText(entry, kLedgerSchema)});
  const auto segment = ParseSegment(text);
  RC_ASSERT(segment.has_value());
  const auto& read = std::get<FinalEntry>(segment.value().entries.front());
  RC_ASSERT(read.reason == ToValidUtf8(bytes));
}

TEST(Utf8Test, KeepsValidSequencesAndReplacesInvalidBytes) {
  EXPECT_EQ(ToValidUtf8("Cant\u00e1brico \u20ac \U0001F3D4"),
            "Cant\u00e1brico \u20ac \U0001F3D4");
  EXPECT_EQ(ToValidUtf8("a\xC3"), "a?");               // truncated
  EXPECT_EQ(ToValidUtf8("\xC0\xAF"), "??");            // overlong encoding
  EXPECT_EQ(ToValidUtf8("\xED\xA0\x80"), "???");       // surrogate
  EXPECT_EQ(ToValidUtf8("\xF4\x90\x80\x80"), "????");  // beyond Unicode
}

TEST(KeysTest, EncodesSegmentTimeAndSeparatesPartners) {
  const Incarnation it{0xA};
  EXPECT_EQ(SegmentKey(it, WallTime(milliseconds(255))),
            "ledger/000000000000000a/0000000000ff");
  EXPECT_EQ(ParseSegmentTime("ledger/000000000000000a/0000000000ff"),
            WallTime(milliseconds(255)));
  EXPECT_FALSE(ParseSegmentTime("ledger/000000000000000a/"));
  EXPECT_NE(ClaimKey("a/b", "c"), ClaimKey("a", "b/c"));
}

TEST(IncarnationRowTest, KeepsUnknownMembersWhenClosed) {
  const TableRow row{
      .key = IncarnationKey({5}),
      .version = 1,
      .value = R"({"schema_version":1,"instance":"a1","zone":"z","address":"",
        "started_ms":1,"state":"open","operation_id":"x","rack":4})"};
  const auto closing =
      CloseTransaction({5}, row, {.closed_by = {6}, .operation_id = "close"});
  ASSERT_TRUE(closing);
  const TableRow closed{
      .key = row.key, .version = 2, .value = closing->puts.front().value};
  const auto read = ParseIncarnationRow(closed).value();
  EXPECT_TRUE(read.closed);
  EXPECT_EQ(read.instance, "a1");
  EXPECT_EQ(read.unknown_members, R"({"rack":4})");
  EXPECT_FALSE(CloseTransaction({5}, closed, {.closed_by = {7}}));
}

}  // namespace
}  // namespace boragecroft
