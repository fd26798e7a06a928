#include "servers/scheduling/objective.h"

#include <algorithm>

namespace boragecroft {
namespace {

// Share of the objective that a job may wait for its first start. A refusal
// that reaches the caller after a quarter of the objective costs the caller
// more; the remaining 0.03 are for the way back.
constexpr double kMaxWaitShare = 0.22;
// Time that a stop order needs to reach the worker before the caller stops
// waiting.
constexpr milliseconds kStopLead{10};

}  // namespace

auto PlanTimes(const JobOffer& offer,
               microseconds run_time,
               WaitingTime waiting,
               Instant now) -> JobTimes {
  const auto objective =
      std::chrono::duration_cast<microseconds>(run_time * offer.slack_factor) +
      microseconds(offer.target);
  const auto wait =
      std::chrono::duration_cast<microseconds>(objective * kMaxWaitShare);
  JobTimes times;
  times.arrived = now - offer.age;
  times.objective = times.arrived + objective;
  times.refuse_at = times.arrived + wait;
  times.stop_at = now + offer.remaining - kStopLead;
  if (waiting == WaitingTime::kPredictedStart) {
    times.refuse_at = std::max(times.refuse_at, times.objective - run_time);
  }
  times.refuse_at = std::min(times.refuse_at, times.stop_at);
  return times;
}

}  // namespace boragecroft
