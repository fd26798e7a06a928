// When the caller of a refused job should come back.
//
// Load answered: bursts. Callers that are all told the same time come back
// together, as they were refused. So returns are spread: one after the other
// over the time that the refused jobs need, when a part of the group's room is
// kept for them, and neighbours far apart.
#ifndef SERVERS_SCHEDULING_RETRY_ADVICE_H_
#define SERVERS_SCHEDULING_RETRY_ADVICE_H_

#include <cstdint>

#include "core/base/clock.h"

namespace boragecroft {

struct RetryAdvice {
  Instant reserved_until;  // room is booked for returns until then
  double spread_position =
      0;  // where in the spread the last return lies, 0 to 1
};

// How long the caller should wait. `work`: the time of all its tasks one after
// the other; `places`: tasks that the group runs at a time.
auto AdviseRetry(RetryAdvice& advice,
                 microseconds work,
                 uint32_t slots,
                 Instant now) -> milliseconds;

}  // namespace boragecroft

#endif  // SERVERS_SCHEDULING_RETRY_ADVICE_H_
