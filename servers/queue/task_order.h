// The order of the fair queue: which job is next, and the virtual times by
// which slot time is shared.
#ifndef SERVERS_QUEUE_TASK_ORDER_H_
#define SERVERS_QUEUE_TASK_ORDER_H_

#include "servers/queue/task_queue.h"

namespace boragecroft::detail {

struct Choice {
  QueuedJob* job = nullptr;  // null when nothing may be dispatched
  bool by_floor = false;
};

// The tasks of the job that wait, whether or not they may be dispatched.
auto Remaining(const QueuedJob& job) -> uint32_t;

// Brings the places of a job and its partner in the order up to date. Called
// after any change of the job's cursor, limit or returned tasks.
auto RefreshJob(TaskQueue& queue, QueuedJob& job) -> void;

// Takes the job out of the order until the next `RefreshJob`.
auto UnlistJob(TaskQueue& queue, QueuedJob& job) -> void;

// Lists or unlists a partner after its jobs or its hold changed.
auto RefreshPartner(TaskQueue& queue, PartnerQueue& partner) -> void;

// Stops or resumes a partner.
auto PausePartner(TaskQueue& queue, PartnerQueue& partner, bool paused) -> void;

// The job whose task takes the next slot.
auto ChooseJob(const TaskQueue& queue, Instant now) -> Choice;

// Notes a dispatch for the share of the smallest job.
auto RecordDispatch(PartnerQueue& partner, const QueuedJob& job, Instant now)
    -> void;

// Adds slot time to the accounts of a partner, its class and the queue;
// negative to take it back.
auto Charge(TaskQueue& queue,
            PartnerQueue& partner,
            microseconds amount,
            bool by_floor) -> void;

}  // namespace boragecroft::detail

#endif  // SERVERS_QUEUE_TASK_ORDER_H_
