// Tests the guarantees to callers under faults that occur at any time, together
// or repeatedly.
#include <gtest/gtest.h>
// Must be included after GoogleTest.
#include <rapidcheck/gtest.h>

#include "tests/servers/dispatcher/account_checks.h"
#include "tests/servers/dispatcher/promise_checks.h"
#include "tests/servers/dispatcher/virtual_callers.h"
#include "tests/servers/dispatcher/virtual_platform.h"

namespace boragecroft {
namespace {

enum class EventKind : uint8_t {
  kSubmit,
  kSubmitAgain,
  kSubmitTenTimes,
  kFetch,
  kCancel,
  kSubmitKeyed,
  kKeyAgain,
  kKill,
  kPause,
  kResume,
  kOutage,
  kOutageEnds,
  kPartition,
  kPartitionsEnd,
  kWorkerDrains,
  kListLeaves,
  kConfiguration,
  kDrain,
  kEndpointRestarts,
  kCount
};

// Events that affect nodes come after events that affect jobs.
constexpr auto kFirstNodeEvent = static_cast<int>(EventKind::kKill);

struct ScenarioEvent {
  EventKind kind = EventKind::kSubmit;
  uint32_t pick = 0;
  uint32_t wait_ms = 0;
};

auto AnyEvent() -> rc::Gen<ScenarioEvent> {
  // Half of all events are submissions.
  const auto kinds = rc::gen::weightedOneOf<int>(
      {{6, rc::gen::just(0)},
       {5, rc::gen::inRange(1, kFirstNodeEvent)},
       {6,
        rc::gen::inRange(kFirstNodeEvent, static_cast<int>(EventKind::kCount))},
       {2, rc::gen::just(static_cast<int>(EventKind::kEndpointRestarts))}});
  return rc::gen::apply(
      [](int kind, uint32_t pick, uint32_t wait) {
        return ScenarioEvent{static_cast<EventKind>(kind), pick, wait};
      },
      kinds, rc::gen::inRange<uint32_t>(0, 1000),
      rc::gen::element<uint32_t>(0, 20, 60, 300, 1500, 6000));
}

// NOLINTNEXTLINE(readability-identifier-naming): named by RapidCheck.
auto showValue(const ScenarioEvent& it, std::ostream& os) -> void {
  os << "{" << static_cast<int>(it.kind) << "," << it.pick << "," << it.wait_ms
     << "}";
}

struct KeyedJob {
  std::string key;
  std::shared_ptr<const Submission> submission;
};

struct Scenario {
  VirtualFleet& fleet;
  std::vector<JobId> ids;
  std::vector<KeyedJob> keyed;

