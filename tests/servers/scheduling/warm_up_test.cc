// Checks how much work a worker that may be cold gets, when it counts as warm,
// and which estimates its runs enter.
#include "servers/scheduling/warm_up.h"

#include <gtest/gtest.h>

#include "tests/servers/scheduling/scheduler_fixture.h"

namespace boragecroft {
namespace {

using detail::JudgeRun;
using detail::WarmUpAfterRow;
using detail::WarmUpVerdict;

const auto kStart = Instant() + seconds(100);

auto ColdEntry(milliseconds cold_left, Instant cold_until) -> WorkerEntry {
  return WorkerEntry{.id = std::string("w"),
                     .started_at = milliseconds{1000},
                     .cold_left = cold_left,
                     .cold_until = cold_until};
}

// Guards against a worker that is paced for ever, or filled while it is cold.
TEST(RunOnColdWorker, IsJudgedByItsTimeOnWarmOne) {
  const WarmUp warm_up{.since = kStart, .cold_until = kStart + seconds(3)};
  const auto judge = [&](milliseconds ordered, milliseconds run_time) {
    return JudgeRun(warm_up, kStart + ordered, run_time, milliseconds{100});
  };
  // It began before the warm-up, so it may show the worker before its pause.
  EXPECT_EQ(judge(milliseconds{-1}, milliseconds{100}),
            WarmUpVerdict::kNoEvidence);
  EXPECT_EQ(judge(milliseconds{0}, milliseconds{150}), WarmUpVerdict::kWarm);
  EXPECT_EQ(judge(milliseconds{0}, milliseconds{151}), WarmUpVerdict::kCold);
  // It ended after the cold time, but ran in it.
  EXPECT_EQ(judge(milliseconds{2999}, milliseconds{300}), WarmUpVerdict::kCold);
  EXPECT_EQ(judge(milliseconds{3000}, milliseconds{300}), WarmUpVerdict::kSlow);
}

// Guards against a cold time that never ends because rows are rewritten with
// the same figure, and against a restart that is taken for such a row.
TEST(RowOfColdWorker, CountsFromItsFirstRead) {
  auto first = ColdEntry(seconds(3), Instant());
  SetColdUntil(first, nullptr, kStart);
  EXPECT_EQ(first.cold_until, kStart + seconds(3));
  auto again = ColdEntry(seconds(3), Instant());
  SetColdUntil(again, &first, kStart + seconds(2));
  EXPECT_EQ(again.cold_until, kStart + seconds(3));
  auto other_figure = ColdEntry(seconds(2), Instant());
  SetColdUntil(other_figure, &again, kStart + seconds(2));
  EXPECT_EQ(other_figure.cold_until, kStart + seconds(4));
  auto restarted = ColdEntry(seconds(3), Instant());
  restarted.started_at += milliseconds{1};
  SetColdUntil(restarted, &first, kStart + seconds(2));
  EXPECT_EQ(restarted.cold_until, kStart + seconds(5));
  auto warm = ColdEntry(milliseconds{0}, kStart);
  SetColdUntil(warm, &first, kStart);
  EXPECT_EQ(warm.cold_until, Instant());
}

// Guards against rows that slow a worker down again that was found warm, and
// against those that are ignored after a restart.
TEST(RowOfColdWorker, BeginsOneWarmUpPerColdTime) {
  const auto warm = ColdEntry(milliseconds{0}, Instant());
  const auto cold = ColdEntry(seconds(3), kStart + seconds(3));
  auto restarted = cold;
  restarted.started_at += milliseconds{1};
  EXPECT_FALSE(WarmUpAfterRow({}, nullptr, warm, kStart));
  EXPECT_TRUE(WarmUpAfterRow({}, nullptr, cold, kStart));
  EXPECT_TRUE(WarmUpAfterRow({}, &warm, cold, kStart));
  EXPECT_FALSE(WarmUpAfterRow({}, &cold, cold, kStart));
  EXPECT_TRUE(WarmUpAfterRow({}, &cold, restarted, kStart));
  // The row was read long ago, by an instance that takes the group over now.
  EXPECT_FALSE(WarmUpAfterRow({}, nullptr, cold, kStart + seconds(4)));
}

TEST(RowOfColdWorker, ChangesTheWarmUpInProgress) {
  const auto warm = ColdEntry(milliseconds{0}, Instant());
  const auto cold = ColdEntry(seconds(3), kStart + seconds(3));
  WarmUp by_row{.since = kStart, .cold_until = kStart + seconds(3)};
  EXPECT_FALSE(WarmUpAfterRow(by_row, &cold, warm, kStart + seconds(1)));
  auto returned = by_row;
  returned.returned = true;
  // Outside a return it would be over; a returning worker has yet to show it.
  const auto after = WarmUpAfterRow(returned, &cold, warm, kStart + seconds(1));
  ASSERT_TRUE(after);
  EXPECT_EQ(after->cold_until, kStart + seconds(1));
  // A row without a figure, as before the evacuation, changes nothing.
  EXPECT_EQ(
      WarmUpAfterRow(returned, &warm, warm, kStart + seconds(1))->cold_until,
      kStart + seconds(3));
}

// One worker with room for four tasks, whose speed is known from before.
class ReturningWorker : public SchedulerFixture {
 protected:
  static constexpr milliseconds kRunTime{60};

