// Simulates an endpoint in memory that counts the starts of each task.
#ifndef TESTS_SERVERS_DISPATCHER_VIRTUAL_ENDPOINT_H_
#define TESTS_SERVERS_DISPATCHER_VIRTUAL_ENDPOINT_H_

#include <map>
#include <string>

#include "peers/endpoint/endpoint_messages.h"

namespace boragecroft {

struct EndpointRun {
  Instant ends;
  Instant lease_until;
  ExchangeEnd end = ExchangeEnd::kRunning;  // kNotStarted: a stop came first
  std::string text;
};

struct VirtualEndpoint {
  std::string zone;
  uint32_t slots = 2;
  bool draining = false;
  uint64_t incarnation = 1;
  bool named = true;  // false: reports no incarnation
  std::map<AttemptId, EndpointRun> runs;
  std::map<TaskId, uint32_t> starts;
  std::map<std::string, uint32_t> starts_by_payload;
};

// Ends the runs that are finished or whose lease has expired by `now`.
auto FinishRuns(VirtualEndpoint& endpoint, Instant now) -> void;
// Replaces the process at the address by a new one, which knows no runs of its
// predecessors. `starts` is not reset.
auto Restart(VirtualEndpoint& endpoint) -> void;
auto IncarnationName(const VirtualEndpoint& endpoint) -> std::string;
// Handles the arrival of a start. Returns kRunning when the task started; its
// answer then follows at the end of the run.
auto HandleStart(VirtualEndpoint& endpoint,
                 const StartAttempt& start,
                 milliseconds run_time,
                 Instant now) -> ExchangeEnd;
// Handles the arrival of a status query or a stop.
auto HandleQuery(VirtualEndpoint& endpoint,
                 const QueryAttempt& query,
                 Instant now) -> AttemptOutcome;

}  // namespace boragecroft

#endif  // TESTS_SERVERS_DISPATCHER_VIRTUAL_ENDPOINT_H_
