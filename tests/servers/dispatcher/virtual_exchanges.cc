#include "tests/servers/dispatcher/virtual_exchanges.h"

#include "tests/servers/dispatcher/promise_checks.h"

namespace boragecroft {
namespace {

auto Answer(VirtualFleet& fleet,
            size_t node,
            Incarnation self,
            const AttemptOutcome& outcome,
            milliseconds delay) -> void {
  Schedule(fleet, delay, [&fleet, node, self, outcome] {
    Deliver(fleet, node, self, [outcome](EventContext& context) {
      OnAttemptOutcome(context, outcome);
    });
  });
}

auto OnStartArrival(VirtualFleet& fleet,
                    size_t node,
                    Incarnation self,
                    const StartAttempt& start) -> void {
  auto& endpoint = fleet.endpoints[start.endpoint];
  const auto run_time =
      fleet.run_time + milliseconds(DrawBelow(fleet.random, 400));
  AttemptOutcome outcome{.id = start.id,
                         .incarnation = IncarnationName(endpoint)};
  outcome.end = HandleStart(endpoint, start, run_time, fleet.now.boot);
  if (outcome.end == ExchangeEnd::kDraining) {
    fleet.reported_leaving.emplace(std::pair(self, start.endpoint),
                                   fleet.now.boot);
  }
  if (outcome.end != ExchangeEnd::kRunning) {
    Answer(fleet, node, self, outcome, milliseconds(1));
    return;
  }
  Schedule(
      fleet, run_time + milliseconds(1),
      [&fleet, node, self, start, outcome, incarnation = endpoint.incarnation] {
        auto ended = outcome;
        auto& current_endpoint = fleet.endpoints[start.endpoint];
        if (current_endpoint.incarnation != incarnation) {
          // The connection broke when its process ended.
          ended.end = ExchangeEnd::kNoResponse;
          Answer(fleet, node, self, ended, milliseconds(1));
          return;
        }
        FinishRuns(current_endpoint, fleet.now.boot);
        ended.end = current_endpoint.runs[start.id].end;
        ended.text = current_endpoint.runs[start.id].text;
        auto delay = milliseconds(1);
        if (Chance(fleet, fleet.rates.answer_lost)) {
          ended.end = ExchangeEnd::kNoResponse;
          delay = start.timeout;
        } else if (Chance(fleet, fleet.rates.answer_garbled)) {
          ended.end = ExchangeEnd::kProtocol;
        }
        Answer(fleet, node, self, ended, delay);
      });
}

auto Handle(VirtualFleet& fleet, size_t node, const StartAttempt& start)
    -> void {
  const auto self = fleet.nodes[node].dispatcher->self;
  CheckLeaving(fleet, fleet.nodes[node], start);
  const AttemptOutcome no_response{.id = start.id,
                                   .end = ExchangeEnd::kNoResponse};
  if (Chance(fleet, fleet.rates.start_lost)) {
    Answer(fleet, node, self, no_response, start.timeout);
    return;
  }
  const auto late = Chance(fleet, fleet.rates.start_late);
  if (late) {
    Answer(fleet, node, self, no_response, milliseconds(50));
  }
  Schedule(fleet, milliseconds(late ? DrawBelow(fleet.random, 3000) : 1),
           [&fleet, node, self, start] {
             OnStartArrival(fleet, node, self, start);
           });
}

auto Handle(VirtualFleet& fleet, size_t node, const QueryAttempt& query)
    -> void {
  const auto self = fleet.nodes[node].dispatcher->self;
  if (Chance(fleet, fleet.rates.query_lost)) {
    Answer(fleet, node, self, {.id = query.id, .from_query = true},
           query.timeout);
    return;
  }
  Schedule(fleet, milliseconds(1 + DrawBelow(fleet.random, 30)),
           [&fleet, node, self, query] {
             Answer(fleet, node, self,
                    HandleQuery(fleet.endpoints[query.endpoint], query,
                                fleet.now.boot),
                    milliseconds(1 + DrawBelow(fleet.random, 30)));
           });
}

auto Handle(VirtualFleet& fleet, size_t /*node*/, const RenewLeases& renew)
    -> void {
  FinishRuns(fleet.endpoints[renew.endpoint], fleet.now.boot);
  for (const auto& it : renew.ids) {
    const auto run = fleet.endpoints[renew.endpoint].runs.find(it);
    if (run != fleet.endpoints[renew.endpoint].runs.end()) {
      run->second.lease_until = fleet.now.boot + renew.lease;
    }
  }
}

// Late answers to an abandoned attempt arrive nevertheless and must be ignored.
auto Handle(VirtualFleet&, size_t /*node*/, const AbandonAttempt&) -> void {}

}  // namespace

auto CarryToEndpoint(VirtualFleet& fleet,
                     size_t node,
                     const EndpointCommand& command) -> void {
  std::visit([&](const auto& it) { Handle(fleet, node, it); }, command);
}

}  // namespace boragecroft
