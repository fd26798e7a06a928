#include "servers/ledger/account.h"

#include <gtest/gtest.h>

namespace boragecroft {
namespace {

constexpr Incarnation kOwner{0xA};
constexpr milliseconds kHour = std::chrono::hours(1);

auto JobNumber(uint64_t sequence) -> JobId {
  return {.incarnation = kOwner, .sequence = sequence};
}

// A ledger of one hour with one job done, one job accepted and several ids
// refused.
class AccountTest : public testing::Test {
 protected:
  AccountTest() {
    const FinalEntry done{.job = JobNumber(1),
                          .partner = "bank",
                          .state = JobState::kDone,
                          .tasks = {{TaskState::kDone, 3}},
                          .finished = WallTime(kHour)};
    const AcceptedEntry accepted{.job = JobNumber(2),
                                 .partner = "bank",
                                 .tasks = 5,
                                 .started_below = 2,
                                 .accepted = WallTime(kHour)};
    const RefusedEntry refused{.incarnation = kOwner,
                               .partner = "bank",
                               .ranges = {{10, 19}},
                               .unidentified = 2};
    segment_.entries = {done, accepted, refused};
    AddSegment(account_, segment_, WallTime(kHour));
  }
  auto Totals(bool closed) const -> AccountTotals {
    const IncarnationRow row{.incarnation = kOwner, .closed = closed};
    const auto lines = TotalsOf(account_, row, kHour);
    EXPECT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines.front().partner, "bank");
    EXPECT_EQ(lines.front().period_start, WallTime(kHour));
    return lines.front().totals;
  }

  LedgerSegment segment_;
  IncarnationAccount account_;
};

TEST_F(AccountTest, CountsUnfinishedJobsAsUndecidedWhileLedgerIsOpen) {
  EXPECT_EQ(Totals(false), (AccountTotals{.submissions = 14,
                                          .done = 1,
                                          .refused = 12,
                                          .undecided = 1,
                                          .tasks_done = 3}));
}

TEST_F(AccountTest, CountsIdOnceWhenRecordedTwice) {
  auto twice = segment_;
  std::get<RefusedEntry>(twice.entries[2]).unidentified = 0;
  std::get<RefusedEntry>(twice.entries[2]).ranges = {{15, 24}};
  AddSegment(account_, twice, WallTime(kHour));
  const auto totals = Totals(true);
  EXPECT_EQ(totals.submissions, 19U);
  EXPECT_EQ(totals.done, 1U);
  EXPECT_EQ(totals.failed, 1U);
  EXPECT_EQ(totals.refused, 17U);
  EXPECT_EQ(totals.tasks_may_have_run, 2U);
  EXPECT_EQ(totals.tasks_not_run, 3U);
}

TEST_F(AccountTest, CountsTasksFromAddendumOfFencedOwner) {
  const FinalEntry ran{
      .job = JobNumber(2),
      .partner = "bank",
      .state = JobState::kFailed,
      .tasks = {{TaskState::kDone, 1}, {TaskState::kNotRun, 4}}};
  const FinalEntry again{.job = JobNumber(1), .partner = "bank"};
  AddAddendum(account_, {.entries = {ran, again}}, WallTime(kHour));
  const auto totals = Totals(true);
  EXPECT_EQ(totals.submissions, 14U);
  EXPECT_EQ(totals.tasks_done, 4U);
  EXPECT_EQ(totals.tasks_not_run, 4U);
  EXPECT_EQ(totals.tasks_may_have_run, 0U);
  EXPECT_EQ(totals.done_after_all, 0U);
}

}  // namespace
}  // namespace boragecroft
