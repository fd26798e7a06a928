// Handles the end of attempts: decides on retries and on the end of tasks.
#ifndef SERVERS_DISPATCHER_TASK_SETTLEMENT_H_
#define SERVERS_DISPATCHER_TASK_SETTLEMENT_H_

#include <string>
#include <string_view>

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Decides about a task that has no attempt in progress: the task returns to the
// queue now or after a backoff, or it ends.
auto SettleTask(EventContext& context,
                const TaskId& task,
                std::string_view reason) -> void;

// Returns a task whose backoff is over to the queue.
auto ReturnToQueue(EventContext& context, const TaskId& task) -> void;

// Queries the endpoint on a new connection for the state of an attempt, and
// stops the attempt if `stop` is true.
auto SendQuery(EventContext& context,
               const TaskId& task,
               RunningAttempt& attempt,
               bool stop) -> void;

// Pauses or resumes the partners of a team according to its share of the quota.
auto ApplyQuotaPause(EventContext& context, const std::string& team) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_TASK_SETTLEMENT_H_
