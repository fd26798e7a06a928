// What the dispatcher asks of endpoints and what comes back. See
// docs/ENDPOINT.md.
#ifndef PEERS_ENDPOINT_ENDPOINT_MESSAGES_H_
#define PEERS_ENDPOINT_ENDPOINT_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/base/address.h"
#include "core/base/clock.h"
#include "core/base/ids.h"
#include "servers/model/submission.h"

namespace boragecroft {

// Names one attempt of one task towards endpoints: "<job id>/<index>" or "<job
// id>/<index>#<attempt>".
struct AttemptId {
  TaskId task;
  uint32_t attempt = 0;

  auto operator<=>(const AttemptId&) const = default;
};

auto ToString(const AttemptId& id) -> std::string;

// Starts one attempt. Answered by exactly one AttemptOutcome.
struct StartAttempt {
  AttemptId id;
  Address endpoint;
  std::string service;
  std::string kind;
  Needs needs;
  milliseconds lease{};
  milliseconds
      timeout{};  // an endpoint that has not answered by then counts as silent
  std::string payload;  // JSON text
};

// Renews the leases of attempts in progress on one endpoint. Not answered.
struct RenewLeases {
  Address endpoint;
  milliseconds lease{};
  std::vector<AttemptId> ids;
};

// Stops an attempt and learns for good how far it got. Answered by exactly one
// AttemptOutcome.
struct StopAttempt {
  AttemptId id;
  Address endpoint;
  milliseconds timeout{};
};

using EndpointCommand = std::variant<StartAttempt, RenewLeases, StopAttempt>;

// How one attempt ended, as far as it is known.
enum class ExchangeEnd : uint8_t {
  kDone,        // the result is in `text`
  kFailed,      // it started and failed; the reason is in `text`
  kBusy,        // refused: no free slot; did not start
  kDraining,    // refused: the endpoint is leaving; did not start
  kCannotRun,   // refused: needs more than the worker has; did not start
  kNotStarted,  // stopped before its start, for good
  kNotSent,     // no byte of the request was sent; did not start
  kSilent,  // sent, but no answer in time or the connection broke: may have run
  kProtocol,  // the answer breaks the interface or belongs to another task: may
              // have run
};

// True when the attempt certainly did not start.
auto CertainlyNotStarted(ExchangeEnd end) -> bool;

struct AttemptOutcome {
  AttemptId id;
  ExchangeEnd end = ExchangeEnd::kSilent;
  bool from_stop = false;  // answers a StopAttempt
  std::string text;
};

}  // namespace boragecroft

#endif  // PEERS_ENDPOINT_ENDPOINT_MESSAGES_H_
