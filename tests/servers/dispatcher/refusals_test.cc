// Tests that a refusal remains valid on every instance, whatever happens after
// it.
#include "tests/servers/dispatcher/three_instances.h"

namespace boragecroft {
namespace {

// The submission under the id is first in progress, then ended, and at last
// known only from the records.
TEST_F(ThreeInstances, RefusesDifferentBodyUnderUsedId) {
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
  // A resubmission may change the urgency class and the deadline.
  const auto more_urgent = MakeJob(id, 2, "reminders");
  more_urgent->deadline = milliseconds(1);
  const auto reply = SubmitAndWait(0, more_urgent);
  const auto* answer = std::get_if<AnswerReply>(&reply);
  ASSERT_NE(answer, nullptr);
  EXPECT_EQ(answer->answer->state, JobState::kDone);
}

// The owner refuses an id that was unused for longer than its term, and stops.
// Then the id is submitted to its successor, whose clock may differ.
struct IdRefusedAsExpired : ThreeInstances {
  JobId id;

  auto SetUp() -> void override {
    id = FetchId(*fleet, 2).value();
    Elapse(*fleet, kIdTerm + milliseconds(100));
    const auto refused = Submit(*fleet, 2, MakeJob(id, 2));
    Drain(*fleet, 2);
    Elapse(*fleet, seconds(8));
    ASSERT_EQ(ReportedState(*fleet, refused), JobState::kRefused);
    ASSERT_EQ(fleet->nodes[2].dispatcher, nullptr);
  }

  auto SubmitToOthers() -> void {
    const auto here = Submit(*fleet, 0, MakeJob(id, 2));
    const auto there = Submit(*fleet, 1, MakeJob(id, 2));
    Elapse(*fleet, seconds(5));
    EXPECT_EQ(ReportedState(*fleet, here), JobState::kRefused);
    EXPECT_EQ(ReportedState(*fleet, there), JobState::kRefused);
    EXPECT_EQ(TotalStarts(id, 2), 0U);
  }
};

TEST_F(IdRefusedAsExpired, StaysRefusedWhenClockStepsBack) {
  fleet->now.wall -= seconds(20);
  SubmitToOthers();
}

TEST_F(IdRefusedAsExpired, StaysRefusedWhenSuccessorClockIsBehind) {
  for (size_t i = 0; i < 2; ++i) {
    fleet->nodes[i].dispatcher->mint.started.wall -= seconds(10);
  }
  SubmitToOthers();
}

TEST_F(ThreeInstances, RefusalPersistsAfterOwnerTerminates) {
  const auto id = FetchId(*fleet, 2).value();
  auto job = MakeJob(id, 1);
  job->needs.accelerators = 99;
  const auto refused = Submit(*fleet, 2, job);
  Elapse(*fleet, seconds(2));
  EXPECT_EQ(ReportedState(*fleet, refused), JobState::kRefused);
  Kill(*fleet, 2);
  Boot(*fleet, 2);
  Elapse(*fleet, seconds(5));
  const auto again = Submit(*fleet, 0, job);
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(ReportedState(*fleet, again), JobState::kRefused);
}

TEST_F(ThreeInstances, ExpiredIdStaysRefusedAfterOwnerTerminates) {
  const auto id = FetchId(*fleet, 2).value();
  Elapse(*fleet, kIdTerm + seconds(1));
  const auto refused = Submit(*fleet, 2, MakeJob(id, 1));
  Elapse(*fleet, seconds(2));
  EXPECT_EQ(ReportedState(*fleet, refused), JobState::kRefused);
  Kill(*fleet, 2);
  Boot(*fleet, 2);
  Elapse(*fleet, seconds(5));
  const auto again = Fetch(*fleet, 0, id);
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(ReportedState(*fleet, again), JobState::kRefused);
}

// After the refusal the caller may have continued under a new id, so a
// duplicate of the first request that arrives late must not start the work a
// second time.
TEST_F(ThreeInstances, IdRefusedForDeadlineStaysRefused) {
  // The instance must have estimates of run times first.
  Submit(*fleet, 0, MakeJob(FetchId(*fleet, 0).value(), 60));
  Elapse(*fleet, seconds(20));
  const auto id = FetchId(*fleet, 0).value();
  const auto late = MakeJob(id, 2);
  late->deadline = milliseconds(1);
  ExpectRefused(late, Refusal::kDeadline);
  ExpectRefused(MakeJob(id, 2), Refusal::kDeadline);
  EXPECT_EQ(TotalStarts(id, 2), 0U);
}

// A ledger that is being closed accepts no more refusals, so a refusal by the
// stopping instance could not be recorded.
TEST_F(ThreeInstances, StoppingInstanceDoesNotRefuseExpiredIdPermanently) {
  const auto id = FetchId(*fleet, 2).value();
  Elapse(*fleet, kIdTerm + seconds(1));
  fleet->platform_down = true;
  Drain(*fleet, 2);
  Elapse(*fleet, seconds(5));
  Submit(*fleet, 2, MakeJob(id, 1));
  Elapse(*fleet, seconds(1));
  fleet->platform_down = false;
  Elapse(*fleet, seconds(8));
  ASSERT_EQ(fleet->nodes[2].dispatcher, nullptr);
  Kill(*fleet, 0);
  Boot(*fleet, 0);
  Elapse(*fleet, seconds(5));
  const auto again = Fetch(*fleet, 1, id);
  Elapse(*fleet, seconds(5));
  EXPECT_NE(ReportedState(*fleet, again), JobState::kActive);
}

// The relayed submission is refused while no slots are allotted. Its duplicate
// arrives when slots are available again.
TEST_F(ThreeInstances, DuplicateOfRefusedRelayStartsNothing) {
  const auto id = FetchId(*fleet, 2).value();
  const auto relay =
      [this,
       request = RelayRequest{
           .number = 7, .call = SubmitRequest{.submission = MakeJob(id, 1)}}] {
        Deliver(*fleet, 2, {}, [this, request](EventContext& context) {
          OnPeerMessage(context, {.from = fleet->nodes[0].dispatcher->self,
                                  .body = request});
        });
      };
  for (auto& it : fleet->nodes[2].dispatcher->fleet.workers) {
    it.allotted_slots = 0;
  }
  relay();
  Elapse(*fleet, seconds(1));
  relay();
  Elapse(*fleet, seconds(1));
  EXPECT_EQ(TotalStarts(id, 1), 0U);
}

}  // namespace
}  // namespace boragecroft
