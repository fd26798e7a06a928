#include "servers/admission/queue_state.h"

#include <algorithm>
#include <utility>

namespace boragecroft {
namespace {

constexpr double kMillisPerWhole = 1000;
constexpr auto kLoadMeasurementWindow = seconds(1);

auto Floor(const TaskQueue& queue, uint32_t class_index) -> double {
  return FloorMillis(queue, class_index) / kMillisPerWhole;
}

// Returns the measured load of a class, or null before the first window has
// ended.
auto FindClassLoad(const SlotLoads& loads, uint32_t class_index)
    -> const ClassLoad* {
  return class_index < loads.classes.size() ? &loads.classes[class_index]
                                            : nullptr;
}

auto ShareOf(const SlotLoads& loads, uint32_t class_index) -> double {
  const auto* load = FindClassLoad(loads, class_index);
  return load == nullptr ? 0 : load->share;
}

// Returns the share of the slots that a less urgent class takes from a more
// urgent one: its floor while it has waiting tasks, otherwise the share that it
// used recently and is expected to continue to use, up to its floor.
auto ReservedShare(const TaskQueue& queue,
                   const SlotLoads& loads,
                   uint32_t class_index) -> double {
  const auto floor = Floor(queue, class_index);
  const auto waiting = ClassBacklog(queue, class_index).tasks > 0;
  return waiting ? floor : std::min(floor, ShareOf(loads, class_index));
}

// Ends a window in which `available` microseconds of slot time could be given
// out.
auto MeasureClass(const TaskQueue& queue,
                  uint32_t class_index,
                  double available,
                  ClassLoad& load) -> void {
  ClassLoad next;
  for (const auto& it : ListPartnerUsage(queue, class_index)) {
    const auto before = load.partners.find(it.partner);
    // All slot time of a partner that appears for the first time was used in
    // this window.
    const auto start = before == load.partners.end() ? microseconds::zero()
                                                     : before->second.slot_time;
    const auto taken = static_cast<double>((it.slot_time - start).count());
    const auto share = std::clamp(taken / available, 0.0, 1.0);
    next.partners[it.partner] = {it.weight, it.slot_time, share};
    next.share += share;
    next.active_weight += share > 0 ? it.weight : 0;
  }
  load = std::move(next);
}

// Sets the load and the weight of the other partners of the class.
auto DescribeOthers(const TaskQueue& queue,
                    const ClassLoad* load,
                    uint32_t class_index,
                    std::string_view partner,
                    AdmissionInput& input) -> void {
  auto waiting = ActiveWeight(queue, class_index);
  if (input.partner_queued_tasks > 0) {
    waiting -= PartnerWeight(queue, class_index, partner);
  }
  input.other_weight = waiting;
  input.other_partners_load = 0;
  if (load == nullptr) {
    return;
  }
  auto recent = load->active_weight;
  input.other_partners_load = load->share;
  const auto own = load->partners.find(partner);
  if (own != load->partners.end()) {
    input.other_partners_load -= own->second.share;
    recent -= own->second.share > 0 ? own->second.weight : 0;
  }
  input.other_weight = std::max(waiting, recent);
}

}  // namespace

auto MeasureLoads(SlotLoads& loads,
                  const TaskQueue& queue,
                  uint32_t slots,
                  Instant now) -> void {
  const auto elapsed = now - loads.window_start;
  if (elapsed < kLoadMeasurementWindow) {
    return;
  }
  const auto available =
      std::max(static_cast<double>(elapsed.count()) * slots, 1.0);
  loads.classes.resize(queue.classes.size());
  for (uint32_t i = 0; i < loads.classes.size(); ++i) {
    MeasureClass(queue, i, available, loads.classes[i]);
  }
  loads.window_start = now;
}

auto DescribeQueue(const TaskQueue& queue,
                   const SlotLoads& loads,
                   uint32_t class_index,
                   std::string_view partner,
                   AdmissionInput& input) -> void {
  const auto own_class = ClassBacklog(queue, class_index);
  const auto own = PartnerBacklog(queue, class_index, partner);
  input.class_floor = Floor(queue, class_index);
  input.less_urgent_share = 0;
  input.total_cost = queue.backlog.cost;
  input.more_urgent_cost = microseconds::zero();
  input.more_urgent_load = 0;
  input.class_cost = own_class.cost;
  input.class_queued_tasks = own_class.tasks;
  input.partner_cost = own.cost;
  input.partner_queued_tasks = own.tasks;
  DescribeOthers(queue, FindClassLoad(loads, class_index), class_index, partner,
                 input);
  for (uint32_t i = 0; i < queue.classes.size(); ++i) {
    const auto backlog = ClassBacklog(queue, i);
    if (i < class_index) {
      input.more_urgent_cost += backlog.cost;
      input.more_urgent_load += ShareOf(loads, i);
    } else if (i > class_index) {
      input.less_urgent_share += ReservedShare(queue, loads, i);
    }
  }
}

}  // namespace boragecroft
