// Which waiting job gets room next.
//
// Load answered: bursts of wide jobs near full. Jobs that have begun go first:
// what they ran is lost unless they end. Then the most urgent, so that none is
// refused while another that could wait longer starts.
#ifndef SERVERS_SCHEDULING_WAITING_H_
#define SERVERS_SCHEDULING_WAITING_H_

#include <vector>

#include "servers/scheduling/scheduler.h"

namespace boragecroft::detail {

// The jobs with tasks that may start now, in the order of the policy.
auto WaitingJobs(Scheduler& state, Instant now) -> std::vector<ScheduledJob*>;

// Notes room that a kind of job gets, for the fair order: `time` of one task.
auto RecordUsage(Scheduler& state,
                 const std::string& kind,
                 microseconds time,
                 Instant now) -> void;

}  // namespace boragecroft::detail

#endif  // SERVERS_SCHEDULING_WAITING_H_
