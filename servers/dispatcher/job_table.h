// The life of the jobs that this instance owns: taken, task by task ended,
// answered, recorded, forgotten.
#ifndef SERVERS_DISPATCHER_JOB_TABLE_H_
#define SERVERS_DISPATCHER_JOB_TABLE_H_

#include <string>
#include <string_view>

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Reasons why a job failed, as callers see them.
inline constexpr std::string_view kReasonCancelled = "cancelled";
inline constexpr std::string_view kReasonDeadline = "deadline";
inline constexpr std::string_view kReasonInstanceStopped = "instance_stopped";
inline constexpr std::string_view kReasonOwnerLost = "owner_lost";

// Takes a job whose id was just marked as used, queues its tasks and returns
// it.
auto AcceptJob(EventContext& context,
               std::shared_ptr<const Submission> submission,
               uint32_t class_index) -> Job&;

// Answers now when the job is final, else when it ends or the wait is over.
auto AwaitJob(EventContext& context,
              Job& job,
              const ReplyTo& reply_to,
              milliseconds wait) -> void;

// Notes the final state of one task; `text` is its result or the reason of its
// failure.
auto EndTask(EventContext& context,
             const TaskId& task,
             TaskState state,
             std::string text) -> void;

// Starts nothing more of the job: tasks that wait are "not run", those in
// progress are stopped. The job ends as failed once the last of them is
// settled. No effect on a job that is already stopping or final.
auto StopJob(EventContext& context, const JobId& id, std::string_view reason)
    -> void;

// The ledger was closed by another instance: what it lacks of this job has
// failed for every reader, and callers here are told the same.
auto FailFencedJob(EventContext& context, const JobId& id) -> void;

// The final record of a job is durable: callers that waited for it get their
// answer.
auto OnFinalDurable(EventContext& context, const JobId& id) -> void;

// Ends what is due: deadlines, callers' waits, answers kept for long enough.
auto ExpireJobs(EventContext& context) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_JOB_TABLE_H_
