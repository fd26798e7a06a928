// Guards against lost jobs and duplicate records when the platform fails while
// jobs run: it is down, does not answer, is slow or loses answers. Accepted
// jobs continue, and after the fault each submission has exactly one final
// record.
#include <map>

#include "tests/process/process_fixture.h"

namespace boragecroft::lab {
namespace {

constexpr int kJobs = 12;
constexpr int kTasks = 5;

class FaultyPlatform : public ProcessFixture {
 protected:
  auto SetMode(std::string_view mode, int write_ms = 5) -> void {
    boost::json::object control;
    control["mode"] = mode;
    control["write_ms"] = write_ms;
    cluster.ControlPlatform(control);
  }

  // Submits half of the jobs before the fault begins and half during it, and
  // ends the fault when all of them are done.
  auto ServeThroughFault(std::string_view mode, int write_ms) -> void {
    for (auto i = 0; i < kJobs; ++i) {
      jobs.push_back(NewJob(static_cast<size_t>(i) % 3, kTasks, 50));
    }
    SubmitJobs(0, kJobs / 2);
    SetMode(mode, write_ms);
    SubmitJobs(kJobs / 2, kJobs);
    for (size_t i = 0; i < jobs.size(); ++i) {
      const auto reply =
          AwaitFinal(Callers(i % 3), jobs[i].id, jobs[i].partner, seconds(20));
      EXPECT_EQ(reply.Text("state"), "done")
          << i << " " << reply.Text("reason") << reply.status;
    }
    SetMode("up");
  }

  auto SubmitJobs(int from, int to) -> void {
    for (auto i = from; i < to; ++i) {
      const auto& job = jobs[static_cast<size_t>(i)];
      const auto reply = Submit(Callers(static_cast<size_t>(i) % 3), job);
      EXPECT_LT(reply.status, 300) << reply.Text("state");
    }
  }

  // Expects that the account counts each submission exactly once. Waits for the
  // records first, because some may still be waiting to be written.
  auto ExpectOneRecordPerJob() -> void {
    JsonReply reply;
    EXPECT_TRUE(Eventually(seconds(15), [&] {
      reply = Get(Operators(0), "/v1/account", seconds(5));
      return reply.status == 200 && SumColumn(reply, "done") >= kJobs;
    })) << SumColumn(reply, "done");
    EXPECT_EQ(SumColumn(reply, "submissions"), kJobs);
    EXPECT_EQ(SumColumn(reply, "done"), kJobs);
    EXPECT_EQ(SumColumn(reply, "tasks_done"), kJobs * kTasks);
    const auto counts = cluster.CountStarts();
    EXPECT_EQ(counts.total, kJobs * kTasks);
    EXPECT_EQ(counts.double_starts, 0);
    for (const auto& it : jobs) {
      ExpectSameFinalAnswer(cluster, {0, 1, 2}, it.id, it.partner);
    }
  }

  static auto SumColumn(const JsonReply& reply, std::string_view column)
      -> int64_t {
    int64_t sum = 0;
    if (reply.status == 200) {
      for (const auto& it : reply.body.at("rows").as_array()) {
        sum += it.at(column).to_number<int64_t>();
      }
    }
    return sum;
  }

  std::vector<JobSpec> jobs;
};

TEST_F(FaultyPlatform, LosesNoAcceptedJobWhenDown) {
  ServeThroughFault("down", 5);
  ExpectOneRecordPerJob();
}

TEST_F(FaultyPlatform, LosesNoAcceptedJobWhenUnresponsive) {
  ServeThroughFault("silent", 5);
  ExpectOneRecordPerJob();
}

TEST_F(FaultyPlatform, LosesNoAcceptedJobWhenWritesAreSlow) {
  ServeThroughFault("up", 300);
  ExpectOneRecordPerJob();
}

TEST_F(FaultyPlatform, LosesNoAcceptedJobWhenAnswersAreLost) {
  ServeThroughFault("lose_answers", 5);
  ExpectOneRecordPerJob();
}

}  // namespace
}  // namespace boragecroft::lab
