// The promises, under faults that come at any moment, together or twice.
#include <gtest/gtest.h>
// After GoogleTest.
#include <rapidcheck/gtest.h>

#include "tests/servers/dispatcher/promise_checks.h"
#include "tests/servers/dispatcher/virtual_callers.h"
#include "tests/servers/dispatcher/virtual_platform.h"

namespace boragecroft {
namespace {

enum class Happening : uint8_t {
  kSubmit,
  kSubmitAgain,
  kTenAtOnce,
  kFetch,
  kCancel,
  kKill,
  kPause,
  kResume,
  kOutage,
  kOutageEnds,
  kCut,
  kCutsEnd,
  kWorkerDrains,
  kListLeaves,
  kConfiguration,
  kDrain,
  kEndpointRestarts,
  kCount
};

struct Moment {
  Happening happening = Happening::kSubmit;
  uint32_t pick = 0;
  uint32_t wait_ms = 0;
};

auto AnyMoment() -> rc::Gen<Moment> {
  // Half of all moments are submissions.
  const auto kinds = rc::gen::weightedOneOf<int>(
      {{6, rc::gen::just(0)},
       {5, rc::gen::inRange(1, 5)},
       {6, rc::gen::inRange(5, static_cast<int>(Happening::kCount))},
       {2, rc::gen::just(static_cast<int>(Happening::kEndpointRestarts))}});
  return rc::gen::apply(
      [](int kind, uint32_t pick, uint32_t wait) {
        return Moment{static_cast<Happening>(kind), pick, wait};
      },
      kinds, rc::gen::inRange<uint32_t>(0, 1000),
      rc::gen::element<uint32_t>(0, 20, 60, 300, 1500, 6000));
}

// NOLINTNEXTLINE(readability-identifier-naming): named by RapidCheck.
auto showValue(const Moment& it, std::ostream& os) -> void {
  os << "{" << static_cast<int>(it.happening) << "," << it.pick << ","
     << it.wait_ms << "}";
}

struct Story {
  VirtualFleet& fleet;
  std::vector<JobId> ids;

