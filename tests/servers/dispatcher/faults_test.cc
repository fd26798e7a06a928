// One fault after the other, each told as a story.
#include <gtest/gtest.h>

#include "tests/servers/dispatcher/promise_checks.h"
#include "tests/servers/dispatcher/virtual_callers.h"

namespace boragecroft {
namespace {

struct ThreeInstances : testing::Test {
  std::unique_ptr<VirtualFleet> fleet = MakeFleet(3, 1);

  auto TearDown() -> void override { EXPECT_EQ(CheckAll(*fleet), ""); }

  auto TotalStarts(const JobId& id, uint32_t tasks) const -> uint32_t {
    uint32_t sum = 0;
    for (uint32_t i = 0; i < tasks; ++i) {
      sum += Starts(*fleet, {.job = id, .index = i});
    }
    return sum;
  }

  // What an instance says to a submission, in 5 s.
  auto Tell(size_t node, const std::shared_ptr<const Submission>& job)
      -> CallerReplyBody {
    const auto number =
        Ask(*fleet, node, SubmitRequest{.submission = job, .wait = seconds(4)});
    Elapse(*fleet, seconds(5));
    const auto& replies = fleet->asked.at(number).replies;
    return replies.empty() ? CallerReplyBody(UndecidedReply()) : replies.back();
  }

  auto ExpectRefused(const std::shared_ptr<const Submission>& job,
                     Refusal refusal) -> void {
    for (const size_t node : {0, 1}) {
      const auto told = Tell(node, job);
      const auto* it = std::get_if<RefusalReply>(&told);
      ASSERT_NE(it, nullptr);
      EXPECT_EQ(it->refusal, refusal);
    }
  }
};

TEST_F(ThreeInstances, RunAJobAndAnswerAnywhere) {
  const auto id = FetchId(*fleet, 0).value();
  const auto first = Submit(*fleet, 0, MakeJob(id, 5));
  const auto second = Submit(*fleet, 1, MakeJob(id, 5));
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(StateTold(*fleet, first), JobState::kDone);
  EXPECT_EQ(StateTold(*fleet, second), JobState::kDone);
  EXPECT_EQ(TotalStarts(id, 5), 5U);
}

struct AnEndpointThatForgot : ThreeInstances,
                              testing::WithParamInterface<bool> {};

TEST_P(AnEndpointThatForgot, WhatItRanIsNotBelieved) {
  for (auto& it : fleet->endpoints) {
    it.second.named = GetParam();
  }
  const auto id = FetchId(*fleet, 0).value();
  fleet->run_time = milliseconds(1000);
  const auto asked = Submit(*fleet, 0, MakeJob(id, 2));
  Elapse(*fleet, milliseconds(600));
  ASSERT_EQ(TotalStarts(id, 2), 2U);
  for (auto& it : fleet->endpoints) {
    Restart(it.second);
  }
  Elapse(*fleet, seconds(8));
  EXPECT_EQ(StateTold(*fleet, asked), JobState::kFailed);
  EXPECT_EQ(TotalStarts(id, 2), 2U);
}

INSTANTIATE_TEST_SUITE_P(NamedAndUnnamed,
                         AnEndpointThatForgot,
                         testing::Bool());

TEST_F(ThreeInstances, ARestartedEndpointGetsNewWork) {
  for (auto& it : fleet->endpoints) {
    Restart(it.second);
  }
  const auto asked = Submit(*fleet, 0, MakeJob(FetchId(*fleet, 0).value(), 5));
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(StateTold(*fleet, asked), JobState::kDone);
}

struct AfterAPlannedStop : ThreeInstances {
  JobId ran;
  JobId unused;

