// What the end of an exchange with an endpoint means to those who keep books on
// it.
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
// Empty when it says nothing of the worker's health.
auto ToOutcome(ExchangeEnd end) -> std::optional<Outcome>;
auto Count(Counters& counters, ExchangeEnd end) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_EXCHANGE_END_H_
