// Manages the jobs that this instance owns: accepts them, records the end of
// each task, answers callers, and drops ended jobs from memory.
#ifndef SERVERS_DISPATCHER_JOB_TABLE_H_
#define SERVERS_DISPATCHER_JOB_TABLE_H_

#include <string>
#include <string_view>

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Reasons for the failure of a job that are sent to callers.
inline constexpr std::string_view kReasonCancelled = "cancelled";
inline constexpr std::string_view kReasonDeadline = "deadline";
inline constexpr std::string_view kReasonInstanceStopped = "instance_stopped";
inline constexpr std::string_view kReasonOwnerLost = "owner_lost";

// Accepts a job whose id was just marked as used, queues its tasks and returns
// the job.
auto AcceptJob(EventContext& context,
               std::shared_ptr<const Submission> submission,
               uint32_t class_index) -> Job&;

// Replies immediately when the job is final, otherwise when the job ends or the
// wait is over.
auto AwaitJob(EventContext& context,
              Job& job,
              const ReplyTo& reply_to,
              milliseconds wait) -> void;

// Records the final state of one task; `text` is its result or the reason for
// its failure.
auto EndTask(EventContext& context,
             const TaskId& task,
             TaskState state,
             std::string text) -> void;

// Starts no further task of the job: waiting tasks end as "not run", and tasks
// in progress are stopped. The job ends as failed when the last of them is
// settled. Has no effect on a job that is already stopping or final.
auto StopJob(EventContext& context, const JobId& id, std::string_view reason)
    -> void;

// Fails a job after another instance has closed the ledger. For every reader of
// the closed ledger a job without a final record has failed, so callers of this
// instance get the same answer.
auto FailFencedJob(EventContext& context, const JobId& id) -> void;

// Answers the callers that waited for the final record of a job, which is now
// durable.
auto OnFinalDurable(EventContext& context, const JobId& id) -> void;

// Stops jobs past their deadline, ends callers' waits that are over, and drops
// answers whose retention period is over.
auto ExpireJobs(EventContext& context) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_JOB_TABLE_H_
