// Computes the times that bound a job: its objective, its latest start and its
// latest useful answer.
//
// Handles more jobs than the workers can run: a job that has waited a quarter
// of its objective without a start costs its caller more by waiting longer than
// by a refusal. Therefore the objective bounds the wait, not the length of the
// queue.
#ifndef SERVERS_SCHEDULING_OBJECTIVE_H_
#define SERVERS_SCHEDULING_OBJECTIVE_H_

#include "core/base/clock.h"
#include "servers/scheduling/job.h"
#include "servers/scheduling/policy.h"

namespace boragecroft {

struct JobTimes {
  Instant arrived;    // at its origin instance
  Instant objective;  // an answer by this time meets the objective
  Instant refuse_at;  // the job is refused unless it has started by this time
  Instant stop_at;    // an end after this time no longer reaches the caller
};

// Computes the times of a job that reaches the scheduler at `now`. `run_time`
// is the expected run time of its longest task on a worker of speed 1. With
// kPredictedStart, a job may wait until it could no longer meet its objective
// on such a worker, and at least as long as with kShareOfObjective.
auto PlanTimes(const JobOffer& offer,
               microseconds run_time,
               WaitingTime waiting,
               Instant now) -> JobTimes;

}  // namespace boragecroft

#endif  // SERVERS_SCHEDULING_OBJECTIVE_H_
