#include "servers/ledger/ledger_writer.h"

#include <gtest/gtest.h>

#include "servers/ledger/keys.h"
#include "tests/servers/ledger/fake_table.h"

namespace boragecroft {
namespace {

constexpr Incarnation kOwner{0xA};

// A writer whose ledger is open.
class OpenLedgerTest : public testing::Test {
 protected:
  OpenLedgerTest() {
    writer_ = MakeLedgerWriter({.interval = milliseconds(200),
                                .pace = {.spacing = milliseconds(0)},
                                .retry_delay = milliseconds(500),
                                .suspect_after = seconds(2),
                                .max_segment_bytes = 4096,
                                .max_pending_bytes = 20000},
                               {.incarnation = kOwner}, now_);
    EXPECT_TRUE(Settle().opened);
    writer_.last_built = now_.boot;
  }
  auto AdvanceTime(milliseconds time) -> void {
    now_.boot += time;
    now_.wall += time;
  }
  // Sends the transaction that is due and returns the events of its outcome.
  auto Settle(Delivery delivery = Delivery::kAnswered) -> LedgerEvents {
    const auto transaction = NextTransaction(writer_, now_);
    return transaction
               ? OnOutcome(writer_, Send(table_, *transaction, delivery), now_)
               : LedgerEvents{};
  }
  auto Accept(uint64_t sequence) -> JobId {
    const JobId job{.incarnation = kOwner, .sequence = sequence};
    Add(writer_, AcceptedEntry{.job = job, .tasks = 9}, Urgency::kNormal, now_);
    return job;
  }
  auto Finish(uint64_t sequence, size_t result_bytes) -> AddResult {
    const FinalEntry entry{.job = {.incarnation = kOwner, .sequence = sequence},
                           .state = JobState::kDone,
                           .tasks = {{TaskState::kDone, 1}},
                           .results = {std::string(result_bytes, '7')}};
    return Add(writer_, entry, Urgency::kNormal, now_);
  }
  auto Segments() const -> std::vector<LedgerSegment> {
    return SegmentsBelow(table_, LedgerPrefix(kOwner));
  }

