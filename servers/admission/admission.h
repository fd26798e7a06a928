// Early refusal: decides from a job's headers alone whether its tasks can be
// answered before the deadline. See docs/design/admission.md.
#ifndef SERVERS_ADMISSION_ADMISSION_H_
#define SERVERS_ADMISSION_ADMISSION_H_

#include <cstdint>
#include <optional>

#include "core/base/clock.h"
#include "servers/model/submission.h"

namespace boragecroft {

// What is expected of one task's run time.
struct RunTimeForecast {
  microseconds expected{};
  // Relative error that must be reckoned with, from 0 (well known) to 1 (a
  // guess).
  double uncertainty = 0;
};

// The job's headers, and the state of its class and partner on this instance.
struct AdmissionInput {
  uint32_t task_count = 0;
  milliseconds deadline{};  // from now
  RunTimeForecast run_time;

  // Slots that this instance may fill at the same time; 0 when no worker is
  // known.
  uint32_t slots = 0;
  double class_floor = 0;  // share of the slots that the class keeps, 0 to 1
  // The share of the slots that the less urgent classes keep by their floors.
  double less_urgent_share = 0;
  // The share of the slots that the more urgent classes took of late.
  double more_urgent_load = 0;

  // Expected slot time of the tasks that wait: in all classes, in the more
  // urgent ones, in this class, and of this partner in this class.
  microseconds total_cost{};
  microseconds more_urgent_cost{};
  microseconds class_cost{};
  microseconds partner_cost{};

  uint32_t partner_weight = 1;
  // The sum of the weights of the other partners of the class whose tasks wait
  // or were dispatched of late, and the share of the slots that those took.
  uint64_t other_weight = 0;
  double other_partners_load = 0;

  uint64_t class_queued_tasks = 0;
  uint64_t partner_queued_tasks = 0;
  uint32_t max_queued_tasks = 0;  // bound of the class on this instance
};

// Accepted, or refused with the reason. Nothing of a refused job has run.
struct AdmissionDecision {
  std::optional<Refusal> refusal;
  // How long to wait before another try; empty when the same request can never
  // be accepted, or was.
  std::optional<milliseconds> retry_after;
  // When the last task is expected to end, counted from now.
  microseconds expected_completion{};

  auto Accepted() const -> bool { return !refusal.has_value(); }
};

// Decides whether a job is accepted. Monotone: more backlog never turns a
// refusal into an acceptance.
auto Admit(const AdmissionInput& input) -> AdmissionDecision;

}  // namespace boragecroft

#endif  // SERVERS_ADMISSION_ADMISSION_H_