  auto AnyId(uint32_t pick) const -> const JobId& {
    return ids[pick % ids.size()];
  }
};

auto SubmitNew(Scenario& scenario, uint32_t pick) -> void {
  const auto node = pick % scenario.fleet.nodes.size();
  const auto id = FetchId(scenario.fleet, node);
  if (!id) {
    return;
  }
  scenario.ids.push_back(*id);
  const auto at =
      pick % 5 == 0 ? (node + 1) % scenario.fleet.nodes.size() : node;
  Submit(scenario.fleet, at,
         MakeJob(*id, 1 + pick % 7,
                 pick % 3 == 0 ? "reminders" : "confirmations", pick % 4 == 0));
}

auto SubmitByKey(Scenario& scenario, const ScenarioEvent& it) -> void {
  auto& fleet = scenario.fleet;
  if (it.kind == EventKind::kSubmitKeyed) {
    const auto key = "key-" + std::to_string(scenario.keyed.size());
    scenario.keyed.push_back({key, MakeKeyedJob(key, 1 + it.pick % 5)});
  }
  if (scenario.keyed.empty()) {
    return;
  }
  const auto again = it.kind == EventKind::kKeyAgain;
  const auto& job = again ? scenario.keyed[it.pick % scenario.keyed.size()]
                          : scenario.keyed.back();
  const size_t copies = 1 + it.pick % 3;
  for (size_t i = 0; i < copies; ++i) {
    SubmitKeyed(fleet, (it.pick + i) % fleet.nodes.size(), job.key,
                job.submission);
  }
}

auto ApplyToJobs(Scenario& scenario, const ScenarioEvent& it) -> void {
  auto& fleet = scenario.fleet;
  if (it.kind == EventKind::kSubmit) {
    SubmitNew(scenario, it.pick);
    return;
  }
  if (it.kind >= EventKind::kSubmitKeyed) {
    SubmitByKey(scenario, it);
    return;
  }
  if (scenario.ids.empty()) {
    return;
  }
  const auto id = scenario.AnyId(it.pick);
  const auto node = (it.pick / 7) % fleet.nodes.size();
  const auto job = fleet.submissions.at(id);
  if (it.kind == EventKind::kSubmitAgain) {
    Submit(fleet, node, job);
  } else if (it.kind == EventKind::kSubmitTenTimes) {
    for (size_t i = 0; i < 10; ++i) {
      Submit(fleet, i % fleet.nodes.size(), job);
    }
  } else if (it.kind == EventKind::kFetch) {
    Fetch(fleet, node, id);
  } else {
    Ask(fleet, node, CancelRequest{.id = id, .partner = "banco"});
  }
}

auto OtherNode(const VirtualFleet& fleet, uint32_t pick) -> size_t {
  const auto nodes = fleet.nodes.size();
  return (pick + 1 + pick / nodes % (nodes - 1)) % nodes;
}

auto ApplyToNodes(VirtualFleet& fleet, const ScenarioEvent& it) -> void {
  const auto node = it.pick % fleet.nodes.size();
  const auto endpoint =
      std::next(fleet.endpoints.begin(),
                it.pick % (fleet.endpoints.size() - fleet.permanent_endpoints));
  switch (it.kind) {
    case EventKind::kKill:
      Kill(fleet, node);
      Boot(fleet, node);
      return;
    case EventKind::kPause:
      fleet.nodes[node].paused = true;
      return;
    case EventKind::kResume:
      fleet.nodes[node].paused = false;
      return;
    case EventKind::kOutage:
      if (it.pick % 3 == 0) {
        fleet.zones_without_platform.insert(fleet.nodes[node].settings.zone);
      } else {
        fleet.platform_down = true;
      }
      return;
    case EventKind::kOutageEnds:
      fleet.platform_down = false;
      fleet.zones_without_platform.clear();
      return;
    case EventKind::kPartition:
      fleet.partitions.insert(std::minmax(node, OtherNode(fleet, it.pick)));
      return;
    case EventKind::kPartitionsEnd:
      fleet.partitions.clear();
      return;
    case EventKind::kWorkerDrains:
      endpoint->second.draining = true;
      return;
    case EventKind::kListLeaves:
      fleet.leaving.emplace(endpoint->first, fleet.now.boot);
      return;
    case EventKind::kConfiguration:
      WriteConfiguration(fleet);
      return;
    case EventKind::kDrain:
      Drain(fleet, node);
      return;
    case EventKind::kEndpointRestarts:
      Restart(endpoint->second);
      return;
    default:
      return;
  }
}

auto Describe(const std::set<JobState>& reported) -> std::string {
  std::string text;
  for (const auto it : reported) {
    text += ' ';
    text += ToString(it);
  }
  return text;
}

// Asks one node for the outcome of one submission, and returns the number of
// the request.
using StatusQuery = std::function<uint64_t(size_t node)>;

auto StatusQueriesOf(Scenario& scenario) -> std::map<std::string, StatusQuery> {
  std::map<std::string, StatusQuery> queries;
  for (const auto& it : scenario.ids) {
    queries[ToString(it)] = [&scenario, it](size_t node) {
      return Fetch(scenario.fleet, node, it);
    };
  }
  for (const auto& it : scenario.keyed) {
    queries[it.key] = [&scenario, it](size_t node) {
      return SubmitKeyed(scenario.fleet, node, it.key, it.submission);
    };
  }
  return queries;
}

auto AskAll(const VirtualFleet& fleet, const StatusQuery& query)
    -> std::vector<uint64_t> {
  std::vector<uint64_t> numbers;
  for (size_t i = 0; i < fleet.nodes.size(); ++i) {
    if (fleet.nodes[i].dispatcher != nullptr) {
      numbers.push_back(query(i));
    }
  }
  return numbers;
}

// Checks that all nodes report the same final outcome for every submission.
// Closing the ledgers of terminated instances is limited to one a second, so
// some ids need more than one round of queries. An id under which nothing was
// submitted is settled when its term is over.
auto CheckSettled(Scenario& scenario) -> void {
  constexpr int kRounds = 8;
  constexpr int kRoundsWithinTerm = 6;
  const auto queries = StatusQueriesOf(scenario);
  std::map<std::string, std::set<JobState>> reported;
  for (auto round = 0; round < kRounds; ++round) {
    std::map<std::string, std::vector<uint64_t>> requests;
    for (const auto& [subject, query] : queries) {
      if (round == 0 || reported[subject].contains(JobState::kActive)) {
        requests[subject] = AskAll(scenario.fleet, query);
      }
    }
    const auto wait = round < kRoundsWithinTerm ? seconds(6) : kIdTerm;
    Elapse(scenario.fleet, requests.empty() ? milliseconds(0) : wait);
    for (const auto& [subject, numbers] : requests) {
      reported[subject].clear();
      for (const auto number : numbers) {
        reported[subject].insert(ReportedState(scenario.fleet, number));
      }
    }
  }
  for (const auto& [subject, states] : reported) {
    if (states.contains(JobState::kActive) || states.size() != 1) {
      scenario.fleet.violations.push_back(
          "nodes report no final outcome or different ones: " + subject +
          Describe(states));
    }
  }
}

auto CheckConverged(VirtualFleet& fleet) -> void {
  const auto version = Read(fleet.table, "configuration").version;
  for (const auto& it : fleet.nodes) {
    if (it.dispatcher != nullptr &&
        VersionInForce(it.dispatcher->configuration) !=
            static_cast<int64_t>(version)) {
      fleet.violations.push_back(
          "nodes do not all have the newest configuration in force");
    }
  }
}

auto RunScenario(uint64_t seed,
                 size_t zones,
                 const FaultRates& rates,
                 const std::vector<ScenarioEvent>& events) -> std::string {
  const auto fleet = MakeFleet(2 + zones, seed, zones);
  Scenario scenario{.fleet = *fleet};
  fleet->rates = rates;
  fleet->restarts = true;
  for (const auto& it : events) {
    if (it.kind < EventKind::kKill) {
      ApplyToJobs(scenario, it);
    } else {
      ApplyToNodes(*fleet, it);
    }
    Elapse(*fleet, milliseconds(it.wait_ms));
  }
  EndAllFaults(*fleet);
  CheckSettled(scenario);
  CheckAccount(*fleet, 0);
  CheckConverged(*fleet);
  return CheckAll(*fleet);
}

RC_GTEST_PROP(Promises, HoldWhenInstancesFail, (uint64_t seed)) {
  const auto events =
      *rc::gen::container<std::vector<ScenarioEvent>>(AnyEvent());
  RC_ASSERT(RunScenario(seed, 1, {}, events) == std::string());
}

constexpr FaultRates kFaultRates{.peer_lost = 5,
                                 .peer_repeated = 5,
                                 .peer_late = 10,
                                 .table_answer_lost = 10,
                                 .table_late = 5,
                                 .table_lost = 5,
                                 .stale_read = 20,
                                 .start_lost = 3,
                                 .start_late = 5,
                                 .answer_lost = 5,
                                 .answer_garbled = 3,
                                 .query_lost = 10};

RC_GTEST_PROP(Promises, HoldWhenMessagesFailToo, (uint64_t seed)) {
  const auto events =
      *rc::gen::container<std::vector<ScenarioEvent>>(AnyEvent());
  RC_ASSERT(RunScenario(seed, 1, kFaultRates, events) == std::string());
}

RC_GTEST_PROP(Promises, HoldInTwoZones, (uint64_t seed)) {
  const auto events =
      *rc::gen::container<std::vector<ScenarioEvent>>(AnyEvent());
  RC_ASSERT(RunScenario(seed, 2, kFaultRates, events) == std::string());
}

}  // namespace
}  // namespace boragecroft