  auto SetUp() -> void override {
    ran = FetchId(*fleet, 2).value();
    unused = FetchId(*fleet, 2).value();
    Submit(*fleet, 2, MakeJob(ran, 2));
    Elapse(*fleet, seconds(3));
    Drain(*fleet, 2);
    Elapse(*fleet, seconds(8));
    ASSERT_EQ(fleet->nodes[2].dispatcher, nullptr);
  }
};

TEST_F(AfterAPlannedStop, AnUnusedIdRunsOnceThroughAnotherInstance) {
  const auto here = Submit(*fleet, 0, MakeJob(unused, 2));
  const auto there = Submit(*fleet, 1, MakeJob(unused, 2));
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(StateTold(*fleet, here), JobState::kDone);
  EXPECT_EQ(StateTold(*fleet, there), JobState::kDone);
}

TEST_F(AfterAPlannedStop, AJobThatRanIsNotStartedAgainBesideAnAdoptedId) {
  Submit(*fleet, 0, MakeJob(unused, 2));
  Elapse(*fleet, seconds(5));
  const auto here = Submit(*fleet, 0, MakeJob(ran, 2));
  const auto there = Submit(*fleet, 1, MakeJob(ran, 2));
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(StateTold(*fleet, here), JobState::kDone);
  EXPECT_EQ(StateTold(*fleet, there), JobState::kDone);
  EXPECT_EQ(TotalStarts(ran, 2), 2U);
}

TEST_F(AfterAPlannedStop, AnIdOfAnotherPartnerIsRefusedEverywhere) {
  auto job = MakeJob(unused, 2);
  job->partner = "cobros";
  ExpectRefused(job, Refusal::kWrongPartner);
  EXPECT_EQ(TotalStarts(unused, 2), 0U);
}

TEST_F(AfterAPlannedStop, AnIdThatWasNeverMintedIsRefusedEverywhere) {
  auto next = unused;
  ++next.sequence;
  auto elsewhen = unused;
  elsewhen.minted += milliseconds(1);
  for (const auto& it : {next, elsewhen}) {
    ExpectRefused(MakeJob(it, 2), Refusal::kIdNotMinted);
    EXPECT_EQ(TotalStarts(it, 2), 0U);
  }
}

// In progress, ended, and known only from the records.
TEST_F(ThreeInstances, AnotherBodyUnderAUsedIdIsRefused) {
  const auto id = FetchId(*fleet, 2).value();
  fleet->run_time = milliseconds(12000);
  Submit(*fleet, 2, MakeJob(id, 2));
  const auto other = MakeJob(id, 2);
  other->payloads[1] = "\"other\"";
  ExpectRefused(other, Refusal::kIdReused);
  Elapse(*fleet, seconds(10));
  ExpectRefused(other, Refusal::kIdReused);
  Drain(*fleet, 2);
  Elapse(*fleet, seconds(8));
  ASSERT_EQ(fleet->nodes[2].dispatcher, nullptr);
  ExpectRefused(other, Refusal::kIdReused);
  // How urgent it is may be said anew.
  const auto hastier = MakeJob(id, 2, "reminders");
  hastier->deadline = milliseconds(1);
  const auto told = Tell(0, hastier);
  const auto* answer = std::get_if<AnswerReply>(&told);
  ASSERT_NE(answer, nullptr);
  EXPECT_EQ(answer->answer->state, JobState::kDone);
}

struct AStopInAnOutage : ThreeInstances {
  JobId ran;

  auto SetUp() -> void override {
    ran = FetchId(*fleet, 2).value();
    fleet->platform_down = true;
    const auto asked = Submit(*fleet, 2, MakeJob(ran, 2, "reminders"));
    Elapse(*fleet, seconds(3));
    ASSERT_EQ(StateTold(*fleet, asked), JobState::kDone);
    Drain(*fleet, 2);
    Elapse(*fleet, seconds(60));
  }
};

TEST_F(AStopInAnOutage, OthersAnswerWhatTheStoppedInstanceAnswered) {
  fleet->platform_down = false;
  Elapse(*fleet, seconds(8));
  ASSERT_EQ(fleet->nodes[2].dispatcher, nullptr);
  Boot(*fleet, 2);
  Elapse(*fleet, seconds(5));
  const auto again = Fetch(*fleet, 0, ran);
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(StateTold(*fleet, again), JobState::kDone);
}

TEST_F(AStopInAnOutage, ItAnswersForItsIdsUntilItsRecordsAreWritten) {
  const auto again = Fetch(*fleet, 0, ran);
  Elapse(*fleet, seconds(1));
  EXPECT_EQ(StateTold(*fleet, again), JobState::kDone);
}

TEST_F(ThreeInstances, AnInstanceThatGaveNoIdStopsInAnOutage) {
  fleet->platform_down = true;
  Drain(*fleet, 2);
  Elapse(*fleet, seconds(40));
  EXPECT_EQ(fleet->nodes[2].dispatcher, nullptr);
}

// The owner refuses an id that outlived its term, then stops, and the id is
// submitted to its successor, whose clock may differ.
struct AnIdThatItsOwnerCalledExpired : ThreeInstances {
  JobId id;

