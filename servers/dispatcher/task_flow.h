// Manages tasks between the queue and the endpoints: starts, hedges, leases and
// queries about overdue answers.
#ifndef SERVERS_DISPATCHER_TASK_FLOW_H_
#define SERVERS_DISPATCHER_TASK_FLOW_H_

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Adds the job's tasks to the queue of its service.
auto QueueJob(EventContext& context, const Job& job) -> void;
// Removes the waiting tasks of a job from the queue.
auto UnqueueJob(EventContext& context, const Job& job) -> void;
// Allows dispatch of the tasks below `limit`, whose watermark is durable.
auto RaiseDispatchLimit(EventContext& context, const JobId& job, uint32_t limit)
    -> void;

// Stops the attempts of a job, and ends the tasks of the job that wait for
// another attempt.
auto StopRunningTasks(EventContext& context, const Job& job) -> void;

// Starts as many tasks as slots, shares and permits allow.
auto StartTasks(EventContext& context) -> void;

// Renews leases, queries endpoints about overdue answers, starts hedges, and
// returns delayed tasks to the queue.
auto AdvanceAttempts(EventContext& context) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_TASK_FLOW_H_
