#include "servers/retry/retry.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace boragecroft {
namespace {

const BudgetKey kKey{"urgent", "banco"};
const RunTimeEstimate kKnown{milliseconds(100), milliseconds(300), 100};

struct RetryTest : testing::Test {
  RetryBudget budget;
  Random random{7};
  Now now{Instant(seconds(100)), WallTime()};

  auto Start(Attempts& attempts, const StartPermit& permit) -> bool {
    if (permit.IsGranted()) {
      RecordStart(budget, kKey, attempts, permit);
    }
    return permit.IsGranted();
  }

  auto RunTasks(int count) -> void {
    for (auto n = 0; n < count; ++n) {
      Attempts attempts;
      Start(attempts, MayStart(budget, kKey, attempts, now));
      RecordEnd(attempts, AttemptEnd::kDone, now, random);
    }
  }
};

auto GenEnd() -> rc::Gen<AttemptEnd> {
  return rc::gen::map(rc::gen::inRange(0, 7),
                      [](int n) { return static_cast<AttemptEnd>(n); });
}

RC_GTEST_FIXTURE_PROP(RetryTest, NeverStartsNonRepeatableTaskTwice, ()) {
  RunTasks(100);
  Attempts attempts;
  auto sent = 0;  // attempts that are not known not to have started
  auto in_progress = 0;
  for (const auto action :
       *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3))) {
    now.boot += seconds(1);
    if (action == 0) {
      in_progress +=
          Start(attempts, MayStart(budget, kKey, attempts, now)) ? 1 : 0;
    } else if (action == 1) {
      in_progress +=
          Start(attempts, MayHedge(budget, kKey, attempts, kKnown, seconds(9)))
              ? 1
              : 0;
    } else if (in_progress > 0) {
      const auto end = *GenEnd();
      RecordEnd(attempts, end, now, random);
      --in_progress;
      sent += end >= AttemptEnd::kDone ? 1 : 0;
    }
    RC_ASSERT(sent + in_progress <= 1);
    RC_ASSERT(SummarizeAttempts(attempts) != TaskState::kNotRun ||
              sent + in_progress == 0);
  }
}

RC_GTEST_FIXTURE_PROP(RetryTest,
                      ExtraStartsStayWithinBudgetShareOfFirstStarts,
                      ()) {
  budget.percent = *rc::gen::inRange(0, 101);
  uint32_t firsts = 0;
  uint32_t extras = 0;
  for (const auto end :
       *rc::gen::container<std::vector<AttemptEnd>>(300, GenEnd())) {
    Attempts attempts{.repeatable = true};
    firsts += Start(attempts, MayStart(budget, kKey, attempts, now)) ? 1 : 0;
    const auto hedged =
        Start(attempts, MayHedge(budget, kKey, attempts, kKnown, seconds(1)));
    RecordEnd(attempts, end, now, random);
    if (hedged) {
      RecordEnd(attempts, AttemptEnd::kUnknown, now, random);
    }
    const auto again =
        MayStart(budget, kKey, attempts, {now.boot + seconds(1), now.wall});
    Start(attempts, again);
    extras += (hedged ? 1 : 0) + (again.charged ? 1 : 0);
    RC_ASSERT(extras * 100 <= firsts * budget.percent);
  }
}

TEST_F(RetryTest, AttemptsThatDidNotStartNeedNoBudgetButAreBounded) {
  Attempts attempts;
  auto starts = 0;
  for (auto n = 0; n < 1000; ++n, now.boot += seconds(1)) {
    if (!Start(attempts, MayStart(budget, kKey, attempts, now))) {
      break;
    }
    ++starts;
    RecordEnd(attempts, AttemptEnd::kNotSent, now, random);
  }
  EXPECT_EQ(starts, 8);
  EXPECT_EQ(MayStart(budget, kKey, attempts, now).denial,
            StartDenial::kTooManyAttempts);
  EXPECT_EQ(SummarizeAttempts(attempts), TaskState::kNotRun);
}

TEST_F(RetryTest, RetriesBusyAnswersImmediatelyAndThenBacksOff) {
  Attempts attempts;
  microseconds waited{};
  for (auto n = 0; n < 20; ++n) {
    auto permit = MayStart(budget, kKey, attempts, now);
    EXPECT_TRUE(n > 2 || permit.IsGranted());
    now.boot += permit.wait;
    waited += permit.wait;
    ASSERT_TRUE(Start(attempts, MayStart(budget, kKey, attempts, now)));
    RecordEnd(attempts, AttemptEnd::kBusy, now, random);
  }
  EXPECT_GT(waited, seconds(1));
  EXPECT_LT(waited, seconds(8));
}

TEST_F(RetryTest, HedgesRepeatableTaskThatRunsLongerThanItsKind) {
  RunTasks(100);
  Attempts attempts{.repeatable = true};
  Start(attempts, MayStart(budget, kKey, attempts, now));
  EXPECT_EQ(MayHedge(budget, kKey, attempts, kKnown, milliseconds(300)).denial,
            StartDenial::kNotDue);
  const RunTimeEstimate unknown{milliseconds(1), milliseconds(2),
                                kHedgeObservations - 1};
  EXPECT_EQ(MayHedge(budget, kKey, attempts, unknown, seconds(9)).denial,
            StartDenial::kNotDue);
  EXPECT_TRUE(Start(
      attempts, MayHedge(budget, kKey, attempts, kKnown, milliseconds(301))));
  EXPECT_EQ(MayHedge(budget, kKey, attempts, kKnown, seconds(9)).denial,
            StartDenial::kInProgress);
  RecordEnd(attempts, AttemptEnd::kDone, now, random);
  EXPECT_EQ(SummarizeAttempts(attempts), TaskState::kDone);
  EXPECT_EQ(MayStart(budget, kKey, attempts, now).denial,
            StartDenial::kAlreadyDone);
}

}  // namespace
}  // namespace boragecroft
