// Computes when the caller of a refused job should retry.
//
// Handles bursts: callers that are all given the same time would retry
// together, just as they were refused together. Therefore the retries are
// spread one after the other over the time that the refused jobs need when a
// part of the group's slots is reserved for them, and consecutive retries lie
// far apart.
#ifndef SERVERS_SCHEDULING_RETRY_ADVICE_H_
#define SERVERS_SCHEDULING_RETRY_ADVICE_H_

#include <cstdint>

#include "core/base/clock.h"

namespace boragecroft {

struct RetryAdvice {
  Instant reserved_until;      // the reserved slots are in use until then
  double spread_position = 0;  // of the last retry, 0 to 1
};

// Returns how long the caller should wait and reserves time for the retry.
// `work` is the sum of the run times of all its tasks; `slots` is the number of
// tasks that the group runs at the same time.
auto AdviseRetry(RetryAdvice& advice,
                 microseconds work,
                 uint32_t slots,
                 Instant now) -> milliseconds;

}  // namespace boragecroft

#endif  // SERVERS_SCHEDULING_RETRY_ADVICE_H_
