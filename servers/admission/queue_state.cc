#include "servers/admission/queue_state.h"

namespace boragecroft {
namespace {

constexpr double kWholeMillis = 1000;

auto Floor(const TaskQueue& queue, uint32_t class_index) -> double {
  return FloorMillis(queue, class_index) / kWholeMillis;
}

}  // namespace

auto DescribeQueue(const TaskQueue& queue,
                   uint32_t class_index,
                   std::string_view partner,
                   AdmissionInput& input) -> void {
  const auto own_class = ClassBacklog(queue, class_index);
  const auto own = PartnerBacklog(queue, class_index, partner);
  input.class_floor = Floor(queue, class_index);
  input.less_urgent_floors = 0;
  input.total_cost = queue.backlog.cost;
  input.more_urgent_cost = microseconds::zero();
  input.class_cost = own_class.cost;
  input.class_queued_tasks = own_class.tasks;
  input.partner_cost = own.cost;
  input.partner_queued_tasks = own.tasks;
  input.other_weight = ActiveWeight(queue, class_index);
  if (own.tasks > 0) {
    input.other_weight -= PartnerWeight(queue, class_index, partner);
  }
  for (uint32_t i = 0; i < queue.classes.size(); ++i) {
    const auto backlog = ClassBacklog(queue, i);
    if (i < class_index) {
      input.more_urgent_cost += backlog.cost;
    } else if (i > class_index && backlog.tasks > 0) {
      input.less_urgent_floors += Floor(queue, i);
    }
  }
}

}  // namespace boragecroft
