// Guards against partial or differing answers after the instance that owns a
// job is killed: a job that was in progress is answered as failed, and every
// instance gives the same answer.
#include "tests/process/process_fixture.h"

namespace boragecroft::lab {
namespace {

class KilledOwner : public ProcessFixture {
 protected:
  auto KillOwner() -> void {
    cluster.Instances()[0].process->Kill();
    cluster.PublishList({}, {cluster.Instances()[0].name});
  }
};

TEST_F(KilledOwner, LeavesJobUnstartedWhenKilledBeforeSubmission) {
  const auto job = NewJob(0, 5, 20);
  KillOwner();
  Submit(Callers(1), job, seconds(1));
  const auto answer =
      ExpectSameFinalAnswer(cluster, {1, 2}, job.id, job.partner);
  EXPECT_NE(answer.Text("state"), "done");
  const auto counts = cluster.CountStarts();
  ExpectAnswerMatchesStarts(answer, counts, job);
  EXPECT_EQ(counts.total, 0);
}

TEST_F(KilledOwner, LeavesNotRunTasksUnstartedWhenKilledDuringDispatch) {
  const auto job = NewJob(0, 400, 100);
  Submit(Callers(0), job);
  ASSERT_TRUE(Eventually(seconds(5), [&] {
    return CountStartsOfJob(cluster.CountStarts(), job.id).tasks > 40;
  }));
  KillOwner();
  const auto answer =
      ExpectSameFinalAnswer(cluster, {1, 2}, job.id, job.partner);
  EXPECT_EQ(answer.Text("state"), "failed");
  EXPECT_GT(CountTasks(answer, "not_run"), 0);
  ExpectAnswerMatchesStarts(answer, cluster.CountStarts(), job);
}

TEST_F(KilledOwner, LeavesSameAnswerWhenKilledAfterAnswering) {
  const auto job = NewJob(0, 20, 20);
  const auto reply = Submit(Callers(0), job, seconds(5));
  ASSERT_EQ(reply.Text("state"), "done");
  KillOwner();
  const auto answer =
      ExpectSameFinalAnswer(cluster, {1, 2}, job.id, job.partner);
  ExpectAnswerMatchesStarts(answer, cluster.CountStarts(), job);
  EXPECT_EQ(answer.Text("state"), "done") << answer.Text("reason");
}

TEST_F(KilledOwner, LeavesOneAnswerWhenReplaced) {
  const auto job = NewJob(0, 200, 100);
  Submit(Callers(0), job);
  ASSERT_TRUE(Eventually(seconds(5), [&] {
    return CountStartsOfJob(cluster.CountStarts(), job.id).tasks > 0;
  }));
  cluster.Restart(0);
  const auto answer =
      ExpectSameFinalAnswer(cluster, {0, 1, 2}, job.id, job.partner);
  EXPECT_EQ(answer.Text("state"), "failed");
  ExpectAnswerMatchesStarts(answer, cluster.CountStarts(), job);
}

}  // namespace
}  // namespace boragecroft::lab
