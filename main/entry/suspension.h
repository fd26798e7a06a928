// Notices that the process was suspended.
#ifndef MAIN_ENTRY_SUSPENSION_H_
#define MAIN_ENTRY_SUSPENSION_H_

#include "main/entry/entry_state.h"

namespace boragecroft {

// Treats the origin instances of all jobs as lost if the process was suspended
// since the last heartbeat: they may have handed their jobs to another holder
// in the meantime. Call it before an event is handled that may start tasks, for
// such events may be waiting when the process continues.
auto HandleSuspension(EntryState& state, Instant now) -> void;

}  // namespace boragecroft

#endif  // MAIN_ENTRY_SUSPENSION_H_
