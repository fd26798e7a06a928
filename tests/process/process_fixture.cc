#include "tests/process/process_fixture.h"

#include <algorithm>

namespace boragecroft::lab {
namespace {

constexpr milliseconds kFinalAnswerTimeout{25000};

}  // namespace

auto MakeFixtureOptions(milliseconds balancer_grace) -> ClusterOptions {
  ClusterOptions options;
  options.extra_settings =
      "\"heartbeat_interval_ms\": 200, \"dead_after_ms\": 3000, "
      "\"pause_threshold_ms\": 500, \"list_poll_interval_ms\": 200, "
      "\"configuration_poll_interval_ms\": 200, \"platform_timeout_ms\": 500, "
      "\"drain_timeout_ms\": 10000, \"balancer_grace_ms\": " +
      std::to_string(balancer_grace.count());
  return options;
}

auto CountStartsOfJob(const StartCounts& counts, const std::string& id)
    -> JobStartCounts {
  JobStartCounts out;
  const auto prefix = id + "/";
  for (auto it = counts.starts.lower_bound(prefix);
       it != counts.starts.end() && it->first.starts_with(prefix); ++it) {
    ++out.tasks;
    out.max_starts_per_task = std::max(out.max_starts_per_task, it->second);
  }
  return out;
}

auto TaskName(const std::string& id, int index) -> std::string {
  return id + "/" + std::to_string(index);
}

auto ExpectSameFinalAnswer(Cluster& cluster,
                           const std::vector<size_t>& instances,
                           const std::string& id,
                           const std::string& partner) -> JsonReply {
  JsonReply first;
  for (const auto it : instances) {
    const auto reply = AwaitFinal(cluster.Instances().at(it).callers, id,
                                  partner, kFinalAnswerTimeout);
    EXPECT_TRUE(IsFinal(reply))
        << cluster.Instances().at(it).name << " says " << reply.status << " "
        << reply.Text("state") << " " << reply.Text("reason");
    if (it == instances.front()) {
      first = reply;
      continue;
    }
    EXPECT_EQ(first.Text("state"), reply.Text("state"));
    for (const auto* state : {"done", "failed", "not_run", "may_have_run"}) {
      EXPECT_EQ(CountTasks(first, state), CountTasks(reply, state)) << state;
    }
  }
  return first;
}

auto ExpectAnswerMatchesStarts(const JsonReply& answer,
                               const StartCounts& counts,
                               const JobSpec& job) -> void {
  EXPECT_TRUE(IsComplete(answer, job.tasks));
  EXPECT_LE(CountStartsOfJob(counts, job.id).max_starts_per_task, 1);
  for (auto i = 0; i < job.tasks; ++i) {
    const auto started = counts.starts.contains(TaskName(job.id, i));
    const auto state = TaskStateOf(answer, static_cast<size_t>(i));
    if (answer.Text("state") == "refused" || state == "not_run") {
      EXPECT_FALSE(started) << TaskName(job.id, i);
    }
    if (answer.Text("state") == "done" || state == "done") {
      EXPECT_TRUE(started) << TaskName(job.id, i);
    }
  }
}

auto ProcessFixture::NewJob(size_t owner, int tasks, int run_ms) -> JobSpec {
  JobSpec job;
  const auto ids = MintIds(Callers(owner), job.partner, 1);
  EXPECT_EQ(ids.size(), 1U);
  job.id = ids.empty() ? std::string() : ids.front();
  job.tasks = tasks;
  job.run_ms = run_ms;
  return job;
}

}  // namespace boragecroft::lab
