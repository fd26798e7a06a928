// Computes the time that an incarnation writes into ids and records: the wall
// time read once at its start, advanced by the boot-time clock. It never steps
// back or ahead, so an id that expired stays expired and record keys rise in
// the order of events.
#ifndef SERVERS_IDENTITY_RECORD_CLOCK_H_
#define SERVERS_IDENTITY_RECORD_CLOCK_H_

#include "core/base/clock.h"

namespace boragecroft {

// Returns the record time. `started` holds the readings of both clocks when the
// incarnation started.
inline auto RecordTime(const Now& started, const Now& now) -> WallTime {
  return started.wall +
         std::chrono::duration_cast<milliseconds>(now.boot - started.boot);
}

}  // namespace boragecroft

#endif  // SERVERS_IDENTITY_RECORD_CLOCK_H_
