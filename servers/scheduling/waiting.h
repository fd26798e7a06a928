// Orders the waiting jobs.
//
// Handles bursts of jobs with many tasks on workers that are almost fully used.
// Started jobs come first, because the work of their ended tasks is lost unless
// the whole job ends. Then the most urgent job comes first, so that no job is
// refused while another one that could wait longer starts. Where jobs differ in
// priority, the job that costs callers most to turn away comes first
// (displacement.h).
#ifndef SERVERS_SCHEDULING_WAITING_H_
#define SERVERS_SCHEDULING_WAITING_H_

#include <vector>

#include "servers/scheduling/scheduler.h"

namespace boragecroft::detail {

// Returns the jobs with tasks that may start now, in the order of the policy.
auto WaitingJobs(Scheduler& state, Instant now) -> std::vector<ScheduledJob*>;

// Returns the rules that are in force for waiting jobs.
auto RulesOf(const Scheduler& state) -> const WaitingRules&;

// Waiting job that is refused now, because the runs in progress and the jobs
// before it leave room too late for it. It has started no task.
struct TurnedAway {
  JobName job;
  // The job that has just arrived, if it comes before this one and waits.
  std::optional<JobName> displaced_by;
};
auto JobsToTurnAway(Scheduler& state, JobName arrived, Instant now)
    -> std::vector<TurnedAway>;

// Records the slot time that a kind of job receives, for the fair order. `time`
// is the run time of one task.
auto RecordUsage(Scheduler& state,
                 const std::string& kind,
                 microseconds time,
                 Instant now) -> void;

}  // namespace boragecroft::detail

#endif  // SERVERS_SCHEDULING_WAITING_H_
