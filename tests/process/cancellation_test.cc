// Guards against incomplete answers when many jobs are cancelled at the same
// time, each before, while or after its tasks run.
#include <thread>

#include "tests/process/process_fixture.h"

namespace boragecroft::lab {
namespace {

constexpr int kJobs = 300;
constexpr int kCallers = 6;

class ConcurrentCancellations : public ProcessFixture {};

TEST_F(ConcurrentCancellations, EndEveryJobAndReportWhichTasksRan) {
  const auto ids = MintIds(Callers(0), "agents", kJobs);
  ASSERT_EQ(ids.size(), static_cast<size_t>(kJobs));
  std::vector<JobSpec> jobs;
  for (const auto& it : ids) {
    auto& job = jobs.emplace_back();
    job.id = it;
    job.tasks = 3;
    ASSERT_EQ(Submit(Callers(0), job).status, 202);
  }
  std::vector<std::thread> callers;
  for (size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      for (auto n = i; n < jobs.size(); n += kCallers) {
        Cancel(Callers(n % 3), jobs[n].id, jobs[n].partner);
      }
    });
  }
  for (auto& it : callers) {
    it.join();
  }
  auto failed = 0;
  std::vector<JsonReply> answers;
  for (const auto& it : jobs) {
    answers.push_back(AwaitFinal(Callers(0), it.id, it.partner, seconds(10)));
    EXPECT_TRUE(IsFinal(answers.back())) << it.id;
    failed += answers.back().Text("state") == "failed" ? 1 : 0;
  }
  EXPECT_GT(failed, 0);
  const auto counts = cluster.CountStarts();
  EXPECT_EQ(counts.double_starts, 0);
  for (size_t i = 0; i < jobs.size(); ++i) {
    ExpectAnswerMatchesStarts(answers[i], counts, jobs[i]);
  }
}

}  // namespace
}  // namespace boragecroft::lab
