#include "servers/ledger/lookup.h"

#include <gtest/gtest.h>

#include "servers/ledger/keys.h"
#include "tests/servers/ledger/fake_table.h"

namespace boragecroft {
namespace {

constexpr Incarnation kOwner{0xA};
constexpr Incarnation kSuccessorOfOwner{0xB};

// A ledger with one segment for each second, from which a job is looked up.
class LookupTest : public testing::Test {
 protected:
  auto AddSegmentAt(seconds time, const std::vector<LedgerEntry>& entries)
      -> void {
    const auto key = SegmentKey(kOwner, WallTime(time));
    table_.rows[key] = {.key = key,
                        .version = 1,
                        .value = ToJsonText(LedgerSegment{.entries = entries})};
  }
  // Runs the lookup to its end and counts the pages that it read.
  auto Run(std::optional<IncarnationRow> row) -> JobAnswer {
    lookup_ = BeginLookup(kOwner, job_, std::move(row), bounds_);
    pages_ = 0;
    while (const auto scan = NextScan(lookup_)) {
      OnScanned(lookup_, Scan(table_, *scan));
      ++pages_;
    }
    return AnswerOf(lookup_);
  }
  static auto Closed(bool clean) -> IncarnationRow {
    return {.incarnation = kOwner, .closed = true, .clean = clean};
  }
  auto Accepted(uint32_t started_below) const -> AcceptedEntry {
    return {.job = job_,
            .partner = "bank",
            .tasks = 5,
            .started_below = started_below,
            .accepted = WallTime(seconds(101))};
  }
  auto FillSegments(seconds from, seconds to) -> void {
    for (auto it = from; it <= to; ++it) {
      AddSegmentAt(it, {});
    }
  }

  JobId job_{.incarnation = kOwner,
             .sequence = 4,
             .minted = WallTime(seconds(100))};
  LookupBounds bounds_{.id_term = seconds(600),
                       .max_deadline = seconds(60),
                       .slack = seconds(10),
                       .page_rows = 10};
  FakeTable table_;
  Lookup lookup_;
  int pages_ = 0;
};

TEST_F(LookupTest, SkipsOlderSegmentsAndStopsAtFinalEntry) {
  FillSegments(seconds(0), seconds(500));
  AddSegmentAt(seconds(105), {FinalEntry{.job = job_, .partner = "bank"}});
  EXPECT_EQ(Run(std::nullopt).kind, AnswerKind::kFinal);
  EXPECT_EQ(pages_, 1);
}

TEST_F(LookupTest, StopsAtDeadlineOfAcceptedJob) {
  FillSegments(seconds(0), seconds(900));
  AddSegmentAt(seconds(101), {Accepted(2)});
  const auto answer = Run(Closed(false));
  EXPECT_EQ(answer.tasks,
            (TaskRuns{{TaskState::kMayHaveRun, 2}, {TaskState::kNotRun, 3}}));
  // 100 s to 171 s in pages of ten, and one page of addenda.
  EXPECT_EQ(pages_, 9);
}

TEST_F(LookupTest, ReadsUpToLastPossibleEntryOfUnknownId) {
  FillSegments(seconds(0), seconds(2000));
  EXPECT_EQ(Run(Closed(false)).reason, kOwnerLostUnrecorded);
  // 100 s to 770 s in pages of ten, and one page of addenda.
  EXPECT_EQ(pages_, 69);
}

TEST_F(LookupTest, ReadsEverySegmentOfAdjacentMilliseconds) {
  for (milliseconds it = job_.minted.time_since_epoch(); it < seconds(101);
       it += milliseconds(1)) {
    const auto key = SegmentKey(kOwner, WallTime(it));
    LedgerSegment segment;
    // Watermarks that rise, of which the last one counts, and the accepted
    // entry.
    const auto below = static_cast<uint32_t>(it.count() % 1000) / 10;
    segment.entries = {WatermarkEntry{job_, below}};
    if (it.count() % 1000 == 10) {
      auto accepted = Accepted(0);
      accepted.tasks = 1000;
      segment.entries.emplace_back(accepted);
    }
    table_.rows[key] = {.key = key, .version = 1, .value = ToJsonText(segment)};
  }
  const auto answer = Run(Closed(false));
  EXPECT_EQ(CountTasks(answer.tasks, TaskState::kMayHaveRun), 99U);
  EXPECT_EQ(CountTasks(answer.tasks, TaskState::kNotRun), 901U);
}

TEST_F(LookupTest, AnswersWithFirstOfSeveralFinalEntries) {
  AddSegmentAt(seconds(102), {FinalEntry{.job = job_, .reason = "first"},
                              FinalEntry{.job = job_, .reason = "second"}});
  AddSegmentAt(seconds(103), {FinalEntry{.job = job_, .reason = "third"}});
  EXPECT_EQ(Run(Closed(false)).reason, "first");
}

TEST_F(LookupTest, IsUndecidedWhileLedgerIsOpen) {
  AddSegmentAt(seconds(101), {Accepted(0)});
  EXPECT_EQ(Run(IncarnationRow{.incarnation = kOwner}).kind,
            AnswerKind::kUndecided);
  EXPECT_EQ(Run(std::nullopt).kind, AnswerKind::kUndecided);
}

TEST_F(LookupTest, IsUndecidedWhenRowIsUnreadable) {
  AddSegmentAt(seconds(101), {Accepted(0)});
  const auto key = SegmentKey(kOwner, WallTime(seconds(102)));
  table_.rows[key] = {
      .key = key, .version = 1, .value = R"({"schema_version":9})"};
  EXPECT_EQ(Run(Closed(false)).kind, AnswerKind::kUndecided);
}

TEST_F(LookupTest, FindsRefusalByRange) {
  AddSegmentAt(seconds(101), {RefusedEntry{.incarnation = kOwner,
                                           .partner = "bank",
                                           .reason = Refusal::kQuota,
                                           .ranges = {{2, 9}}}});
  EXPECT_EQ(Run(Closed(false)).refusal, Refusal::kQuota);
}

TEST_F(LookupTest, ReturnsSuccessorAfterCleanClose) {
  auto row = Closed(true);
  EXPECT_EQ(Run(row).refusal, Refusal::kDraining);
  row.successor = kSuccessorOfOwner;
  EXPECT_EQ(Run(row).kind, AnswerKind::kSuccessor);
  EXPECT_EQ(Run(row).successor, kSuccessorOfOwner);
}

TEST_F(LookupTest, KeepsAnswerWhenFencedOwnerWritesAddendum) {
  const FinalEntry ran{.job = job_, .state = JobState::kDone};
  const auto key = AddendumKey(kOwner, 0);
  table_.rows[key] = {.key = key,
                      .version = 1,
                      .value = ToJsonText(LedgerSegment{.entries = {ran}})};
  EXPECT_EQ(Run(Closed(false)).state, JobState::kFailed);
  ASSERT_TRUE(lookup_.record.addendum);
  EXPECT_EQ(lookup_.record.addendum->state, JobState::kDone);
}

TEST_F(LookupTest, OwnerReportsExpiredForDroppedIdWithoutEntry) {
  EXPECT_EQ(DeriveOwnerAnswer(JobRecord{.job = job_}).refusal,
            Refusal::kIdExpired);
}

}  // namespace
}  // namespace boragecroft
