// What follows from how an attempt ended.
#ifndef SERVERS_DISPATCHER_TASK_SETTLEMENT_H_
#define SERVERS_DISPATCHER_TASK_SETTLEMENT_H_

#include <string>
#include <string_view>

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Decides about a task none of whose attempts is in progress: back to the queue
// now or later, or its end.
auto SettleTask(EventContext& context,
                const TaskId& task,
                std::string_view reason) -> void;

// Puts a task whose backoff is over back into the queue.
auto ReturnToQueue(EventContext& context, const TaskId& task) -> void;

// Asks the endpoint on a new connection how an attempt stands, and stops it
// when `stop`.
auto SendQuery(EventContext& context,
               const TaskId& task,
               RunningAttempt& attempt,
               bool stop) -> void;

// Holds or resumes the partners of a team as its share of the quota says.
auto ApplyQuotaPause(EventContext& context, const std::string& team) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_TASK_SETTLEMENT_H_
