// Scenarios with one fault each.
#include "tests/servers/dispatcher/three_instances.h"

namespace boragecroft {
namespace {

TEST_F(ThreeInstances, AnswersJobFromAnyInstance) {
  const auto id = FetchId(*fleet, 0).value();
  const auto first = Submit(*fleet, 0, MakeJob(id, 5));
  const auto second = Submit(*fleet, 1, MakeJob(id, 5));
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(ReportedState(*fleet, first), JobState::kDone);
  EXPECT_EQ(ReportedState(*fleet, second), JobState::kDone);
  EXPECT_EQ(TotalStarts(id, 5), 5U);
}

struct RestartedEndpoint : ThreeInstances, testing::WithParamInterface<bool> {};

// The endpoints restart during the tasks and know nothing of them. Their
// answers must not be taken as proof that the tasks have not run.
TEST_P(RestartedEndpoint, FailsJobWithoutSecondStart) {
  for (auto& it : fleet->endpoints) {
    it.second.named = GetParam();
  }
  const auto id = FetchId(*fleet, 0).value();
  fleet->run_time = milliseconds(1000);
  const auto request = Submit(*fleet, 0, MakeJob(id, 2));
  Elapse(*fleet, milliseconds(600));
  ASSERT_EQ(TotalStarts(id, 2), 2U);
  for (auto& it : fleet->endpoints) {
    Restart(it.second);
  }
  Elapse(*fleet, seconds(8));
  EXPECT_EQ(ReportedState(*fleet, request), JobState::kFailed);
  EXPECT_EQ(TotalStarts(id, 2), 2U);
}

INSTANTIATE_TEST_SUITE_P(NamedAndUnnamed, RestartedEndpoint, testing::Bool());

TEST_F(ThreeInstances, SendsNewJobToRestartedEndpoint) {
  for (auto& it : fleet->endpoints) {
    Restart(it.second);
  }
  const auto request =
      Submit(*fleet, 0, MakeJob(FetchId(*fleet, 0).value(), 5));
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(ReportedState(*fleet, request), JobState::kDone);
}

TEST_F(ThreeInstances, RunsJobOnceForAllSubmissionsUnderOneKey) {
  const auto job = MakeKeyedJob("key", 3);
  std::vector<uint64_t> requests;
  for (size_t i = 0; i < 6; ++i) {
    requests.push_back(SubmitKeyed(*fleet, i % 3, "key", job));
  }
  Elapse(*fleet, seconds(5));
  for (const auto it : requests) {
    EXPECT_EQ(ReportedState(*fleet, it), JobState::kDone);
  }
  EXPECT_EQ(TotalStarts(fleet->ids_of_keys.at("key"), 3), 3U);
}

// Instance 1 is partitioned from the new process and still associates its
// address with the old one. It must not close the new incarnation's ledger.
TEST_F(ThreeInstances, KeepsLedgerOpenWhenNewIncarnationIsPartitioned) {
  Elapse(*fleet, seconds(30));
  fleet->partitions.insert({1, 2});
  Kill(*fleet, 2);
  Boot(*fleet, 2);
  Elapse(*fleet, seconds(5));
  const auto id = FetchId(*fleet, 2).value();
  Submit(*fleet, 1, MakeJob(id, 2));
  Elapse(*fleet, seconds(5));
  const auto request = Submit(*fleet, 2, MakeJob(id, 2));
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(ReportedState(*fleet, request), JobState::kDone);
}

// Without a row in the table, instance 1 must not conclude that the new
// incarnation has terminated.
TEST_F(ThreeInstances, KeepsLedgerOpenWhenInstanceHasNoRowYet) {
  Elapse(*fleet, seconds(30));
  fleet->partitions.insert({1, 2});
  fleet->platform_down = true;
  Kill(*fleet, 2);
  Boot(*fleet, 2);
  Elapse(*fleet, seconds(5));
  const auto id = FetchId(*fleet, 2).value();
  fleet->platform_down = false;
  Submit(*fleet, 1, MakeJob(id, 2));
  Elapse(*fleet, seconds(5));
  const auto request = Submit(*fleet, 2, MakeJob(id, 2));
  Elapse(*fleet, seconds(5));
  EXPECT_EQ(ReportedState(*fleet, request), JobState::kDone);
}

struct OwnerTerminated : ThreeInstances, testing::WithParamInterface<int> {};

// The owner is killed at different times before, during and after dispatch.
TEST_P(OwnerTerminated, OtherInstancesReportSameOutcome) {
  const auto id = FetchId(*fleet, 2).value();
  Submit(*fleet, 2, MakeJob(id, 20));
  Elapse(*fleet, milliseconds(GetParam()));
  Kill(*fleet, 2);
  Boot(*fleet, 2);
  Elapse(*fleet, seconds(5));
  const auto here = Submit(*fleet, 0, MakeJob(id, 20));
  const auto there = Submit(*fleet, 1, MakeJob(id, 20));
  Elapse(*fleet, seconds(8));
  EXPECT_NE(ReportedState(*fleet, here), JobState::kActive);
  EXPECT_EQ(ReportedState(*fleet, here), ReportedState(*fleet, there));
}

INSTANTIATE_TEST_SUITE_P(BeforeDuringAfterDispatch,
                         OwnerTerminated,
                         testing::Values(0, 20, 40, 100, 400, 1000, 6000));

// Makes the other nodes treat a node as terminated, as if a replacement had its
// address.
auto DeclareTerminated(VirtualFleet& fleet, size_t node) -> void {
  const auto incarnation = fleet.nodes[node].dispatcher->self;
  fleet.presumed_terminated.insert(incarnation);
  for (size_t i = 0; i < fleet.nodes.size(); ++i) {
    if (i != node) {
      fleet.nodes[i].dispatcher->membership.ended.push_back(
          {.incarnation = incarnation, .since = fleet.now.boot});
    }
  }
}

// While the owner is paused, another instance closes its ledger and reports the
// job as failed. After the pause the owner must not report anything else.
TEST_F(ThreeInstances, FencedOwnerReportsRecordedFailureAfterPause) {
  const auto id = FetchId(*fleet, 2).value();
  fleet->run_time = milliseconds(1000);
  const auto request = Submit(*fleet, 2, MakeJob(id, 2));
  Elapse(*fleet, milliseconds(600));
  fleet->nodes[2].paused = true;
  DeclareTerminated(*fleet, 2);
  Elapse(*fleet, seconds(4));
  const auto here = Submit(*fleet, 0, MakeJob(id, 2));
  Elapse(*fleet, seconds(4));
  EXPECT_EQ(ReportedState(*fleet, here), JobState::kFailed);
  fleet->nodes[2].paused = false;
  Elapse(*fleet, seconds(8));
  EXPECT_EQ(ReportedState(*fleet, request), JobState::kFailed);
}

// While the owner is paused, another instance closes its ledger, so that the
// unused id counts as failed. The owner must not refuse the id afterwards.
TEST_F(ThreeInstances, FencedOwnerDoesNotRefuseIdRecordedAsFailed) {
  const auto id = FetchId(*fleet, 2).value();
  const auto other = FetchId(*fleet, 2).value();
  Elapse(*fleet, seconds(1));
  fleet->nodes[2].paused = true;
  DeclareTerminated(*fleet, 2);
  Elapse(*fleet, seconds(4));
  const auto here = Submit(*fleet, 0, MakeJob(id, 2));
  Elapse(*fleet, seconds(4));
  ASSERT_EQ(ReportedState(*fleet, here), JobState::kFailed);
  fleet->nodes[2].paused = false;
  Elapse(*fleet, seconds(1));
  Submit(*fleet, 2, MakeJob(other, 1));
  for (auto i = 0; i < 300 && !fleet->nodes[2].dispatcher->fenced; ++i) {
    Elapse(*fleet, milliseconds(10));
  }
  ASSERT_TRUE(fleet->nodes[2].dispatcher->fenced);
  const auto there = Submit(*fleet, 2, MakeJob(id, 2));
  Elapse(*fleet, seconds(1));
  EXPECT_EQ(ReportedState(*fleet, there), JobState::kFailed);
}

}  // namespace
}  // namespace boragecroft