  auto SetUp() -> void override {
    id = FetchId(*fleet, 2).value();
    Elapse(*fleet, kIdTerm + milliseconds(100));
    const auto refused = Submit(*fleet, 2, MakeJob(id, 2));
    Drain(*fleet, 2);
    Elapse(*fleet, seconds(8));
    ASSERT_EQ(StateTold(*fleet, refused), JobState::kRefused);
    ASSERT_EQ(fleet->nodes[2].dispatcher, nullptr);
  }

  auto SubmitToOthers() -> void {
    const auto here = Submit(*fleet, 0, MakeJob(id, 2));
    const auto there = Submit(*fleet, 1, MakeJob(id, 2));
    Elapse(*fleet, seconds(5));
    EXPECT_EQ(StateTold(*fleet, here), JobState::kRefused);
    EXPECT_EQ(StateTold(*fleet, there), JobState::kRefused);
    EXPECT_EQ(TotalStarts(id, 2), 0U);
  }
};

TEST_F(AnIdThatItsOwnerCalledExpired, StaysSoWhenTheClockStepsBack) {
  fleet->now.wall -= seconds(20);
  SubmitToOthers();
}

TEST_F(AnIdThatItsOwnerCalledExpired, StaysSoOnASuccessorWhoseClockIsBehind) {
  for (size_t i = 0; i < 2; ++i) {
    fleet->nodes[i].dispatcher->mint.started.wall -= seconds(10);
  }
  SubmitToOthers();
}

TEST_F(ThreeInstances, ARefusalHoldsAfterTheOwnersDeath) {
  const auto id = FetchId(*fleet, 2).value();
  auto job = MakeJob(id, 1);
  job->needs.accelerators = 99;
  const auto refused = Submit(*fleet, 2, job);
  Elapse(*fleet, seconds(2));
  EXPECT_EQ(StateTold(*fleet, refused), JobState::kRefused);
  Kill(*fleet, 2);
  Boot(*fleet, 2);
  Elapse(*fleet, seconds(5));
  const auto again = Submit(*fleet, 0, job);
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(StateTold(*fleet, again), JobState::kRefused);
}

// The caller may have gone on under a new id: a copy of the first request that
// comes late must not start the work a second time.
TEST_F(ThreeInstances, AnIdRefusedForItsDeadlineStaysRefused) {
  // Run times are learned first.
  Submit(*fleet, 0, MakeJob(FetchId(*fleet, 0).value(), 60));
  Elapse(*fleet, seconds(20));
  const auto id = FetchId(*fleet, 0).value();
  const auto late = MakeJob(id, 2);
  late->deadline = milliseconds(1);
  ExpectRefused(late, Refusal::kDeadline);
  ExpectRefused(MakeJob(id, 2), Refusal::kDeadline);
  EXPECT_EQ(TotalStarts(id, 2), 0U);
}

TEST_F(ThreeInstances, AnExpiredIdStaysRefusedAfterTheOwnersDeath) {
  const auto id = FetchId(*fleet, 2).value();
  Elapse(*fleet, kIdTerm + seconds(1));
  const auto refused = Submit(*fleet, 2, MakeJob(id, 1));
  Elapse(*fleet, seconds(2));
  EXPECT_EQ(StateTold(*fleet, refused), JobState::kRefused);
  Kill(*fleet, 2);
  Boot(*fleet, 2);
  Elapse(*fleet, seconds(5));
  const auto again = Fetch(*fleet, 0, id);
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(StateTold(*fleet, again), JobState::kRefused);
}

// Instance 1 still takes the address for that of the older process.
TEST_F(ThreeInstances, ANewIncarnationIsNotGoneWhereItIsNotHeard) {
  Elapse(*fleet, seconds(30));
  fleet->cuts.insert({1, 2});
  Kill(*fleet, 2);
  Boot(*fleet, 2);
  Elapse(*fleet, seconds(5));
  const auto id = FetchId(*fleet, 2).value();
  Submit(*fleet, 1, MakeJob(id, 2));
  Elapse(*fleet, seconds(5));
  const auto asked = Submit(*fleet, 2, MakeJob(id, 2));
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(StateTold(*fleet, asked), JobState::kDone);
}

struct OwnerDies : ThreeInstances, testing::WithParamInterface<int> {};

TEST_P(OwnerDies, AtAnyMomentAndOthersTellWhatRan) {
  const auto id = FetchId(*fleet, 2).value();
  Submit(*fleet, 2, MakeJob(id, 20));
  Elapse(*fleet, milliseconds(GetParam()));
  Kill(*fleet, 2);
  Boot(*fleet, 2);
  Elapse(*fleet, seconds(5));
  const auto here = Submit(*fleet, 0, MakeJob(id, 20));
  const auto there = Submit(*fleet, 1, MakeJob(id, 20));
  Elapse(*fleet, seconds(8));
  EXPECT_NE(StateTold(*fleet, here), JobState::kActive);
  EXPECT_EQ(StateTold(*fleet, here), StateTold(*fleet, there));
}

INSTANTIATE_TEST_SUITE_P(BeforeDuringAfterDispatch,
                         OwnerDies,
                         testing::Values(0, 20, 40, 100, 400, 1000, 6000));

// The others take a node for gone: a replacement has its address.
auto GiveUp(VirtualFleet& fleet, size_t node) -> void {
  const auto taken = fleet.nodes[node].dispatcher->self;
  for (size_t i = 0; i < fleet.nodes.size(); ++i) {
    if (i != node) {
      fleet.nodes[i].dispatcher->membership.ended.push_back(
          {.incarnation = taken, .since = fleet.now.boot});
    }
  }
}

TEST_F(ThreeInstances, AnOwnerThatWakesDeposedTellsWhatTheRecordsSay) {
  const auto id = FetchId(*fleet, 2).value();
  fleet->run_time = milliseconds(1000);
  const auto asked = Submit(*fleet, 2, MakeJob(id, 2));
  Elapse(*fleet, milliseconds(600));
  fleet->nodes[2].paused = true;
  GiveUp(*fleet, 2);
  Elapse(*fleet, seconds(4));
  const auto here = Submit(*fleet, 0, MakeJob(id, 2));
  Elapse(*fleet, seconds(4));
  EXPECT_EQ(StateTold(*fleet, here), JobState::kFailed);
  fleet->nodes[2].paused = false;
  Elapse(*fleet, seconds(8));
  EXPECT_EQ(StateTold(*fleet, asked), JobState::kFailed);
}

TEST_F(ThreeInstances, ADeposedOwnerRefusesNothingThatTheRecordsCallFailed) {
  const auto id = FetchId(*fleet, 2).value();
  const auto other = FetchId(*fleet, 2).value();
  Elapse(*fleet, seconds(1));
  fleet->nodes[2].paused = true;
  GiveUp(*fleet, 2);
  Elapse(*fleet, seconds(4));
  const auto here = Submit(*fleet, 0, MakeJob(id, 2));
  Elapse(*fleet, seconds(4));
  ASSERT_EQ(StateTold(*fleet, here), JobState::kFailed);
  fleet->nodes[2].paused = false;
  Elapse(*fleet, seconds(1));
  Submit(*fleet, 2, MakeJob(other, 1));
  for (auto i = 0; i < 300 && !fleet->nodes[2].dispatcher->deposed; ++i) {
    Elapse(*fleet, milliseconds(10));
  }
  ASSERT_TRUE(fleet->nodes[2].dispatcher->deposed);
  const auto there = Submit(*fleet, 2, MakeJob(id, 2));
  Elapse(*fleet, seconds(1));
  EXPECT_EQ(StateTold(*fleet, there), JobState::kFailed);
}

}  // namespace
}  // namespace boragecroft
