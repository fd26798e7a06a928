#include "servers/dispatcher/exchange_end.h"

namespace boragecroft {

auto ToAnswer(ExchangeEnd end) -> EndpointAnswer {
  switch (end) {
    case ExchangeEnd::kBusy:
      return EndpointAnswer::kBusy;
    case ExchangeEnd::kDraining:
      return EndpointAnswer::kDraining;
    case ExchangeEnd::kCannotRun:
      return EndpointAnswer::kCannotRun;
    case ExchangeEnd::kOtherIncarnation:
      return EndpointAnswer::kOtherIncarnation;
    case ExchangeEnd::kNotSent:
      return EndpointAnswer::kConnectFailed;
    case ExchangeEnd::kNoResponse:
    case ExchangeEnd::kProtocol:
    case ExchangeEnd::kUnknownToNewProcess:
      return EndpointAnswer::kNoResponse;
    default:
      return EndpointAnswer::kRan;
  }
}

auto ToAttemptEnd(ExchangeEnd end) -> AttemptEnd {
  switch (end) {
    case ExchangeEnd::kBusy:
    case ExchangeEnd::kOtherIncarnation:
      return AttemptEnd::kBusy;
    case ExchangeEnd::kDraining:
      return AttemptEnd::kDraining;
    case ExchangeEnd::kCannotRun:
      return AttemptEnd::kCannotRun;
    case ExchangeEnd::kNotSent:
    case ExchangeEnd::kNotStarted:
      return AttemptEnd::kNotSent;
    case ExchangeEnd::kDone:
      return AttemptEnd::kDone;
    case ExchangeEnd::kFailed:
      return AttemptEnd::kFailed;
    default:
      return AttemptEnd::kUnknown;
  }
}

auto ToOutcome(ExchangeEnd end) -> std::optional<Outcome> {
  switch (end) {
    case ExchangeEnd::kDone:
      return Outcome::kDone;
    case ExchangeEnd::kFailed:
      return Outcome::kFailed;
    case ExchangeEnd::kNotSent:
      return Outcome::kConnectFailed;
    case ExchangeEnd::kNoResponse:
    case ExchangeEnd::kProtocol:
      return Outcome::kNoResponse;
    default:
      return std::nullopt;
  }
}

auto CountEnd(Counters& counters, ExchangeEnd end) -> void {
  switch (end) {
    case ExchangeEnd::kDone:
      ++counters.attempts_done;
      return;
    case ExchangeEnd::kFailed:
      ++counters.attempts_failed;
      return;
    case ExchangeEnd::kBusy:
      ++counters.attempts_busy;
      return;
    case ExchangeEnd::kDraining:
      ++counters.attempts_draining;
      return;
    case ExchangeEnd::kOtherIncarnation:
      ++counters.attempts_other_incarnation;
      return;
    case ExchangeEnd::kUnknownToNewProcess:
      ++counters.attempts_forgotten;
      return;
    case ExchangeEnd::kNotSent:
      ++counters.attempts_not_sent;
      return;
    case ExchangeEnd::kNoResponse:
      ++counters.attempts_no_response;
      return;
    case ExchangeEnd::kProtocol:
      ++counters.attempts_protocol_errors;
      return;
    default:
      return;
  }
}

}  // namespace boragecroft
