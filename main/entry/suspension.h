// Notices that the process was suspended.
#ifndef MAIN_ENTRY_SUSPENSION_H_
#define MAIN_ENTRY_SUSPENSION_H_

#include "main/entry/entry_state.h"

namespace boragecroft {

// Handles that the process was suspended since its start or the last heartbeat,
// if it was: ends the connections to all other instances and treats the origin
// instances of all jobs as lost, for they may have handed their jobs to another
// holder in the meantime. Call it before any event is handled that arrived from
// outside, for such events may be waiting when the process continues.
auto HandleSuspension(EntryState& state, Instant now) -> void;

}  // namespace boragecroft

#endif  // MAIN_ENTRY_SUSPENSION_H_
