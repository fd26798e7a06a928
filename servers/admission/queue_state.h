// Reads the state of the queue that admission control needs, in O(classes).
#ifndef SERVERS_ADMISSION_QUEUE_STATE_H_
#define SERVERS_ADMISSION_QUEUE_STATE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "servers/admission/admission.h"
#include "servers/queue/task_queue.h"

namespace boragecroft {

// Share of the slots that one partner used over the last complete window.
struct PartnerLoad {
  uint32_t weight = 0;
  microseconds slot_time{};  // total, at the start of the current window
  double share = 0;          // of all slots
};

struct ClassLoad {
  double share = 0;            // of all slots
  uint64_t active_weight = 0;  // sum over the partners that used any slot time
  std::map<std::string, PartnerLoad, std::less<>> partners;
};

// Use of the slots by class and partner, measured over windows.
struct SlotLoads {
  Instant window_start;
  std::vector<ClassLoad> classes;
};

// Starts a new window if the current one has ended. Must be called at least
// once per window length. Costs O(partners).
auto MeasureLoads(SlotLoads& loads,
                  const TaskQueue& queue,
                  uint32_t slots,
                  Instant now) -> void;

// Sets the fields of `input` that describe the queue for this class and
// partner. The caller sets the fields of the job itself, `slots`,
// `partner_weight` and `max_queued_tasks`.
auto DescribeQueue(const TaskQueue& queue,
                   const SlotLoads& loads,
                   uint32_t class_index,
                   std::string_view partner,
                   AdmissionInput& input) -> void;

}  // namespace boragecroft

#endif  // SERVERS_ADMISSION_QUEUE_STATE_H_
