// Guards against tasks that start twice when the same submission arrives ten
// times at once through several instances, also while its owner is paused or
// after its owner was killed.
#include <signal.h>

#include <future>

#include "tests/process/process_fixture.h"

namespace boragecroft::lab {
namespace {

constexpr int kCopies = 10;
constexpr milliseconds kSubmissionWait{3000};

class ConcurrentResubmissions : public ProcessFixture {
 protected:
  // Submits ten copies at the same time, spread evenly over `instances`.
  auto SubmitCopies(const JobSpec& job, const std::vector<size_t>& instances)
      -> std::vector<JsonReply> {
    std::vector<std::future<JsonReply>> calls;
    for (auto i = 0; i < kCopies; ++i) {
      const auto server =
          Callers(instances[static_cast<size_t>(i) % instances.size()]);
      calls.push_back(std::async(std::launch::async, [server, job] {
        return Submit(server, job, kSubmissionWait);
      }));
    }
    std::vector<JsonReply> replies;
    replies.reserve(calls.size());
    for (auto& it : calls) {
      replies.push_back(it.get());
    }
    return replies;
  }
};

TEST_F(ConcurrentResubmissions, StartEachTaskOnceAcrossZones) {
  const auto job = NewJob(0, 40, 50);
  SubmitCopies(job, {0, 1, 2});
  const auto answer =
      ExpectSameFinalAnswer(cluster, {0, 1, 2}, job.id, job.partner);
  EXPECT_EQ(answer.Text("state"), "done");
  const auto counts = cluster.CountStarts();
  ExpectAnswerMatchesStarts(answer, counts, job);
  EXPECT_EQ(CountStartsOfJob(counts, job.id).tasks, 40);
}

TEST_F(ConcurrentResubmissions, AreNotRunElsewhereWhenOwnerIsPaused) {
  const auto job = NewJob(0, 60, 100);
  ASSERT_EQ(Submit(Callers(0), job).status, 202);
  cluster.Instances()[0].process->Signal(SIGSTOP);
  for (const auto& it : SubmitCopies(job, {1, 2})) {
    EXPECT_NE(it.Text("state"), "refused") << it.Text("reason");
  }
  cluster.Instances()[0].process->Signal(SIGCONT);
  const auto answer =
      ExpectSameFinalAnswer(cluster, {0, 1, 2}, job.id, job.partner);
  ExpectAnswerMatchesStarts(answer, cluster.CountStarts(), job);
}

TEST_F(ConcurrentResubmissions, StartNoMoreTasksWhenOwnerIsKilled) {
  const auto job = NewJob(0, 60, 100);
  Submit(Callers(0), job);
  ASSERT_TRUE(Eventually(seconds(5), [&] {
    return CountStartsOfJob(cluster.CountStarts(), job.id).tasks > 0;
  }));
  cluster.Instances()[0].process->Kill();
  cluster.PublishList({}, {cluster.Instances()[0].name});
  const auto started = CountStartsOfJob(cluster.CountStarts(), job.id).tasks;
  SubmitCopies(job, {1, 2});
  const auto answer =
      ExpectSameFinalAnswer(cluster, {1, 2}, job.id, job.partner);
  EXPECT_EQ(answer.Text("state"), "failed");
  const auto counts = cluster.CountStarts();
  ExpectAnswerMatchesStarts(answer, counts, job);
  EXPECT_EQ(CountStartsOfJob(counts, job.id).tasks, started);
}

}  // namespace
}  // namespace boragecroft::lab
