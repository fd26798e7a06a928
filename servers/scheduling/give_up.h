// Decides when a job is given up: it has no room, or no chance to end before
// its caller leaves, or its origin instance is lost.
#ifndef SERVERS_SCHEDULING_GIVE_UP_H_
#define SERVERS_SCHEDULING_GIVE_UP_H_

#include "servers/scheduling/scheduler.h"

namespace boragecroft::detail {

// Reports whether tasks of the job may have been executed, so that it must not
// be reported as not run.
auto MayHaveRun(const ScheduledJob& job) -> bool;

// Returns the chance that the job ends in time if its waiting tasks start now.
auto ChanceOf(const ScheduledJob& job, Instant now) -> double;

// Computes anew when the job's chance is gone. Must be called when one of its
// tasks has started or ended.
auto UpdateChanceGoneAt(ScheduledJob& job) -> void;

// Returns the time at which the job is given up unless it changes before.
auto GiveUpAt(const ScheduledJob& job) -> Instant;

// Returns why a job whose time has come is given up.
auto GiveUpReasonOf(const ScheduledJob& job, Instant now) -> GiveUpReason;

}  // namespace boragecroft::detail

#endif  // SERVERS_SCHEDULING_GIVE_UP_H_
