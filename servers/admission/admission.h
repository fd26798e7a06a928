// Admission control: decides from a job's headers alone whether its tasks can
// be answered before the deadline, so that a job that would be late is refused
// early. See docs/design/admission.md.
#ifndef SERVERS_ADMISSION_ADMISSION_H_
#define SERVERS_ADMISSION_ADMISSION_H_

#include <cstdint>
#include <optional>

#include "core/base/clock.h"
#include "servers/model/submission.h"

namespace boragecroft {

// Expected run time of one task.
struct RunTimeForecast {
  microseconds expected{};
  // Relative error that has to be allowed for, from 0 (well known) to 1 (a
  // guess).
  double uncertainty = 0;
};

// Headers of the job, and the state of its class and partner on this instance.
struct AdmissionInput {
  uint32_t task_count = 0;
  milliseconds deadline{};  // counted from now
  RunTimeForecast run_time;

  // Slots that this instance may fill at the same time; 0 if no worker is
  // known.
  uint32_t slots = 0;
  double class_floor = 0;  // guaranteed share of the slots, 0 to 1
  // Share of the slots that the floors of the less urgent classes reserve.
  double less_urgent_share = 0;
  // Share of the slots that the more urgent classes used recently.
  double more_urgent_load = 0;

  // Expected slot time of the waiting tasks: of all classes, of the more urgent
  // classes, of this class, and of this partner in this class.
  microseconds total_cost{};
  microseconds more_urgent_cost{};
  microseconds class_cost{};
  microseconds partner_cost{};

  uint32_t partner_weight = 1;
  // Sum of the weights of the other partners of the class that have waiting
  // tasks or had tasks dispatched recently, and the share of the slots that
  // those partners used.
  uint64_t other_weight = 0;
  double other_partners_load = 0;

  uint64_t class_queued_tasks = 0;
  uint64_t partner_queued_tasks = 0;
  uint32_t max_queued_tasks = 0;  // limit of the class on this instance
};

// Decision to accept a job, or to refuse it with a reason. No task of a refused
// job has run.
struct AdmissionDecision {
  std::optional<Refusal> refusal;
  // Time to wait before another attempt; empty if the job was accepted or if
  // the same request can never be accepted.
  std::optional<milliseconds> retry_after;
  // Time at which the last task is expected to end, counted from now.
  microseconds expected_completion{};

  auto Accepted() const -> bool { return !refusal.has_value(); }
};

// Decides whether a job is accepted. The decision is monotonic: a larger
// backlog never turns a refusal into an acceptance.
auto Admit(const AdmissionInput& input) -> AdmissionDecision;

}  // namespace boragecroft

#endif  // SERVERS_ADMISSION_ADMISSION_H_
