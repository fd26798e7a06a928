#include "servers/admission/admission.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace boragecroft {
namespace {

// Upper limit of expected durations. Longer work is treated as unbounded; the
// limit keeps the arithmetic within the range of microseconds.
constexpr double kMaxCompletionMicros = 1e15;
constexpr double kMicrosPerMilli = 1000;

// An instance is nearly idle if its whole backlog is drained within this time,
// or within this part of the deadline if that is shorter.
constexpr microseconds kNearlyIdleBacklog = milliseconds(100);
constexpr int kNearlyIdleDeadlineParts = 10;

// Part by which the estimated wait is increased, since other jobs may use more
// slots by then.
constexpr double kWaitMargin = 0.2;

constexpr milliseconds kMinRetryAfter(100);
constexpr milliseconds kMaxRetryAfter = seconds(60);
constexpr milliseconds kNoWorkerRetryAfter = seconds(1);

// Slot time that must be given out before the last task of the job is done, and
// the number of slots that supply it.
struct WorkAhead {
  double ahead = 0;  // slot time, in microseconds
  double slots = 0;
};

auto ToMicros(microseconds duration) -> double {
  return static_cast<double>(std::max(duration, microseconds::zero()).count());
}

auto Uncertainty(const AdmissionInput& input) -> double {
  return std::clamp(input.run_time.uncertainty, 0.0, 1.0);
}

auto OwnCost(const AdmissionInput& input) -> double {
  return ToMicros(input.run_time.expected) * input.task_count;
}

// Returns the time that the job's own tasks take on this many slots.
auto OwnTime(const AdmissionInput& input, double slots) -> double {
  return slots <= 0 ? kMaxCompletionMicros
                    : std::max(ToMicros(input.run_time.expected),
                               OwnCost(input) / slots);
}

// Returns the completion time on an idle instance if the job's tasks are as
// short as the uncertainty allows.
auto ShortestCompletion(const AdmissionInput& input) -> double {
  return OwnTime(input, input.slots) * (1 - Uncertainty(input));
}

// Returns the completion time if the backlog is as long as the uncertainty
// allows.
auto CompletionWith(const AdmissionInput& input, const WorkAhead& work_ahead)
    -> double {
  if (work_ahead.slots <= 0) {
    return kMaxCompletionMicros;
  }
  const auto margin = 1 + kWaitMargin + Uncertainty(input);
  const auto wait = work_ahead.ahead * margin / work_ahead.slots;
  return std::min(wait + OwnTime(input, work_ahead.slots),
                  kMaxCompletionMicros);
}

// Returns the earlier of two bounds if the class has `class_share` of the
// slots: the partner gets its weighted part of that share, or it gets what the
// other partners leave once all waiting work is drained.
auto CompletionInClass(const AdmissionInput& input,
                       double ahead_of_class,
                       double class_share) -> double {
  const auto weight = static_cast<double>(std::max(input.partner_weight, 1U));
  const auto part = weight / (weight + static_cast<double>(input.other_weight));
  const auto spare = class_share - std::max(input.other_partners_load, 0.0);
  const WorkAhead by_weight{
      .ahead = ahead_of_class * part + ToMicros(input.partner_cost),
      .slots = input.slots * class_share * part};
  const WorkAhead by_drain{.ahead = ahead_of_class + ToMicros(input.class_cost),
                           .slots = input.slots * spare};
  return std::min(CompletionWith(input, by_weight),
                  CompletionWith(input, by_drain));
}

// Returns the earlier of two bounds: the class gets its floor immediately, or
// it gets what the other classes leave once the more urgent backlog is drained.
auto ExpectedCompletion(const AdmissionInput& input) -> double {
  const auto left = 1 - std::max(input.less_urgent_share, 0.0) -
                    std::max(input.more_urgent_load, 0.0);
  const auto by_floor =
      CompletionInClass(input, 0, std::clamp(input.class_floor, 0.0, 1.0));
  const auto by_rest =
      CompletionInClass(input, ToMicros(input.more_urgent_cost), left);
  return std::min(by_floor, by_rest);
}

auto IsNearlyIdle(const AdmissionInput& input) -> bool {
  const auto limit = std::min<microseconds>(
      kNearlyIdleBacklog, input.deadline / kNearlyIdleDeadlineParts);
  return ToMicros(input.total_cost) <= ToMicros(limit) * input.slots;
}

auto ToMicroseconds(double micros) -> microseconds {
  return microseconds(
      static_cast<int64_t>(std::min(micros, kMaxCompletionMicros)));
}

auto RetryAfter(double micros) -> milliseconds {
  const auto wait = milliseconds(static_cast<int64_t>(
      std::ceil(std::min(micros, kMaxCompletionMicros) / kMicrosPerMilli)));
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

// Reports whether the queue has capacity for the job. A partner's tasks may
// take at most as much of the queue as they leave free, so that a new partner
// always finds free capacity.
auto QueueHasCapacity(const AdmissionInput& input) -> bool {
  const auto tasks = uint64_t{input.task_count};
  const auto bound = uint64_t{input.max_queued_tasks};
  if (input.class_queued_tasks + tasks > bound) {
    return false;
  }
  const auto free_capacity = bound - input.class_queued_tasks;
  return input.partner_queued_tasks + tasks <= free_capacity;
}

auto RefuseFullQueue(const AdmissionInput& input, double completion)
    -> AdmissionDecision {
  AdmissionDecision decision{.refusal = Refusal::kQueueFull,
                             .expected_completion = ToMicroseconds(completion)};
  if (input.task_count <= input.max_queued_tasks) {
    decision.retry_after =
        RetryAfter(completion * input.task_count /
                   static_cast<double>(std::max<uint64_t>(
                       input.class_queued_tasks + input.task_count, 1)));
  }
  return decision;
}

}  // namespace

auto Admit(const AdmissionInput& input) -> AdmissionDecision {
  if (input.slots == 0) {
    return {.refusal = Refusal::kOverloaded,
            .retry_after = kNoWorkerRetryAfter,
            .expected_completion = ToMicroseconds(kMaxCompletionMicros)};
  }
  const auto deadline = ToMicros(input.deadline);
  const auto shortest = ShortestCompletion(input);
  if (shortest > deadline) {
    return {.refusal = Refusal::kDeadline,
            .expected_completion = ToMicroseconds(shortest)};
  }
  const auto completion = ExpectedCompletion(input);
  if (!QueueHasCapacity(input)) {
    return RefuseFullQueue(input, completion);
  }
  if (completion > deadline && !IsNearlyIdle(input)) {
    return {.refusal = Refusal::kDeadline,
            .retry_after = RetryAfter(completion - deadline),
            .expected_completion = ToMicroseconds(completion)};
  }
  return {.expected_completion = ToMicroseconds(completion)};
}

}  // namespace boragecroft
