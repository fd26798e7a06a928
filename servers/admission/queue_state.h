// What admission needs to know of the queue, taken from it in O(classes).
#ifndef SERVERS_ADMISSION_QUEUE_STATE_H_
#define SERVERS_ADMISSION_QUEUE_STATE_H_

#include <string_view>

#include "servers/admission/admission.h"
#include "servers/queue/task_queue.h"

namespace boragecroft {

// Fills the fields of `input` that describe the queue as this class and partner
// see it; `partner_weight` must be set. The job's own fields, `slots`,
// `more_urgent_load` and `max_queued_tasks` are left to the caller.
auto DescribeQueue(const TaskQueue& queue,
                   uint32_t class_index,
                   std::string_view partner,
                   AdmissionInput& input) -> void;

}  // namespace boragecroft

#endif  // SERVERS_ADMISSION_QUEUE_STATE_H_
