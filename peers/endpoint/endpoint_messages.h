// Defines the commands that the dispatcher sends to endpoints and the outcomes
// that it receives. See docs/ENDPOINT.md.
#ifndef PEERS_ENDPOINT_ENDPOINT_MESSAGES_H_
#define PEERS_ENDPOINT_ENDPOINT_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/base/address.h"
#include "core/base/clock.h"
#include "core/base/ids.h"
#include "servers/model/submission.h"

namespace boragecroft {

// Identifies one attempt of one task. Endpoints receive it as text: "<job
// id>/<index>", or "<job id>/<index>#<attempt>" if `attempt` is not 0.
struct AttemptId {
  TaskId task;
  uint32_t attempt = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const AttemptId&) const = default;
};

auto ToString(const AttemptId& id) -> std::string;

// Starts one attempt. Results in exactly one AttemptOutcome, unless the attempt
// is abandoned.
struct StartAttempt {
  AttemptId id;
  Address endpoint;
  // The incarnation of the endpoint that is to run the attempt; any other
  // incarnation refuses it. Empty while the incarnation is unknown.
  std::string incarnation;
  std::string service;
  std::string kind;
  Needs needs;
  milliseconds lease{};
  milliseconds timeout{};  // without an answer by then, the outcome is
                           // kNoResponse
  std::string payload;     // JSON text
};

// Renews the leases of the attempts that run on one endpoint. Has no outcome.
struct RenewLeases {
  Address endpoint;
  milliseconds lease{};
  std::vector<AttemptId> ids;
};

// Asks for the state of an attempt on a new connection. If `stop` is true, also
// stops the attempt, and the state in the answer is then final. Results in
// exactly one AttemptOutcome with `from_query` set.
struct QueryAttempt {
  AttemptId id;
  Address endpoint;
  std::string incarnation;  // that the start was sent to
  bool stop = false;
  milliseconds timeout{};
};

// Closes the connection of an attempt because it is known to be unresponsive,
// and the idle connections to the same endpoint that were opened before it. The
// StartAttempt of the attempt results in no further outcome.
struct AbandonAttempt {
  AttemptId id;
  Address endpoint;
};

using EndpointCommand =
    std::variant<StartAttempt, RenewLeases, QueryAttempt, AbandonAttempt>;

// The end of an exchange with an endpoint about one attempt, as far as it is
// known.
enum class ExchangeEnd : uint8_t {
  kDone,              // the result is in `text`
  kFailed,            // the attempt started and failed; the reason is in `text`
  kBusy,              // refused: no free slot; did not start
  kDraining,          // refused: the endpoint is leaving; did not start
  kCannotRun,         // refused: needs more than the worker has; did not start
  kOtherIncarnation,  // refused: sent to another incarnation of the endpoint;
                      // did not start
  kNotStarted,        // stopped before it started, and will never start
  kRunning,           // answer to a query: started and has not ended
  kNotReceived,  // answer to a query: the start has not arrived, but may still
                 // be in transit
  kUnknownToNewProcess,  // answer to a query: another incarnation answered than
                         // the one that the start was sent to; may have run
  kNotSent,              // no byte of the request was sent; did not start
  kNoResponse,  // sent, but no answer arrived in time or the connection broke;
                // may have run
  kProtocol,    // the answer violates the interface or belongs to another task;
                // may have run
};

// Reports whether it is certain that the attempt did not start.
auto CertainlyNotStarted(ExchangeEnd end) -> bool;

// The outcome of a StartAttempt or QueryAttempt.
struct AttemptOutcome {
  AttemptId id;
  ExchangeEnd end = ExchangeEnd::kNoResponse;
  bool from_query = false;  // outcome of a QueryAttempt
  std::string incarnation;  // that answered; empty if the answer names none
  // The number of free slots when the endpoint answered, if it reports it.
  std::optional<uint32_t> free_slots;
  std::string text;  // the result as JSON, or the reason
};

}  // namespace boragecroft

#endif  // PEERS_ENDPOINT_ENDPOINT_MESSAGES_H_
