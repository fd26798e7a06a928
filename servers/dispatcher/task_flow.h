// Tasks between the queue and the endpoints: starts, answers, second attempts,
// leases, overdue answers.
#ifndef SERVERS_DISPATCHER_TASK_FLOW_H_
#define SERVERS_DISPATCHER_TASK_FLOW_H_

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Puts the job's tasks into the queue of its service.
auto QueueJob(EventContext& context, const Job& job) -> void;
// Takes the waiting tasks of a job out of the queue.
auto UnqueueJob(EventContext& context, const Job& job) -> void;
// Allows the tasks below `limit`: their watermark is durable.
auto RaiseDispatchLimit(EventContext& context, const JobId& job, uint32_t limit)
    -> void;

// Stops the attempts of a job, and ends those of its tasks that wait for
// another attempt.
auto StopRunningTasks(EventContext& context, const Job& job) -> void;

// Starts as many tasks as there are slots, shares and permits for.
auto StartTasks(EventContext& context) -> void;

// Renews leases, asks about overdue answers, hedges, and returns delayed tasks
// to the queue.
auto AdvanceAttempts(EventContext& context) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_TASK_FLOW_H_
