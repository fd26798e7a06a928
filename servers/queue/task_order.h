// Chooses the next job of the fair queue and keeps the virtual times by which
// slot time is shared between partners.
#ifndef SERVERS_QUEUE_TASK_ORDER_H_
#define SERVERS_QUEUE_TASK_ORDER_H_

#include "servers/queue/task_queue.h"

namespace boragecroft::detail {

struct JobChoice {
  QueuedJob* job = nullptr;  // null when no task may be dispatched
  bool by_floor = false;
};

// Returns the number of waiting tasks of the job, whether or not they may be
// dispatched.
auto CountWaitingTasks(const QueuedJob& job) -> uint32_t;

// Updates the positions of a job and of its partner in the dispatch order. Must
// be called after any change of the job's cursor, dispatch limit or returned
// tasks.
auto RefreshJob(TaskQueue& queue, QueuedJob& job) -> void;

// Removes the job from the dispatch order until the next call of `RefreshJob`.
auto UnlistJob(TaskQueue& queue, QueuedJob& job) -> void;

// Adds the partner to the dispatch order or removes it from there, after its
// jobs changed or it was paused or resumed.
auto RefreshPartner(TaskQueue& queue, PartnerQueue& partner) -> void;

// Pauses or resumes dispatching of a partner's tasks.
auto PausePartner(TaskQueue& queue, PartnerQueue& partner, bool paused) -> void;

// Returns the job whose task takes the next slot.
auto ChooseJob(const TaskQueue& queue, Instant now) -> JobChoice;

// Records a dispatch. The partner's smallest job gets a bounded share of the
// dispatches, and the mean interval between dispatches is measured here.
auto RecordDispatch(PartnerQueue& partner, const QueuedJob& job, Instant now)
    -> void;

// Charges slot time to a partner, its class and the queue; a negative amount
// refunds it.
auto Charge(TaskQueue& queue,
            PartnerQueue& partner,
            microseconds amount,
            bool by_floor) -> void;

}  // namespace boragecroft::detail

#endif  // SERVERS_QUEUE_TASK_ORDER_H_
