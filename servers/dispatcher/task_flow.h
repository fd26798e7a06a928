// Tasks between the queue and the endpoints: starts, answers, second attempts,
// leases, overdue answers.
#ifndef SERVERS_DISPATCHER_TASK_FLOW_H_
#define SERVERS_DISPATCHER_TASK_FLOW_H_

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Puts the job's tasks into the queue of its service.
auto QueueJob(Step& step, const Job& job) -> void;
// Takes the waiting tasks of a job out of the queue.
auto UnqueueJob(Step& step, const Job& job) -> void;
// Allows the tasks below `limit`: their watermark is durable.
auto RaiseDispatchLimit(Step& step, const JobId& job, uint32_t limit) -> void;

// Stops the attempts of a job, and ends those of its tasks that wait for
// another attempt.
auto StopRunningTasks(Step& step, const Job& job) -> void;

// Starts as many tasks as there are slots, shares and permits for.
auto StartTasks(Step& step) -> void;

// Renews leases, asks about overdue answers, hedges, and returns delayed tasks
// to the queue.
auto TendAttempts(Step& step) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_TASK_FLOW_H_
