// Tests how other instances behave when an instance has stopped as planned.
#include <gtest/gtest.h>

#include "tests/servers/dispatcher/promise_checks.h"
#include "tests/servers/dispatcher/virtual_callers.h"
#include "tests/servers/dispatcher/virtual_fleet.h"

namespace boragecroft {
namespace {

// Longer than the time for which heartbeats and leases of a stopped peer can
// matter.
constexpr milliseconds kQuotaSettles{6000};

auto ElapseUntilStopped(VirtualFleet& fleet, size_t node) -> void {
  for (auto i = 0; i < 1000 && fleet.nodes[node].dispatcher != nullptr; ++i) {
    Elapse(fleet, milliseconds(10));
  }
  ASSERT_EQ(fleet.nodes[node].dispatcher, nullptr);
}

auto ElapseUntilFlushing(VirtualFleet& fleet, size_t node) -> void {
  const auto& dispatcher = fleet.nodes[node].dispatcher;
  for (auto i = 0; i < 1000 && dispatcher != nullptr &&
                   dispatcher->drain != DrainPhase::kFlushing;
       ++i) {
    Elapse(fleet, milliseconds(10));
  }
  ASSERT_NE(dispatcher, nullptr);
}

struct StoppedPeer : testing::Test {
  std::unique_ptr<VirtualFleet> fleet = MakeFleet(2, 1);

  auto TearDown() -> void override { EXPECT_EQ(CheckAll(*fleet), ""); }
};

TEST_F(StoppedPeer, ReceivesNoMoreRequests) {
  const auto unused = FetchId(*fleet, 1).value();
  Elapse(*fleet, seconds(3));
  Drain(*fleet, 1);
  ElapseUntilStopped(*fleet, 1);
  const auto request = Submit(*fleet, 0, MakeJob(unused, 2));
  Elapse(*fleet, seconds(1));
  EXPECT_EQ(ReportedState(*fleet, request), JobState::kDone);
}

TEST_F(StoppedPeer, PendingRequestsAreAnsweredFromRecords) {
  const auto unused = FetchId(*fleet, 1).value();
  Elapse(*fleet, seconds(3));
  Drain(*fleet, 1);
  ElapseUntilFlushing(*fleet, 1);
  // The request is lost, because the peer receives no more messages.
  fleet->partitions.insert({0, 1});
  const auto request = Submit(*fleet, 0, MakeJob(unused, 2));
  Elapse(*fleet, milliseconds(10));
  fleet->partitions.clear();
  ElapseUntilStopped(*fleet, 1);
  Elapse(*fleet, seconds(1));
  EXPECT_EQ(ReportedState(*fleet, request), JobState::kDone);
}

TEST_F(StoppedPeer, DoesNotBlockQuotasWhenStoppedBeforeAgreement) {
  fleet->partitions.insert({0, 1});
  for (size_t i = 0; i < 2; ++i) {
    Kill(*fleet, i);
    Boot(*fleet, i);
  }
  Elapse(*fleet, seconds(2));
  Drain(*fleet, 1);
  ElapseUntilFlushing(*fleet, 1);
  fleet->partitions.clear();
  ElapseUntilStopped(*fleet, 1);
  Elapse(*fleet, kQuotaSettles);
  const auto id = FetchId(*fleet, 0).value();
  const auto request = Submit(*fleet, 0, MakeJob(id, 2));
  Elapse(*fleet, seconds(2));
  EXPECT_EQ(ReportedState(*fleet, request), JobState::kDone);
}

// Each instance names the other as its successor, because neither has received
// the report that the other is leaving.
TEST_F(StoppedPeer, UnusedIdsAreRefusedWhenSuccessorStopsToo) {
  const auto unused = FetchId(*fleet, 1).value();
  Elapse(*fleet, seconds(3));
  fleet->partitions.insert({0, 1});
  for (size_t i = 0; i < 2; ++i) {
    fleet->nodes[i].dispatcher->settings.balancer_grace = milliseconds(300);
    Drain(*fleet, i);
  }
  ElapseUntilStopped(*fleet, 0);
  ElapseUntilStopped(*fleet, 1);
  fleet->partitions.clear();
  Boot(*fleet, 0);
  Boot(*fleet, 1);
  Elapse(*fleet, seconds(3));
  for (size_t i = 0; i < 2; ++i) {
    const auto request = Submit(*fleet, i, MakeJob(unused, 1));
    Elapse(*fleet, seconds(2));
    EXPECT_EQ(ReportedState(*fleet, request), JobState::kRefused);
  }
}

// Instance 1 is stopping, but still runs a task that takes 3 s.
struct StoppingPeer : StoppedPeer {
  JobId unused = FetchId(*fleet, 1).value();
  JobId running = FetchId(*fleet, 1).value();

  auto SetUp() -> void override {
    fleet->run_time = seconds(3);
    Elapse(*fleet, seconds(3));
    Submit(*fleet, 1, MakeJob(running, 1));
    Elapse(*fleet, milliseconds(500));
    fleet->nodes[1].dispatcher->settings.balancer_grace = milliseconds(300);
    Drain(*fleet, 1);
  }

  auto OnlyReplyTo(uint64_t number) const -> const AnswerReply* {
    const auto& replies = fleet->requests.at(number).replies;
    return replies.size() == 1 ? std::get_if<AnswerReply>(&replies.front())
                               : nullptr;
  }
};

TEST_F(StoppingPeer, AcceptsRelayedSubmissionsWhileFinishing) {
  Elapse(*fleet, milliseconds(400));
  ASSERT_EQ(fleet->nodes[1].dispatcher->drain, DrainPhase::kFinishing);
  const auto request = Submit(*fleet, 0, MakeJob(unused, 1));
  Elapse(*fleet, seconds(5));
  EXPECT_NE(OnlyReplyTo(request), nullptr);
  EXPECT_EQ(ReportedState(*fleet, request), JobState::kDone);
}

TEST_F(StoppingPeer, SuccessorServesSubmissionsThatArriveWhileFlushing) {
  ElapseUntilFlushing(*fleet, 1);
  const auto request = Submit(*fleet, 0, MakeJob(unused, 1));
  Elapse(*fleet, seconds(5));
  EXPECT_NE(OnlyReplyTo(request), nullptr);
  EXPECT_EQ(ReportedState(*fleet, request), JobState::kDone);
}

}  // namespace
}  // namespace boragecroft