  Now now_{.boot = Instant(seconds(9)), .wall = WallTime(seconds(99))};
  FakeTable table_;
  LedgerWriter writer_;
};

TEST_F(OpenLedgerTest, CollectsEntriesUntilIntervalPasses) {
  Accept(1);
  Accept(2);
  EXPECT_FALSE(NextTransaction(writer_, now_));
  AdvanceTime(milliseconds(200));
  EXPECT_EQ(Settle().watermarks.size(), 2U);
  EXPECT_EQ(Segments().size(), 1U);
}

TEST_F(OpenLedgerTest, SendsUrgentEntryImmediatelyAndNextAfterItsOutcome) {
  const auto job = Accept(1);
  Add(writer_, WatermarkEntry{job, 2}, Urgency::kUrgent, now_);
  const auto sent = NextTransaction(writer_, now_);
  ASSERT_TRUE(sent);
  Add(writer_, WatermarkEntry{job, 4}, Urgency::kUrgent, now_);
  Add(writer_, WatermarkEntry{job, 7}, Urgency::kUrgent, now_);
  // One transaction is in flight already.
  EXPECT_FALSE(NextTransaction(writer_, now_));
  const auto outcome = Send(table_, *sent, Delivery::kAnswered);
  EXPECT_EQ(OnOutcome(writer_, outcome, now_).watermarks.back(),
            (DurableWatermark{job, 2}));
  EXPECT_EQ(Settle().watermarks, (std::vector{DurableWatermark{job, 7}}));
}

TEST_F(OpenLedgerTest, DelaysUrgentEntryWhenWriteBudgetIsSpent) {
  SetPace(writer_, {.spacing = milliseconds(100), .burst = 1});
  TakeWrite(writer_.budget, now_.boot);
  Accept(1);
  Add(writer_, WatermarkEntry{Accept(2), 3}, Urgency::kUrgent, now_);
  EXPECT_FALSE(NextTransaction(writer_, now_));
  AdvanceTime(milliseconds(100));
  EXPECT_EQ(Settle().watermarks.size(), 3U);
}

TEST_F(OpenLedgerTest, SendsBurstOfUrgentEntriesWhenWritesWereSaved) {
  SetPace(writer_, {.spacing = milliseconds(100), .burst = 3});
  for (uint64_t n = 1; n <= 3; ++n) {
    Add(writer_, WatermarkEntry{Accept(n), 3}, Urgency::kUrgent, now_);
    EXPECT_EQ(Settle().watermarks.size(), 2U);
  }
  Add(writer_, WatermarkEntry{Accept(4), 3}, Urgency::kUrgent, now_);
  EXPECT_FALSE(NextTransaction(writer_, now_));
  AdvanceTime(milliseconds(100));
  EXPECT_EQ(Settle().watermarks.size(), 2U);
}

TEST_F(OpenLedgerTest, ReservesWritesForUrgentEntries) {
  SetPace(writer_, {.spacing = milliseconds(20), .burst = 1});
  TakeWrite(writer_.budget, now_.boot);
  Add(writer_, WatermarkEntry{Accept(1), 3}, Urgency::kPrompt, now_);
  writer_.settings.interval = milliseconds(5);
  AdvanceTime(milliseconds(20));
  EXPECT_FALSE(NextTransaction(writer_, now_));
  Add(writer_, WatermarkEntry{Accept(2), 3}, Urgency::kUrgent, now_);
  EXPECT_EQ(Settle().watermarks.size(), 4U);
  Add(writer_, WatermarkEntry{Accept(3), 3}, Urgency::kPrompt, now_);
  AdvanceTime(milliseconds(40));
  EXPECT_EQ(Settle().watermarks.size(), 2U);
  EXPECT_EQ(writer_.times.segments, 2U);
  EXPECT_EQ(writer_.times.urgent_entries, 1U);
  EXPECT_EQ(writer_.times.urgent_waiting, microseconds(0));
}

TEST_F(OpenLedgerTest, ReportsFinalEntriesWithDroppedResults) {
  Finish(1, 10);
  Finish(2, 5000);
  AdvanceTime(milliseconds(200));
  const auto events = Settle();
  EXPECT_EQ(events.finals.size(), 2U);
  EXPECT_EQ(events.without_results,
            (std::vector{JobId{.incarnation = kOwner, .sequence = 2}}));
}

TEST_F(OpenLedgerTest, SkipsAddendumNumberThatExists) {
  Finish(1, 10);
  const auto closing =
      CloseTransaction(kOwner, Read(table_, IncarnationKey(kOwner)),
                       {.closed_by = {7}, .operation_id = "closing"});
  Send(table_, *closing, Delivery::kAnswered);
  const auto key = AddendumKey(kOwner, 0);
  table_.rows[key] = {.key = key, .version = 1, .value = "{}"};
  LedgerEvents all;
  for (auto i = 0; i < 10; ++i) {
    AdvanceTime(milliseconds(200));
    auto events = Settle();
    std::vector<TableRow> rows;
    for (const auto& it : PendingReadBack(writer_)) {
      rows.push_back(Read(table_, it));
    }
    const auto settled = OnReadBack(writer_, rows, now_);
    all.fenced = all.fenced || settled.fenced;
    all.addendum_finals.insert(all.addendum_finals.end(),
                               events.addendum_finals.begin(),
                               events.addendum_finals.end());
  }
  EXPECT_TRUE(all.fenced);
  EXPECT_EQ(all.addendum_finals.size(), 1U);
  EXPECT_EQ(Read(table_, AddendumKey(kOwner, 1)).version, 1U);
}

TEST_F(OpenLedgerTest, RejectsWatermarkOfUnrecordedJobOrBelowNewest) {
  const JobId job{.incarnation = kOwner, .sequence = 5};
  EXPECT_EQ(Add(writer_, WatermarkEntry{job, 1}, Urgency::kUrgent, now_),
            AddResult::kUnrecordedJob);
  const auto other = Accept(6);
  Add(writer_, WatermarkEntry{other, 3}, Urgency::kNormal, now_);
  EXPECT_EQ(Add(writer_, WatermarkEntry{other, 2}, Urgency::kNormal, now_),
            AddResult::kRepeated);
}

TEST_F(OpenLedgerTest, SplitsEntriesIntoSegmentsWithinByteLimit) {
  for (uint64_t n = 0; n < 10; ++n) {
    Finish(n, 1000);
  }
  while (!writer_.pending.entries.empty()) {
    AdvanceTime(milliseconds(200));
    Settle();
  }
  EXPECT_EQ(Segments().size(), 4U);  // three entries fit into 4096 bytes
  for (const auto& it : Segments()) {
    EXPECT_LE(ToJsonText(it).size(), 4096U);
  }
}

TEST_F(OpenLedgerTest, DropsResultsLargerThanOneSegment) {
  Finish(1, 5000);
  AdvanceTime(milliseconds(200));
  EXPECT_EQ(Settle().finals.size(), 1U);
  const auto segment = Segments().front();
  EXPECT_TRUE(std::get<FinalEntry>(segment.entries.front()).results_dropped);
}

TEST_F(OpenLedgerTest, DropsResultsBeforeReportingOverLimitInLongOutage) {
  uint64_t n = 0;
  while (Finish(n, 1000) == AddResult::kAdded) {
    ASSERT_LE(writer_.pending.bytes, 20000U);
    ++n;
  }
  EXPECT_TRUE(IsOverPendingLimit(writer_));
  EXPECT_EQ(writer_.dropped_results, n + 1);
  for (auto i = 0; i < 100; ++i) {
    AdvanceTime(milliseconds(200));
    Settle();
  }
  size_t finals = 0;
  for (const auto& it : Segments()) {
    finals += it.entries.size();
  }
  EXPECT_EQ(finals, n + 1);
  EXPECT_FALSE(IsOverPendingLimit(writer_));
}

TEST_F(OpenLedgerTest, SuspectsPlatformAfterTimeoutWithoutAnswer) {
  Finish(1, 10);
  AdvanceTime(milliseconds(200));
  const auto collected = now_.wall - milliseconds(200);
  Settle(Delivery::kLost);
  EXPECT_FALSE(IsPlatformSuspect(writer_, now_));
  AdvanceTime(seconds(2) + milliseconds(1));
  EXPECT_TRUE(IsPlatformSuspect(writer_, now_));
  EXPECT_EQ(RecordedThrough(writer_, now_), collected);
  Settle();
  EXPECT_FALSE(IsPlatformSuspect(writer_, now_));
  EXPECT_EQ(RecordedThrough(writer_, now_), now_.wall);
}

TEST_F(OpenLedgerTest, RetriesIdenticalTransaction) {
  Finish(1, 10);
  AdvanceTime(milliseconds(200));
  const auto first = NextTransaction(writer_, now_);
  OnOutcome(writer_, Send(table_, *first, Delivery::kAnswerLost), now_);
  Finish(2, 10);
  AdvanceTime(milliseconds(500));
  const auto second = NextTransaction(writer_, now_);
  EXPECT_EQ(first, second);
  const auto outcome = Send(table_, *second, Delivery::kAnswered);
  const auto keys = OnOutcome(writer_, outcome, now_).read_back;
  ASSERT_EQ(keys.size(), 2U);
  const auto events =
      OnReadBack(writer_, {Read(table_, keys[0]), Read(table_, keys[1])}, now_);
  EXPECT_EQ(events.finals.size(), 1U);
}

TEST_F(OpenLedgerTest, KeysSegmentsByCollectionTimeOfEntries) {
  Finish(1, 10);
  AdvanceTime(milliseconds(200));
  Settle(Delivery::kRefused);
  Finish(2, 10);
  const auto collected = now_.wall;
  AdvanceTime(std::chrono::hours(3));
  Settle();
  Settle();
  EXPECT_EQ(table_.rows.rbegin()->first, SegmentKey(kOwner, collected));
}

TEST_F(OpenLedgerTest, RefusesToCloseUntilRecordedJobsEnd) {
  Accept(1);
  EXPECT_FALSE(RequestClose(writer_, std::nullopt, {}));
  Finish(1, 10);
  const UnusedIds unused{.ranges = {{.partner = "banco",
                                     .first = 3,
                                     .last = 9,
                                     .minted = WallTime(milliseconds(1000)),
                                     .expires = WallTime(milliseconds(5000))}},
                         .dropped_through = WallTime(milliseconds(900))};
  EXPECT_TRUE(RequestClose(writer_, Incarnation{0xB}, unused));
  EXPECT_EQ(Finish(2, 10), AddResult::kEnded);
  EXPECT_EQ(Settle().finals.size(), 1U);
  EXPECT_TRUE(Settle().closed);
  const auto row = ParseIncarnationRow(Read(table_, IncarnationKey(kOwner)));
  EXPECT_TRUE(row.value().clean);
  EXPECT_EQ(row.value().successor, Incarnation{0xB});
  EXPECT_EQ(row.value().unused, unused);
}

}  // namespace
}  // namespace boragecroft
