// Guards against wrong answers and double starts when endpoints fail: they do
// not answer, answer late, answer for another task, truncate their answers,
// fail tasks, restart or drain. A caller gets either the complete answer to its
// own request or a failure, and no task starts twice.
#include "tests/process/process_fixture.h"

namespace boragecroft::lab {
namespace {

class FaultyEndpoints : public ProcessFixture {
 protected:
  auto SetMode(std::string_view mode, int worker = -1, int late_ms = 0)
      -> void {
    boost::json::object control;
    control["worker"] = worker;
    control["mode"] = mode;
    control["late_ms"] = late_ms;
    cluster.ControlWorker(0, control);
  }

  // Submits four jobs while the endpoints are in `mode` and compares the
  // answers with the starts that the endpoints counted.
  auto ServeInMode(std::string_view mode, int late_ms = 0) -> void {
    SetMode(mode, -1, late_ms);
    std::vector<JobSpec> jobs;
    for (auto i = 0; i < 4; ++i) {
      jobs.push_back(NewJob(0, 3, 50));
      jobs.back().deadline = seconds(8);
      Submit(Callers(0), jobs.back());
    }
    std::vector<JsonReply> answers;
    answers.reserve(jobs.size());
    for (const auto& it : jobs) {
      answers.push_back(
          ExpectSameFinalAnswer(cluster, {0, 1}, it.id, it.partner));
    }
    SetMode("normal");
    const auto counts = cluster.CountStarts();
    EXPECT_EQ(counts.double_starts, 0);
    for (size_t i = 0; i < jobs.size(); ++i) {
      ExpectAnswerMatchesStarts(answers[i], counts, jobs[i]);
    }
  }

  auto StartsAtWorker(size_t index) -> int64_t {
    const auto reply = Get(cluster.Endpoints()[0].control, "/counters");
    const auto& workers = reply.body.at("workers").as_array();
    return workers.at(index).at("starts").to_number<int64_t>();
  }

  // Serves one small job after another until `condition` returns true or
  // `timeout` has passed.
  auto ServeUntil(milliseconds timeout, const std::function<bool()>& condition)
      -> bool {
    return Eventually(timeout, [&] {
      const auto job = NewJob(0, 8, 20);
      EXPECT_EQ(Submit(Callers(0), job, seconds(5)).Text("state"), "done");
      return condition();
    });
  }

  auto ExpectNoNewWork(size_t worker) -> void {
    const auto before = StartsAtWorker(worker);
    for (auto i = 0; i < 10; ++i) {
      const auto job = NewJob(0, 8, 20);
      EXPECT_EQ(Submit(Callers(0), job, seconds(5)).Text("state"), "done");
    }
    EXPECT_EQ(StartsAtWorker(worker), before);
  }
};

TEST_F(FaultyEndpoints, StartNoTaskTwiceWhenUnresponsive) {
  ServeInMode("silent");
}

TEST_F(FaultyEndpoints, EndEveryJobWhenAnswersAreLate) {
  ServeInMode("late", 1500);
}

TEST_F(FaultyEndpoints, DeliverNoAnswerOfAnotherTask) {
  ServeInMode("crossed");
}

TEST_F(FaultyEndpoints, DeliverNoAnswerThatIsTruncated) {
  ServeInMode("garbled");
}

TEST_F(FaultyEndpoints, FailWholeJobsWhenTasksFail) {
  ServeInMode("fail");
}

TEST_F(FaultyEndpoints, LeaveTasksAsMayHaveRunWhenRestarted) {
  auto job = NewJob(0, 3, 10000);
  Submit(Callers(0), job);
  ASSERT_TRUE(Eventually(seconds(10), [&] {
    return CountStartsOfJob(cluster.CountStarts(), job.id).tasks == job.tasks;
  }));
  boost::json::object control;
  control["worker"] = -1;
  control["restart"] = true;
  cluster.ControlWorker(0, control);
  const auto answer =
      ExpectSameFinalAnswer(cluster, {0, 1}, job.id, job.partner);
  EXPECT_EQ(CountTasks(answer, "may_have_run"), job.tasks);
  ExpectAnswerMatchesStarts(answer, cluster.CountStarts(), job);
  const auto next = NewJob(0, 8, 20);
  EXPECT_EQ(Submit(Callers(0), next, seconds(5)).Text("state"), "done");
}

TEST_F(FaultyEndpoints, GetNoNewWorkWhenRefusingAsDraining) {
  SetMode("draining", 0);
  const auto draining = [&] {
    const auto reply = Get(Operators(0), "/v1/instances");
    for (const auto& it : reply.body.at("workers").as_array()) {
      if (it.at("draining").as_bool() && !it.at("usable").as_bool()) {
        return true;
      }
    }
    return false;
  };
  EXPECT_TRUE(ServeUntil(seconds(10), draining));
  ExpectNoNewWork(0);
}

TEST_F(FaultyEndpoints, GetNoNewWorkWhenListedAsLeaving) {
  ASSERT_TRUE(ServeUntil(seconds(10), [&] { return StartsAtWorker(0) > 0; }));
  const auto name = std::string(
      cluster.Endpoints()[0].list_entries[0].at("name").as_string());
  cluster.PublishList({name});
  EXPECT_TRUE(Eventually(seconds(5), [&] {
    const auto reply = Get(Operators(0), "/v1/instances");
    for (const auto& it : reply.body.at("workers").as_array()) {
      if (it.at("worker").as_string() == name) {
        return !it.at("usable").as_bool();
      }
    }
    return true;
  }));
  ExpectNoNewWork(0);
}

}  // namespace
}  // namespace boragecroft::lab
