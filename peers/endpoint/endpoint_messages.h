// What the dispatcher asks of endpoints and what comes back. See
// docs/ENDPOINT.md.
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

// Names one attempt of one task towards endpoints: "<job id>/<index>" or "<job
// id>/<index>#<attempt>".
struct AttemptId {
  TaskId task;
  uint32_t attempt = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm of clang-tidy 14.
  auto operator<=>(const AttemptId&) const = default;
};

auto ToString(const AttemptId& id) -> std::string;

// Starts one attempt. Answered by exactly one AttemptOutcome.
struct StartAttempt {
  AttemptId id;
  Address endpoint;
  // Of the endpoint's process that is to run it; any other refuses. Empty while
  // it is not known.
  std::string incarnation;
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

// Asks on a new connection how an attempt stands; with `stop`, also stops it,
// and the answer then holds for good. Answered by exactly one AttemptOutcome
// with `from_query`.
struct QueryAttempt {
  AttemptId id;
  Address endpoint;
  std::string incarnation;  // that its start named
  bool stop = false;
  milliseconds timeout{};
};

// The attempt's connection is known to be silent: ends it, and those opened
// before it to the same endpoint. Its StartAttempt gets no more outcome.
struct AbandonAttempt {
  AttemptId id;
  Address endpoint;
};

using EndpointCommand =
    std::variant<StartAttempt, RenewLeases, QueryAttempt, AbandonAttempt>;

// How one attempt ended, as far as it is known.
enum class ExchangeEnd : uint8_t {
  kDone,              // the result is in `text`
  kFailed,            // it started and failed; the reason is in `text`
  kBusy,              // refused: no free slot; did not start
  kDraining,          // refused: the endpoint is leaving; did not start
  kCannotRun,         // refused: needs more than the worker has; did not start
  kOtherIncarnation,  // refused: meant for another process of the endpoint; did
                      // not start
  kNotStarted,        // stopped before its start, for good
  kRunning,           // answers a query: it started and has not ended
  kNotReceived,  // answers a query: not there yet; its start may still be on
                 // its way
  kUnknownToNewProcess,  // answers a query: another process answers now than
                         // the one that the start was sent to: may have run
  kNotSent,     // no byte of the request was sent; did not start
  kNoResponse,  // sent, but no answer in time or the connection broke: may have
                // run
  kProtocol,  // the answer breaks the interface or belongs to another task: may
              // have run
};

// True when the attempt certainly did not start.
auto CertainlyNotStarted(ExchangeEnd end) -> bool;

struct AttemptOutcome {
  AttemptId id;
  ExchangeEnd end = ExchangeEnd::kNoResponse;
  bool from_query = false;  // answers a QueryAttempt
  std::string incarnation;  // of the process that answered; empty when unnamed
  // Slots that were free when the endpoint answered, if it tells.
  std::optional<uint32_t> free_slots;
  std::string text;
};

}  // namespace boragecroft

#endif  // PEERS_ENDPOINT_ENDPOINT_MESSAGES_H_
