// An endpoint in memory that counts how often each task started.
#ifndef TESTS_SERVERS_DISPATCHER_VIRTUAL_ENDPOINT_H_
#define TESTS_SERVERS_DISPATCHER_VIRTUAL_ENDPOINT_H_

#include <map>
#include <string>

#include "peers/endpoint/endpoint_messages.h"

namespace boragecroft {

struct EndpointRun {
  Instant ends;
  Instant lease_until;
  ExchangeEnd end = ExchangeEnd::kRunning;  // kNotStarted: a tombstone
  std::string text;
};

struct VirtualEndpoint {
  std::string zone;
  uint32_t slots = 2;
  bool draining = false;
  uint64_t incarnation = 1;
  bool named = true;  // false: knows nothing of incarnations
  std::map<AttemptId, EndpointRun> runs;
  std::map<TaskId, uint32_t> starts;
  std::map<std::string, uint32_t> starts_by_payload;
};

// Settles what ended by `now`.
auto FinishRuns(VirtualEndpoint& endpoint, Instant now) -> void;
// A new process at the same address: it knows nothing of what its predecessors
// ran. `starts` goes on counting.
auto Restart(VirtualEndpoint& endpoint) -> void;
auto IncarnationName(const VirtualEndpoint& endpoint) -> std::string;
// A start arrives. kRunning: it started and is answered when it ends.
auto HandleStart(VirtualEndpoint& endpoint,
                 const StartAttempt& start,
                 milliseconds run_time,
                 Instant now) -> ExchangeEnd;
// A status query or a stop arrives.
auto HandleQuery(VirtualEndpoint& endpoint,
                 const QueryAttempt& query,
                 Instant now) -> AttemptOutcome;

}  // namespace boragecroft

#endif  // TESTS_SERVERS_DISPATCHER_VIRTUAL_ENDPOINT_H_
