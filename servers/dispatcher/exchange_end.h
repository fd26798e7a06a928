// Translates the end of an exchange with an endpoint for the fleet, the retry
// rules, the outlier detector and the counters.
#ifndef SERVERS_DISPATCHER_EXCHANGE_END_H_
#define SERVERS_DISPATCHER_EXCHANGE_END_H_

#include <optional>

#include "peers/endpoint/endpoint_messages.h"
#include "servers/dispatcher/counters.h"
#include "servers/fleet/fleet.h"
#include "servers/health/outlier_detector.h"
#include "servers/retry/retry.h"

namespace boragecroft {

auto ToAnswer(ExchangeEnd end) -> EndpointAnswer;
auto ToAttemptEnd(ExchangeEnd end) -> AttemptEnd;
// Returns the outcome for the outlier detector, or nothing when the end of the
// exchange does not reflect the worker's health.
auto ToOutcome(ExchangeEnd end) -> std::optional<Outcome>;
auto CountEnd(Counters& counters, ExchangeEnd end) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_EXCHANGE_END_H_
