#include "servers/scheduling/objective.h"

#include <algorithm>

namespace boragecroft {
namespace {

// Part of the objective that a job may wait for its first start. A refusal
// costs the caller more from a quarter on; the rest is for the way back.
constexpr double kMaxWaitShare = 0.22;
// Answers later than this many objectives are worth nothing to callers.
constexpr int kMaxUsefulObjectives = 3;
// A stop takes this long to reach the worker before the caller stops waiting.
constexpr milliseconds kStopLead{10};

}  // namespace

auto PlanTimes(const JobOffer& offer, microseconds run_time, Instant now)
    -> JobTimes {
  const auto objective =
      std::chrono::duration_cast<microseconds>(run_time * offer.slack_factor) +
      microseconds(offer.target);
  const auto wait =
      std::chrono::duration_cast<microseconds>(objective * kMaxWaitShare);
  JobTimes times;
  times.arrived = now - offer.age;
  times.objective = times.arrived + objective;
  times.refuse_at = times.arrived + wait;
  const auto latest_stop = now + offer.remaining - kStopLead;
  times.stop_at =
      std::min(latest_stop, times.arrived + objective * kMaxUsefulObjectives);
  times.refuse_at = std::min(times.refuse_at, times.stop_at);
  return times;
}

}  // namespace boragecroft
