// The time that an incarnation writes into ids and records: wall time read once
// at start, moved on by the boot-time clock. It never steps, so an id that
// expired stays expired and record keys rise in the order of events.
#ifndef SERVERS_IDENTITY_RECORD_CLOCK_H_
#define SERVERS_IDENTITY_RECORD_CLOCK_H_

#include "core/base/clock.h"

namespace boragecroft {

// `started` is the reading of both clocks when the incarnation began.
inline auto RecordTime(const Now& started, const Now& now) -> WallTime {
  return started.wall +
         std::chrono::duration_cast<milliseconds>(now.boot - started.boot);
}

}  // namespace boragecroft

#endif  // SERVERS_IDENTITY_RECORD_CLOCK_H_