  auto AnyId(uint32_t pick) const -> const JobId& {
    return ids[pick % ids.size()];
  }
};

auto SubmitNew(Story& story, uint32_t pick) -> void {
  const auto node = pick % story.fleet.nodes.size();
  const auto id = FetchId(story.fleet, node);
  if (!id) {
    return;
  }
  story.ids.push_back(*id);
  const auto at = pick % 5 == 0 ? (node + 1) % story.fleet.nodes.size() : node;
  Submit(story.fleet, at,
         MakeJob(*id, 1 + pick % 7,
                 pick % 3 == 0 ? "reminders" : "confirmations", pick % 4 == 0));
}

auto HappenToJobs(Story& story, const Moment& it) -> void {
  auto& fleet = story.fleet;
  if (it.happening == Happening::kSubmit) {
    SubmitNew(story, it.pick);
    return;
  }
  if (story.ids.empty()) {
    return;
  }
  const auto id = story.AnyId(it.pick);
  const auto node = (it.pick / 7) % fleet.nodes.size();
  const auto job = fleet.submissions.at(id);
  if (it.happening == Happening::kSubmitAgain) {
    Submit(fleet, node, job);
  } else if (it.happening == Happening::kTenAtOnce) {
    for (size_t i = 0; i < 10; ++i) {
      Submit(fleet, i % fleet.nodes.size(), job);
    }
  } else if (it.happening == Happening::kFetch) {
    Fetch(fleet, node, id);
  } else {
    Ask(fleet, node, CancelRequest{.id = id, .partner = "banco"});
  }
}

auto HappenToNodes(VirtualFleet& fleet, const Moment& it) -> void {
  const auto node = it.pick % fleet.nodes.size();
  const auto endpoint = std::next(fleet.endpoints.begin(),
                                  it.pick % (fleet.endpoints.size() - 1));
  switch (it.happening) {
    case Happening::kKill:
      Kill(fleet, node);
      Boot(fleet, node);
      return;
    case Happening::kPause:
      fleet.nodes[node].paused = true;
      return;
    case Happening::kResume:
      fleet.nodes[node].paused = false;
      return;
    case Happening::kOutage:
      fleet.platform_down = true;
      return;
    case Happening::kOutageEnds:
      fleet.platform_down = false;
      return;
    case Happening::kCut:
      fleet.cuts.insert(std::minmax(node, (node + 1) % fleet.nodes.size()));
      return;
    case Happening::kCutsEnd:
      fleet.cuts.clear();
      return;
    case Happening::kWorkerDrains:
      endpoint->second.draining = true;
      return;
    case Happening::kListLeaves:
      fleet.leaving.insert(endpoint->first);
      return;
    case Happening::kConfiguration:
      WriteConfiguration(fleet);
      return;
    case Happening::kDrain:
      Drain(fleet, node);
      return;
    case Happening::kEndpointRestarts:
      Restart(endpoint->second);
      return;
    default:
      return;
  }
}

auto Shown(const std::set<JobState>& told) -> std::string {
  std::string text;
  for (const auto it : told) {
    text += ' ';
    text += ToString(it);
  }
  return text;
}

// Asks all live instances for the id; kActive when one of them cannot tell yet.
auto AskAll(Story& story, const JobId& id) -> std::vector<uint64_t> {
  std::vector<uint64_t> numbers;
  for (size_t i = 0; i < story.fleet.nodes.size(); ++i) {
    if (story.fleet.nodes[i].dispatcher != nullptr) {
      numbers.push_back(Fetch(story.fleet, i, id));
    }
  }
  return numbers;
}

// Closing gone ledgers is limited to one a second, so that some ids take more
// than one round of questions. An id that nothing was submitted under is
// settled once its term is over.
auto CheckSettled(Story& story) -> void {
  constexpr int kRounds = 8;
  constexpr int kRoundsWithinTerm = 6;
  std::map<JobId, std::set<JobState>> told;
  for (auto round = 0; round < kRounds; ++round) {
    std::map<JobId, std::vector<uint64_t>> asked;
    for (const auto& id : story.ids) {
      if (round == 0 || told[id].contains(JobState::kActive)) {
        asked[id] = AskAll(story, id);
      }
    }
    const auto wait = round < kRoundsWithinTerm ? seconds(6) : kIdTerm;
    Elapse(story.fleet, asked.empty() ? milliseconds(0) : wait);
    for (const auto& [id, numbers] : asked) {
      told[id].clear();
      for (const auto number : numbers) {
        told[id].insert(StateTold(story.fleet, number));
      }
    }
  }
  for (const auto& [id, states] : told) {
    if (states.contains(JobState::kActive) || states.size() != 1) {
      story.fleet.violations.push_back("not settled alike: " + ToString(id) +
                                       Shown(states));
    }
  }
}

auto CheckConverged(VirtualFleet& fleet) -> void {
  const auto version = Read(fleet.table, "configuration").version;
  for (const auto& it : fleet.nodes) {
    if (it.dispatcher != nullptr &&
        VersionInForce(it.dispatcher->configuration) !=
            static_cast<int64_t>(version)) {
      fleet.violations.push_back("configuration not in force everywhere");
    }
  }
}

auto Tell(uint64_t seed,
          const FaultRates& rates,
          const std::vector<Moment>& moments) -> std::string {
  const auto fleet = MakeFleet(3, seed);
  Story story{.fleet = *fleet};
  fleet->rates = rates;
  fleet->restarts = true;
  for (const auto& it : moments) {
    if (it.happening <= Happening::kCancel) {
      HappenToJobs(story, it);
    } else {
      HappenToNodes(*fleet, it);
    }
    Elapse(*fleet, milliseconds(it.wait_ms));
  }
  Heal(*fleet);
  CheckSettled(story);
  CheckConverged(*fleet);
  return CheckAll(*fleet);
}

RC_GTEST_PROP(Promises, HoldWhenInstancesFail, (uint64_t seed)) {
  const auto moments = *rc::gen::container<std::vector<Moment>>(AnyMoment());
  RC_ASSERT(Tell(seed, {}, moments) == std::string());
}

RC_GTEST_PROP(Promises, HoldWhenMessagesFailToo, (uint64_t seed)) {
  const auto moments = *rc::gen::container<std::vector<Moment>>(AnyMoment());
  const FaultRates rates{.peer_lost = 5,
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
  RC_ASSERT(Tell(seed, rates, moments) == std::string());
}

}  // namespace
}  // namespace boragecroft
