#include "servers/cancellation/cancellation.h"

#include <gtest/gtest.h>

namespace boragecroft {
namespace {

class CancelRequestOfCaller : public testing::Test {
 protected:
  auto Request(bool found,
               bool complete = true,
               const std::set<HolderId>& origins = {}) -> CancelNumber {
    return OnCancelRequested(state, JobName{1},
                             {.found = found,
                              .origins = origins,
                              .holders = {5, 6},
                              .complete = complete},
                             now, out);
  }

  auto Confirm(HolderId holder, CancelNumber number, bool found) -> void {
    OnCancelConfirmed(state, holder, number, found, out);
  }

  auto TakeAnswers() -> std::vector<CancelOutcome> {
    std::vector<CancelOutcome> answers;
    for (const auto& it : out) {
      if (const auto* answer = std::get_if<AnswerCancel>(&it)) {
        answers.push_back(answer->outcome);
      }
    }
    out.clear();
    return answers;
  }

  using Answers = std::vector<CancelOutcome>;

  Cancellations state;
  Instant now = Instant() + seconds(100);
  CancelCommands out;
};

TEST_F(CancelRequestOfCaller, GoesToEachHolder) {
  const auto number = Request(false);
  ASSERT_EQ(out.size(), 2U);
  const auto& ask = std::get<AskHolder>(out[0]);
  EXPECT_EQ(ask.holder, 5U);
  EXPECT_EQ(ask.number, number);
  EXPECT_EQ(ask.job, JobName{1});
}

TEST_F(CancelRequestOfCaller, IsAnsweredAtOnceWhenJobIsHere) {
  Request(true);
  EXPECT_EQ(TakeAnswers(), Answers{CancelOutcome::kCancelled});
}

TEST_F(CancelRequestOfCaller, IsAnsweredWhenHolderHadJob) {
  const auto number = Request(false);
  Confirm(5, number, false);
  EXPECT_TRUE(TakeAnswers().empty());
  Confirm(6, number, true);
  EXPECT_EQ(TakeAnswers(), Answers{CancelOutcome::kCancelled});
}

TEST_F(CancelRequestOfCaller, FindsNothingOnlyWhenAllHoldersConfirm) {
  const auto number = Request(false);
  Confirm(5, number, false);
  Confirm(5, number, false);
  EXPECT_TRUE(TakeAnswers().empty());
  Confirm(6, number, false);
  EXPECT_EQ(TakeAnswers(), Answers{CancelOutcome::kNotFound});
}

TEST_F(CancelRequestOfCaller, IsUnconfirmedWhenGroupHasNoHolder) {
  const auto number = Request(false, false);
  Confirm(5, number, false);
  Confirm(6, number, false);
  EXPECT_EQ(TakeAnswers(), Answers{CancelOutcome::kUnconfirmed});
}

TEST_F(CancelRequestOfCaller, IsUnconfirmedWhenHolderIsLost) {
  const auto number = Request(false);
  OnHolderLost(state, 6, out);
  EXPECT_TRUE(TakeAnswers().empty());
  Confirm(5, number, false);
  EXPECT_EQ(TakeAnswers(), Answers{CancelOutcome::kUnconfirmed});
}

TEST_F(CancelRequestOfCaller, IsUnconfirmedWhenHolderDoesNotAnswerInTime) {
  Request(false);
  now = NextDue(state).value();
  OnTime(state, now, out);
  EXPECT_EQ(TakeAnswers(), Answers{CancelOutcome::kUnconfirmed});
  EXPECT_FALSE(NextDue(state));
}

// Guards against a job that is started anew after its cancellation was
// acknowledged: its holder was cut off, and its origin, which knew of no
// cancellation, handed it to the next holder.
class CancelRequestAtHolder : public CancelRequestOfCaller {
 protected:
  void SetUp() override { number = Request(true, true, {7}); }

  CancelNumber number = 0;
};

TEST_F(CancelRequestAtHolder, IsAnsweredOnceOriginHasConfirmed) {
  EXPECT_EQ(std::get<AskHolder>(out.back()).holder, 7U);
  EXPECT_TRUE(TakeAnswers().empty());
  Confirm(5, number, false);
  EXPECT_TRUE(TakeAnswers().empty());
  Confirm(7, number, true);
  EXPECT_EQ(TakeAnswers(), Answers{CancelOutcome::kCancelled});
}

TEST_F(CancelRequestAtHolder, IsAnsweredWhenOriginHasJobNoMore) {
  Confirm(7, number, false);
  EXPECT_EQ(TakeAnswers(), Answers{CancelOutcome::kCancelled});
}

TEST_F(CancelRequestAtHolder, IsUnconfirmedWhenOriginIsLost) {
  OnHolderLost(state, 7, out);
  EXPECT_EQ(TakeAnswers(), Answers{CancelOutcome::kUnconfirmed});
}

TEST_F(CancelRequestAtHolder, IsUnconfirmedWhenOriginDoesNotAnswerInTime) {
  Confirm(5, number, false);
  Confirm(6, number, false);
  OnTime(state, NextDue(state).value(), out);
  EXPECT_EQ(TakeAnswers(), Answers{CancelOutcome::kUnconfirmed});
}

// Guards against an acknowledgement that is not true: the first request had
// ended the job at its holder, so that the second one found nothing there.
TEST_F(CancelRequestAtHolder, StaysUnconfirmedWhenRepeated) {
  const auto early = Request(false);
  Confirm(5, early, false);
  Confirm(6, early, false);
  EXPECT_EQ(TakeAnswers(), Answers{CancelOutcome::kUnconfirmed});
  OnHolderLost(state, 7, out);
  TakeAnswers();
  const auto again = Request(false);
  Confirm(5, again, false);
  Confirm(6, again, false);
  EXPECT_EQ(TakeAnswers(), Answers{CancelOutcome::kUnconfirmed});
  {
    SCOPED_TRACE("until an instance that can confirm has found the job");
    const auto found = Request(false);
    Confirm(5, found, true);
    EXPECT_EQ(TakeAnswers(), Answers{CancelOutcome::kCancelled});
    const auto last = Request(false);
    Confirm(5, last, false);
    Confirm(6, last, false);
    EXPECT_EQ(TakeAnswers(), Answers{CancelOutcome::kNotFound});
  }
}

class RememberedCancellation : public CancelRequestOfCaller {};

TEST_F(RememberedCancellation, LastsForSecondsAndThenEnds) {
  RememberCancelled(state, JobName{1}, now);
  EXPECT_TRUE(IsCancelled(state, JobName{1}, now + seconds(10)));
  EXPECT_FALSE(IsCancelled(state, JobName{2}, now));
  EXPECT_FALSE(IsCancelled(state, JobName{1}, now + seconds(30)));
}

TEST_F(RememberedCancellation, IsExtendedWhenRequestedAgain) {
  RememberCancelled(state, JobName{1}, now);
  now += seconds(15);
  RememberCancelled(state, JobName{1}, now);
  now += seconds(10);
  RememberCancelled(state, JobName{2}, now);
  EXPECT_TRUE(IsCancelled(state, JobName{1}, now));
}

TEST_F(RememberedCancellation, TakesBoundedMemory) {
  for (uint64_t i = 0; i < 100'000; ++i) {
    RememberCancelled(state, JobName{i}, now);
  }
  EXPECT_LE(state.remembered.size(), 20'000U);
  EXPECT_TRUE(IsCancelled(state, JobName{99'999}, now));
}

}  // namespace
}  // namespace boragecroft
