// The promises, under faults that come at any moment, together or twice.
#include <gtest/gtest.h>
// After GoogleTest.
#include <rapidcheck/gtest.h>

#include "tests/servers/dispatcher/account_checks.h"
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
  kSubmitKeyed,
  kKeyAgain,
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

// What happens to nodes comes after what happens to jobs.
constexpr auto kFirstOfNodes = static_cast<int>(Happening::kKill);

struct Moment {
  Happening happening = Happening::kSubmit;
  uint32_t pick = 0;
  uint32_t wait_ms = 0;
};

auto AnyMoment() -> rc::Gen<Moment> {
  // Half of all moments are submissions.
  const auto kinds = rc::gen::weightedOneOf<int>(
      {{6, rc::gen::just(0)},
       {5, rc::gen::inRange(1, kFirstOfNodes)},
       {6,
        rc::gen::inRange(kFirstOfNodes, static_cast<int>(Happening::kCount))},
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

struct KeyedJob {
  std::string key;
  std::shared_ptr<const Submission> submission;
};

struct Story {
  VirtualFleet& fleet;
  std::vector<JobId> ids;
  std::vector<KeyedJob> keyed;

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

auto SubmitByKey(Story& story, const Moment& it) -> void {
  auto& fleet = story.fleet;
  if (it.happening == Happening::kSubmitKeyed) {
    const auto key = "key-" + std::to_string(story.keyed.size());
    story.keyed.push_back({key, MakeKeyedJob(key, 1 + it.pick % 5)});
  }
  if (story.keyed.empty()) {
    return;
  }
  const auto again = it.happening == Happening::kKeyAgain;
  const auto& job =
      again ? story.keyed[it.pick % story.keyed.size()] : story.keyed.back();
  const size_t copies = 1 + it.pick % 3;
  for (size_t i = 0; i < copies; ++i) {
    SubmitKeyed(fleet, (it.pick + i) % fleet.nodes.size(), job.key,
                job.submission);
  }
}

auto HappenToJobs(Story& story, const Moment& it) -> void {
  auto& fleet = story.fleet;
  if (it.happening == Happening::kSubmit) {
    SubmitNew(story, it.pick);
    return;
  }
  if (it.happening >= Happening::kSubmitKeyed) {
    SubmitByKey(story, it);
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

auto OtherNode(const VirtualFleet& fleet, uint32_t pick) -> size_t {
  const auto nodes = fleet.nodes.size();
  return (pick + 1 + pick / nodes % (nodes - 1)) % nodes;
}

auto HappenToNodes(VirtualFleet& fleet, const Moment& it) -> void {
  const auto node = it.pick % fleet.nodes.size();
  const auto endpoint =
      std::next(fleet.endpoints.begin(),
                it.pick % (fleet.endpoints.size() - fleet.lasting));
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
      if (it.pick % 3 == 0) {
        fleet.zones_without_platform.insert(fleet.nodes[node].settings.zone);
      } else {
        fleet.platform_down = true;
      }
      return;
    case Happening::kOutageEnds:
      fleet.platform_down = false;
      fleet.zones_without_platform.clear();
      return;
    case Happening::kCut:
      fleet.cuts.insert(std::minmax(node, OtherNode(fleet, it.pick)));
      return;
    case Happening::kCutsEnd:
      fleet.cuts.clear();
      return;
    case Happening::kWorkerDrains:
      endpoint->second.draining = true;
      return;
    case Happening::kListLeaves:
      fleet.leaving.emplace(endpoint->first, fleet.now.boot);
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

// Asks one node for what became of one submission.
using Question = std::function<uint64_t(size_t node)>;

auto QuestionsOf(Story& story) -> std::map<std::string, Question> {
  std::map<std::string, Question> questions;
  for (const auto& it : story.ids) {
    questions[ToString(it)] = [&story, it](size_t node) {
      return Fetch(story.fleet, node, it);
    };
  }
  for (const auto& it : story.keyed) {
    questions[it.key] = [&story, it](size_t node) {
      return SubmitKeyed(story.fleet, node, it.key, it.submission);
    };
  }
  return questions;
}

auto AskAll(const VirtualFleet& fleet, const Question& question)
    -> std::vector<uint64_t> {
  std::vector<uint64_t> numbers;
  for (size_t i = 0; i < fleet.nodes.size(); ++i) {
    if (fleet.nodes[i].dispatcher != nullptr) {
      numbers.push_back(question(i));
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
  const auto questions = QuestionsOf(story);
  std::map<std::string, std::set<JobState>> told;
  for (auto round = 0; round < kRounds; ++round) {
    std::map<std::string, std::vector<uint64_t>> asked;
    for (const auto& [subject, question] : questions) {
      if (round == 0 || told[subject].contains(JobState::kActive)) {
        asked[subject] = AskAll(story.fleet, question);
      }
    }
    const auto wait = round < kRoundsWithinTerm ? seconds(6) : kIdTerm;
    Elapse(story.fleet, asked.empty() ? milliseconds(0) : wait);
    for (const auto& [subject, numbers] : asked) {
      told[subject].clear();
      for (const auto number : numbers) {
        told[subject].insert(StateTold(story.fleet, number));
      }
    }
  }
  for (const auto& [subject, states] : told) {
    if (states.contains(JobState::kActive) || states.size() != 1) {
      story.fleet.violations.push_back("not settled alike: " + subject +
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
          size_t zones,
          const FaultRates& rates,
          const std::vector<Moment>& moments) -> std::string {
  const auto fleet = MakeFleet(2 + zones, seed, zones);
  Story story{.fleet = *fleet};
  fleet->rates = rates;
  fleet->restarts = true;
  for (const auto& it : moments) {
    if (it.happening < Happening::kKill) {
      HappenToJobs(story, it);
    } else {
      HappenToNodes(*fleet, it);
    }
    Elapse(*fleet, milliseconds(it.wait_ms));
  }
  Heal(*fleet);
  CheckSettled(story);
  CheckAccount(*fleet, 0);
  CheckConverged(*fleet);
  return CheckAll(*fleet);
}

RC_GTEST_PROP(Promises, HoldWhenInstancesFail, (uint64_t seed)) {
  const auto moments = *rc::gen::container<std::vector<Moment>>(AnyMoment());
  RC_ASSERT(Tell(seed, 1, {}, moments) == std::string());
}

constexpr FaultRates kRates{.peer_lost = 5,
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
  const auto moments = *rc::gen::container<std::vector<Moment>>(AnyMoment());
  RC_ASSERT(Tell(seed, 1, kRates, moments) == std::string());
}

RC_GTEST_PROP(Promises, HoldInTwoZones, (uint64_t seed)) {
  const auto moments = *rc::gen::container<std::vector<Moment>>(AnyMoment());
  RC_ASSERT(Tell(seed, 2, kRates, moments) == std::string());
}

}  // namespace
}  // namespace boragecroft
