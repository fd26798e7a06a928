#include "servers/dispatcher/job_table.h"

#include <algorithm>
#include <utility>

#include "core/log/log.h"
#include "servers/dispatcher/record_flow.h"
#include "servers/dispatcher/replies.h"
#include "servers/dispatcher/task_flow.h"
#include "servers/model/submission_digest.h"

namespace boragecroft {
namespace {

auto MakeAnswer(const Job& job, bool recorded)
    -> std::shared_ptr<CallerAnswer> {
  auto answer = std::make_shared<CallerAnswer>();
  answer->id = job.submission->id;
  answer->schema_version = job.submission->schema_version;
  answer->partner = job.submission->partner;
  answer->state = job.state;
  answer->recorded = recorded;
  answer->reason = job.reason;
  answer->tasks = job.tasks;
  return answer;
}

auto MustWaitForRecord(const EventContext& context, const Job& job) -> bool {
  const auto* configuration = InForce(context.dispatcher);
  const auto* declared =
      configuration == nullptr
          ? nullptr
          : FindClass(*configuration, job.submission->urgency_class);
  return declared != nullptr && declared->record_before_answer &&
         !job.final_durable && !context.dispatcher.fenced &&
         !IsPlatformSuspect(context.dispatcher.ledger, context.now);
}

// Estimates the memory that an ended job uses, including its nodes in the
// tables.
auto EstimateKeptBytes(const Job& job) -> size_t {
  constexpr size_t kNodeBytes = 256;
  auto bytes = kNodeBytes + sizeof(Job) + sizeof(Submission) +
               sizeof(CallerAnswer) + 2 * job.tasks.size() + job.reason.size();
  for (const auto& it : job.answer->results) {
    bytes += sizeof(std::string) + it.size();
  }
  return bytes;
}

// Frees the payloads of an ended job, which starts no further task.
auto DropPayloads(Job& job) -> void {
  auto submission = std::make_shared<Submission>(*job.submission);
  submission->payloads = {};
  job.submission = std::move(submission);
}

auto EraseJob(Dispatcher& dispatcher, const JobId& id) -> void {
  const auto it = dispatcher.jobs.find(id);
  if (it == dispatcher.jobs.end()) {
    return;
  }
  dispatcher.kept_answer_bytes -= it->second.kept_bytes;
  dispatcher.jobs.erase(it);
}

auto AnswerWaiters(EventContext& context, Job& job) -> void {
  for (const auto& it : std::exchange(job.waiters, {})) {
    Reply(context, it.reply_to, AnswerReply{.answer = job.answer});
  }
}

auto FinalState(const Job& job) -> JobState {
  const auto all_done =
      std::all_of(job.tasks.begin(), job.tasks.end(),
                  [](TaskState state) { return state == TaskState::kDone; });
  return all_done ? JobState::kDone : JobState::kFailed;
}

// Ends a job. The record states what ran even when the answer must agree with
// one that was derived without this owner.
auto FinishJob(EventContext& context, Job& job) -> void {
  auto& dispatcher = context.dispatcher;
  const auto id = job.submission->id;
  job.state = FinalState(job);
  --dispatcher.active_jobs;
  job.finished = context.now.boot;
  RecordFinal(context, job);
  if (dispatcher.fenced) {
    job.state = JobState::kFailed;
    job.reason = kReasonOwnerLost;
  }
  auto answer = MakeAnswer(job, false);
  if (job.state == JobState::kDone) {
    answer->results = std::move(job.results);
    ++dispatcher.counters.jobs_done;
  } else {
    ++dispatcher.counters.jobs_failed;
  }
  job.results = {};
  job.answer = std::move(answer);
  DropPayloads(job);
  job.kept_bytes = EstimateKeptBytes(job);
  dispatcher.kept_answer_bytes += job.kept_bytes;
  dispatcher.deadlines.erase({job.deadline, id});
  const auto* configuration = InForce(dispatcher);
  const auto retention = configuration == nullptr
                             ? Limits().answer_retention
                             : configuration->limits.answer_retention;
  dispatcher.finished.emplace_back(context.now.boot + retention, id);
  if (!MustWaitForRecord(context, job)) {
    AnswerWaiters(context, job);
  }
}

auto EndWait(EventContext& context, const JobId& id, const ReplyTo& reply_to)
    -> void {
  const auto found = context.dispatcher.jobs.find(id);
  if (found == context.dispatcher.jobs.end()) {
    return;
  }
  auto& job = found->second;
  const auto it = std::find_if(
      job.waiters.begin(), job.waiters.end(), [&](const JobWaiter& waiter) {
        return waiter.reply_to.number == reply_to.number &&
               waiter.reply_to.relay == reply_to.relay;
      });
  if (it == job.waiters.end()) {
    return;
  }
  job.waiters.erase(it);
  // A final answer that waited for its record is sent without it when the wait
  // is over.
  Reply(
      context, reply_to,
      AnswerReply{.answer = job.answer ? job.answer : MakeAnswer(job, false)});
}

auto ExpireWaits(EventContext& context) -> void {
  auto& waits = context.dispatcher.waits;
  while (!waits.empty() && waits.begin()->first <= context.now.boot) {
    const auto [id, reply_to] = waits.begin()->second;
    waits.erase(waits.begin());
    EndWait(context, id, reply_to);
  }
}

auto DropExpiredAnswers(EventContext& context) -> void {
  auto& dispatcher = context.dispatcher;
  while (!dispatcher.finished.empty() &&
         dispatcher.finished.front().first <= context.now.boot) {
    const auto id = dispatcher.finished.front().second;
    const auto it = dispatcher.jobs.find(id);
    // Until the final record is durable, the outcome of the job is known only
    // in memory.
    if (it != dispatcher.jobs.end() && !it->second.final_durable) {
      return;
    }
    EraseJob(dispatcher, id);
    dispatcher.finished.pop_front();
  }
}

// Evicts answers while they exceed the memory limit. Later requests for them
// are answered from the records.
auto EvictAnswers(Dispatcher& dispatcher) -> void {
  auto& evictable = dispatcher.evictable;
  while (!evictable.empty() &&
         (dispatcher.kept_answer_bytes > dispatcher.settings.max_answer_bytes ||
          !dispatcher.jobs.contains(evictable.front()))) {
    EraseJob(dispatcher, evictable.front());
    evictable.pop_front();
  }
}

}  // namespace

auto AcceptJob(EventContext& context,
               std::shared_ptr<const Submission> submission,
               uint32_t class_index) -> Job& {
  auto& dispatcher = context.dispatcher;
  const auto id = submission->id;
  auto& job = dispatcher.jobs[id];
  job.submission = std::move(submission);
  job.digest = DigestOf(*job.submission);
  job.class_index = class_index;
  job.accepted = context.now.boot;
  job.deadline = context.now.boot + job.submission->deadline;
  job.tasks.assign(job.submission->payloads.size(), TaskState::kQueued);
  job.results.resize(job.tasks.size());
  job.open_tasks = static_cast<uint32_t>(job.tasks.size());
  dispatcher.deadlines.emplace(job.deadline, id);
  ++dispatcher.counters.jobs_accepted;
  ++dispatcher.active_jobs;
  RecordAccepted(context, job);
  QueueJob(context, job);
  return job;
}

auto AwaitJob(EventContext& context,
              Job& job,
              const ReplyTo& reply_to,
              milliseconds wait) -> void {
  const auto waits_for_record =
      job.answer != nullptr && MustWaitForRecord(context, job);
  const auto limit =
      waits_for_record
          ? std::max(wait, context.dispatcher.settings.max_record_wait)
          : wait;
  if ((job.answer != nullptr && !waits_for_record) ||
      (job.answer == nullptr && wait.count() == 0)) {
    Reply(context, reply_to,
          AnswerReply{.answer =
                          job.answer ? job.answer : MakeAnswer(job, false)});
    return;
  }
  const auto until = context.now.boot + limit;
  job.waiters.push_back(JobWaiter{.reply_to = reply_to, .until = until});
  context.dispatcher.waits.emplace(until,
                                   std::pair(job.submission->id, reply_to));
}

auto EndTask(EventContext& context,
             const TaskId& task,
             TaskState state,
             std::string text) -> void {
  const auto found = context.dispatcher.jobs.find(task.job);
  if (found == context.dispatcher.jobs.end() ||
      IsFinal(found->second.tasks[task.index])) {
    return;
  }
  auto& job = found->second;
  job.tasks[task.index] = state;
  --job.open_tasks;
  if (state == TaskState::kDone) {
    job.results[task.index] = std::move(text);
  } else if (!job.stopping) {
    if (state == TaskState::kMayHaveRun) {
      ++context.dispatcher.counters.tasks_may_have_run;
    }
    StopJob(context, task.job,
            "task " + std::to_string(task.index) + " " +
                std::string(ToString(state)) + ": " + text);
  }
  if (job.open_tasks == 0 && job.state == JobState::kActive) {
    FinishJob(context, job);
  }
}

auto StopJob(EventContext& context, const JobId& id, std::string_view reason)
    -> void {
  const auto found = context.dispatcher.jobs.find(id);
  if (found == context.dispatcher.jobs.end() || found->second.stopping ||
      found->second.state != JobState::kActive) {
    return;
  }
  auto& job = found->second;
  job.stopping = true;
  job.reason = reason;
  UnqueueJob(context, job);
  StopRunningTasks(context, job);
  for (auto& it : job.tasks) {
    if (it == TaskState::kQueued) {
      it = TaskState::kNotRun;
      --job.open_tasks;
    }
  }
  // Settling the tasks may already have ended the job.
  if (job.open_tasks == 0 && job.state == JobState::kActive) {
    FinishJob(context, job);
  }
}

auto FailFencedJob(EventContext& context, const JobId& id) -> void {
  const auto found = context.dispatcher.jobs.find(id);
  if (found == context.dispatcher.jobs.end()) {
    return;
  }
  auto& job = found->second;
  if (job.state == JobState::kActive) {
    StopJob(context, id, kReasonOwnerLost);
    return;
  }
  if (job.final_durable) {
    return;
  }
  job.state = JobState::kFailed;
  job.reason = kReasonOwnerLost;
  job.answer = MakeAnswer(job, false);
  AnswerWaiters(context, job);
}

auto OnFinalDurable(EventContext& context, const JobId& id) -> void {
  const auto found = context.dispatcher.jobs.find(id);
  if (found == context.dispatcher.jobs.end() || found->second.final_durable) {
    return;
  }
  auto& job = found->second;
  job.final_durable = true;
  // The present answer is shared with replies that are being sent, so the
  // recorded answer is a new object.
  auto recorded = std::make_shared<CallerAnswer>(*job.answer);
  recorded->recorded = true;
  job.answer = std::move(recorded);
  AnswerWaiters(context, job);
}

auto ExpireJobs(EventContext& context) -> void {
  auto& deadlines = context.dispatcher.deadlines;
  while (!deadlines.empty() && deadlines.begin()->first <= context.now.boot) {
    const auto id = deadlines.begin()->second;
    deadlines.erase(deadlines.begin());
    StopJob(context, id, kReasonDeadline);
  }
  ExpireWaits(context);
  DropExpiredAnswers(context);
  EvictAnswers(context.dispatcher);
}

}  // namespace boragecroft
