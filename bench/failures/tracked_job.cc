#include "bench/failures/tracked_job.h"

#include <algorithm>
#include <atomic>
#include <boost/json/array.hpp>
#include <future>

namespace boragecroft::bench {
namespace {

constexpr int kThreads = 12;

auto IsRecorded(const lab::JsonReply& reply) -> bool {
  const auto* object = reply.body.if_object();
  const auto* recorded =
      object == nullptr ? nullptr : object->if_contains("recorded");
  return recorded != nullptr && recorded->is_bool() && recorded->get_bool();
}

// Reports whether the job may be submitted again under the same id. The
// interface allows it only after a refusal with status 503 and a retry time.
auto LeavesIdUnused(const lab::JsonReply& reply) -> bool {
  return reply.Text("state") == "refused" && reply.status == 503 &&
         reply.Number("retry_after_ms") > 0;
}

// Reports whether each result, if there are any, belongs to its task.
auto HasOwnResults(const lab::JobSpec& job, const lab::JsonReply& reply)
    -> bool {
  const auto* results = reply.body.as_object().if_contains("results");
  const auto n = results == nullptr ? 0 : results->as_array().size();
  for (size_t i = 0; i < n; ++i) {
    const auto& bytes = results->as_array()[i].at("bytes").as_string();
    if (bytes.size() != ResultBytes(job, i)) {
      return false;
    }
  }
  return true;
}

auto RecordNotRunTasks(TrackedJob& tracked, const lab::JsonReply& reply)
    -> void {
  for (size_t i = 0; i < static_cast<size_t>(tracked.job.tasks); ++i) {
    const auto known =
        std::find(tracked.not_run_tasks.begin(), tracked.not_run_tasks.end(),
                  i) != tracked.not_run_tasks.end();
    if (!known && lab::TaskStateOf(reply, i) == "not_run") {
      tracked.not_run_tasks.push_back(i);
    }
  }
}

}  // namespace

auto ResultBytes(const lab::JobSpec& job, size_t index) -> size_t {
  constexpr size_t kSizes = 97;
  return (std::hash<std::string>()(job.id) + index) % kSizes;
}

auto IsSettled(const lab::JsonReply& reply) -> bool {
  return lab::IsFinal(reply) && !LeavesIdUnused(reply);
}

auto IsDurable(const lab::JsonReply& reply) -> bool {
  return IsSettled(reply) &&
         (reply.Text("state") == "refused" || IsRecorded(reply));
}

auto RecordAnswer(TrackedJob& tracked,
                  const lab::JsonReply& reply,
                  Instant sent) -> void {
  const auto state = reply.Text("state");
  tracked.durable = tracked.durable || IsDurable(reply);
  if (state == "refused") {
    tracked.refusals_after_acceptance += tracked.accepted ? 1 : 0;
    tracked.refused_permanently =
        tracked.refused_permanently || IsSettled(reply);
    tracked.refused_request_sent_at = sent;
    return;
  }
  if (state != "active" && state != "done" && state != "failed") {
    return;
  }
  tracked.accepted = true;
  const auto complete = lab::IsComplete(reply, tracked.job.tasks) &&
                        reply.Text("id") == tracked.job.id &&
                        HasOwnResults(tracked.job, reply);
  tracked.partial += complete ? 0 : 1;
  if (state == "active") {
    tracked.contradictions += tracked.recorded_state.empty() ? 0 : 1;
    return;
  }
  RecordNotRunTasks(tracked, reply);
  if (!tracked.recorded_state.empty() && tracked.recorded_state != state) {
    ++tracked.contradictions;
  }
  if (IsRecorded(reply)) {
    tracked.recorded_state = state;
  }
}

auto ForEachJob(std::vector<TrackedJob>& jobs,
                const std::function<void(TrackedJob&)>& handle) -> void {
  std::atomic<size_t> next = 0;
  std::vector<std::future<void>> threads;
  threads.reserve(kThreads);
  for (auto i = 0; i < kThreads; ++i) {
    threads.push_back(std::async(std::launch::async, [&] {
      for (auto n = next++; n < jobs.size(); n = next++) {
        handle(jobs[n]);
      }
    }));
  }
  for (auto& it : threads) {
    it.get();
  }
}

}  // namespace boragecroft::bench