  void SetUp() override {
    Begin({Entry()});
    state.run_times.workers["w1"] = {.value = 0.2, .observations = 100};
    state.run_times.worker_kinds["a"] = {.value = 0, .observations = 100};
  }

  auto Entry(milliseconds cold_left = milliseconds{0}) -> WorkerEntry {
    auto entry = MakeEntry("w1", 64'000);
    entry.cold_left = cold_left;
    SetColdUntil(entry, nullptr, now);
    return entry;
  }

  auto OfferTasks(uint32_t count, milliseconds remaining = milliseconds{60'000})
      -> void {
    auto offer = MakeOffer(++last_job, count);
    offer.remaining = remaining;
    offer.target = milliseconds{20'000};
    Offer(offer);
    CollectStarts();
  }

  // Adds the starts that were ordered to those in progress.
  auto CollectStarts() -> void {
    for (const auto& it : Take<StartCommand>()) {
      AnswerStart(it, OrderAnswer::kAccepted);
      running.push_back(it);
    }
    for (const auto& it : Take<RenewCommand>()) {
      renewal = it;
    }
  }

  // Ends the oldest run after `run_time`.
  auto EndRun(milliseconds run_time) -> void {
    now += run_time;
    const auto ended = running.front();
    running.erase(running.begin());
    std::vector<ListedRun> others;
    for (const auto& it : running) {
      others.push_back({.task = it.task, .attempt = it.attempt});
    }
    AnswerRenewal(renewal, others,
                  {{++sequence, ended.task, ended.attempt, RunEnd::kDone}});
    CollectStarts();
  }

  auto Speed() const -> double {
    return SpeedOf(state.run_times, state.workers.at("w1").entry);
  }

  uint64_t last_job = 0;
  uint64_t sequence = 0;
  std::vector<StartCommand> running;
  RenewCommand renewal;
};

// Guards against a zone that is filled at once with tasks that cold workers
// can't end in time, and against one that stays paced when it is warm.
TEST_F(ReturningWorker, GetsOneTaskAtATimeUntilOneEndsInTime) {
  StartWarmUp(state, now);
  OfferTasks(6);
  EXPECT_EQ(running.size(), 1U);
  EXPECT_EQ(LoadOf(state).free_slots, 0U);
  EndRun(kRunTime);
  EXPECT_EQ(running.size(), 4U);
}

// Guards against a learned speed of before the evacuation, and against tasks
// placed on a worker that has shown that it is too slow for them.
TEST_F(ReturningWorker, HasTheSpeedOfItsKindThenOfItsLastRun) {
  StartWarmUp(state, now);
  EXPECT_DOUBLE_EQ(Speed(), 1);
  OfferTasks(6);
  EndRun(kRunTime * 4);
  EXPECT_NEAR(Speed(), 0.25, 0.01);
  EXPECT_EQ(running.size(), 1U);
  EndRun(kRunTime * 3);
  EXPECT_NEAR(Speed(), 0.33, 0.01);
  EXPECT_EQ(running.size(), 1U);
  EndRun(kRunTime);
  EXPECT_NEAR(Speed(), 1, 0.05);
  EXPECT_EQ(running.size(), 3U);
}

// Guards against a worker that is slow for good and would stay paced: after the
// cold time one more task is waited for.
TEST_F(ReturningWorker, TakesFullLoadAfterColdTimeAndOneMoreTask) {
  OnWorkerEntry(state, Entry(milliseconds{200}), now, out);
  StartWarmUp(state, now);
  OfferTasks(8);
  EndRun(kRunTime * 4);
  // This one began in the cold time.
  EXPECT_EQ(running.size(), 1U);
  EndRun(kRunTime * 4);
  EXPECT_EQ(running.size(), 4U);
  EXPECT_NEAR(Speed(), 0.25, 0.01);
}

// Guards against a worker that gets no task any more: nothing ends in time at
// its speed while it was cold, so nothing can show that it is warm.
TEST_F(ReturningWorker, IsExpectedToBeWarmAfterColdTime) {
  OnWorkerEntry(state, Entry(milliseconds{500}), now, out);
  StartWarmUp(state, now);
  OfferTasks(1);
  EndRun(milliseconds{490});
  EXPECT_LT(Speed(), 0.2);
  OfferTasks(1, milliseconds{400});
  EXPECT_TRUE(running.empty());
  EXPECT_EQ(NextDue(state), now + milliseconds{10});
  AdvanceTime(milliseconds{10});
  CollectStarts();
  EXPECT_EQ(running.size(), 1U);
  EXPECT_DOUBLE_EQ(Speed(), 1);
}

// Guards against estimates that cold runs spoil: the next jobs of the kind
// would be refused, and new workers of the kind would count as slow.
TEST_F(ReturningWorker, TeachesNothingAboutItsKindOrTheKindOfJob) {
  StartWarmUp(state, now);
  OfferTasks(3);
  EndRun(kRunTime * 4);
  EndRun(kRunTime);
  EXPECT_TRUE(state.run_times.kinds.empty());
  EXPECT_EQ(state.run_times.worker_kinds.at("a").observations, 100U);
  EXPECT_DOUBLE_EQ(state.run_times.worker_kinds.at("a").value, 0);
  // From here on the worker is warm.
  EndRun(kRunTime);
  EXPECT_EQ(state.run_times.kinds.size(), 1U);
}

// Guards against a job that is taken because it would fit a warm worker: its
// origin should ask another group.
TEST_F(ReturningWorker, TakesNoJobThatNeedsTwoStartsAtOnce) {
  StartWarmUp(state, now);
  auto offer = MakeOffer(1, 2);
  offer.immediate_only = true;
  Offer(offer);
  EXPECT_TRUE(Take<StartCommand>().empty());
  EXPECT_TRUE(Take<ResultCommand>().at(0).redirected);
}

// Guards against a run that began before the evacuation and counts as proof.
TEST_F(ReturningWorker, IsNotJudgedByRunFromBefore) {
  OfferTasks(1);
  now += milliseconds{1};
  StartWarmUp(state, now);
  OfferTasks(3);
  EXPECT_EQ(running.size(), 1U);
  EndRun(kRunTime);
  EXPECT_EQ(running.size(), 1U);
}

// Guards against a restart that lifts the pacing in the middle of a return.
TEST_F(ReturningWorker, StaysPacedWhenItRestarts) {
  StartWarmUp(state, now);
  auto entry = Entry();
  entry.started_at += milliseconds{1};
  OnWorkerEntry(state, entry, now, out);
  EXPECT_TRUE(state.workers.at("w1").warm_up);
}

// A worker outside a return, as added or restarted by the platform.
using AddedWorker = ReturningWorker;

// Guards against a change for deployments whose rows have no `cold_left_ms`.
TEST_F(AddedWorker, TakesFullLoadWhenRowDoesNotSayCold) {
  OnWorkerEntry(state, Entry(), now, out);
  EXPECT_NE(Speed(), 1);
  OfferTasks(6);
  EXPECT_EQ(running.size(), 4U);
}

TEST_F(AddedWorker, IsPacedWhileRowSaysCold) {
  OnWorkerEntry(state, Entry(seconds(3)), now, out);
  EXPECT_DOUBLE_EQ(Speed(), 1);
  OfferTasks(6);
  EXPECT_EQ(running.size(), 1U);
  // The row says that it is warm now.
  OnWorkerEntry(state, Entry(), now, out);
  CollectStarts();
  EXPECT_EQ(running.size(), 4U);
}

// Guards against a warm-up that a change of holders ends, or begins again for
// an old row.
TEST_F(AddedWorker, IsPacedByNewHolderWhileItsRowSaysCold) {
  const auto entry = Entry(seconds(3));
  BeginTerm(state, kToken + kTokensPerTerm, {entry}, true, now, out);
  EXPECT_TRUE(state.workers.at("w1").warm_up);
  now += seconds(4);
  BeginTerm(state, kToken + 2 * kTokensPerTerm, {entry}, true, now, out);
  EXPECT_FALSE(state.workers.at("w1").warm_up);
}

}  // namespace
}  // namespace boragecroft
