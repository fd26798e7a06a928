#include "tests/servers/dispatcher/virtual_endpoint.h"

#include <algorithm>

namespace boragecroft {

auto FinishRuns(VirtualEndpoint& endpoint, Instant now) -> void {
  for (auto& [id, run] : endpoint.runs) {
    if (run.end != ExchangeEnd::kRunning) {
      continue;
    }
    if (run.lease_until < std::min(now, run.ends)) {
      run.end = ExchangeEnd::kFailed;
      run.text = "lease lapsed";
    } else if (run.ends <= now) {
      run.end = ExchangeEnd::kDone;
    }
  }
}

auto Restart(VirtualEndpoint& endpoint) -> void {
  ++endpoint.incarnation;
  endpoint.draining = false;
  endpoint.runs.clear();
}

auto IncarnationName(const VirtualEndpoint& endpoint) -> std::string {
  return endpoint.named ? std::to_string(endpoint.incarnation) : std::string();
}

auto HandleStart(VirtualEndpoint& endpoint,
                 const StartAttempt& start,
                 milliseconds run_time,
                 Instant now) -> ExchangeEnd {
  FinishRuns(endpoint, now);
  if (endpoint.named && start.incarnation != IncarnationName(endpoint)) {
    return ExchangeEnd::kOtherIncarnation;
  }
  if (const auto it = endpoint.runs.find(start.id); it != endpoint.runs.end()) {
    return it->second.end;
  }
  if (endpoint.draining) {
    return ExchangeEnd::kDraining;
  }
  const auto busy = std::count_if(
      endpoint.runs.begin(), endpoint.runs.end(),
      [](const auto& it) { return it.second.end == ExchangeEnd::kRunning; });
  if (busy >= endpoint.slots) {
    return ExchangeEnd::kBusy;
  }
  ++endpoint.starts[start.id.task];
  ++endpoint.starts_by_payload[start.payload];
  endpoint.runs[start.id] = EndpointRun{.ends = now + run_time,
                                        .lease_until = now + start.lease,
                                        .text = start.payload};
  return ExchangeEnd::kRunning;
}

auto HandleQuery(VirtualEndpoint& endpoint,
                 const QueryAttempt& query,
                 Instant now) -> AttemptOutcome {
  FinishRuns(endpoint, now);
  AttemptOutcome outcome{.id = query.id,
                         .from_query = true,
                         .incarnation = IncarnationName(endpoint)};
  if (endpoint.named && query.incarnation != outcome.incarnation) {
    outcome.end = ExchangeEnd::kUnknownToNewProcess;
    return outcome;
  }
  const auto found = endpoint.runs.find(query.id);
  if (found == endpoint.runs.end()) {
    outcome.end =
        query.stop ? ExchangeEnd::kNotStarted : ExchangeEnd::kNotReceived;
    if (query.stop) {
      endpoint.runs[query.id].end = ExchangeEnd::kNotStarted;
    }
    return outcome;
  }
  auto& run = found->second;
  if (query.stop && run.end == ExchangeEnd::kRunning) {
    run.end = ExchangeEnd::kFailed;
    run.text = "stopped";
  }
  outcome.end = run.end;
  outcome.text = run.text;
  return outcome;
}

}  // namespace boragecroft
