// What admission needs to know of the queue, taken from it in O(classes).
#ifndef SERVERS_ADMISSION_QUEUE_STATE_H_
#define SERVERS_ADMISSION_QUEUE_STATE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "servers/admission/admission.h"
#include "servers/queue/task_queue.h"

namespace boragecroft {

// What one partner took of the slots over the last whole window.
struct PartnerLoad {
  uint32_t weight = 0;
  microseconds slot_time{};  // in all, at the start of the present window
  double share = 0;          // of all slots
};

struct ClassLoad {
  double share = 0;            // of all slots
  uint64_t active_weight = 0;  // of the partners that took any
  std::map<std::string, PartnerLoad, std::less<>> partners;
};

// The use of the slots by class and partner, measured over windows.
struct SlotLoads {
  Instant window_start;
  std::vector<ClassLoad> classes;
};

// Starts a new window when the present one has passed. Called at least as often
// as a window lasts; O(partners).
auto MeasureLoads(SlotLoads& loads,
                  const TaskQueue& queue,
                  uint32_t slots,
                  Instant now) -> void;

// Fills the fields of `input` that describe the queue as this class and partner
// see it. The job's own fields, `slots`, `partner_weight` and
// `max_queued_tasks` are left to the caller.
auto DescribeQueue(const TaskQueue& queue,
                   const SlotLoads& loads,
                   uint32_t class_index,
                   std::string_view partner,
                   AdmissionInput& input) -> void;

}  // namespace boragecroft

#endif  // SERVERS_ADMISSION_QUEUE_STATE_H_
