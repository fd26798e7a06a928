#include "tests/servers/dispatcher/promise_checks.h"

#include <algorithm>

#include "servers/ledger/job_record.h"
#include "servers/ledger/keys.h"

namespace boragecroft {
namespace {

constexpr milliseconds kLeavingBound{3000};
// Longer than an answer is held for its record.
constexpr milliseconds kQuiet{10000};

auto Fault(VirtualFleet& fleet, std::string text) -> void {
  fleet.violations.push_back(std::move(text));
}

auto SubjectOf(const Asked& asked) -> std::string {
  return asked.key.empty() ? ToString(asked.id) : asked.key;
}

auto StartsOf(const VirtualFleet& fleet, const std::string& payload)
    -> uint32_t {
  uint32_t starts = 0;
  for (const auto& it : fleet.endpoints) {
    const auto found = it.second.starts_by_payload.find(payload);
    starts += found == it.second.starts_by_payload.end() ? 0 : found->second;
  }
  return starts;
}

auto NoteNotRun(VirtualFleet& fleet,
                const std::string& payload,
                const std::string& said) -> void {
  fleet.called_not_run[payload] = said;
  if (StartsOf(fleet, payload) != 0) {
    Fault(fleet, said + " but it started: " + payload);
  }
}

// The speaker itself answered this caller, without a relay.
auto IsDirect(const VirtualFleet& fleet, const Asked& asked) -> bool {
  return fleet.nodes[asked.node].dispatcher->self == fleet.speaker;
}

auto CheckIds(VirtualFleet& fleet, const Asked& asked, const JobId& id)
    -> void {
  const auto wanted =
      asked.key.empty()
          ? asked.id
          : fleet.ids_of_keys.emplace(asked.key, id).first->second;
  if (id != wanted) {
    Fault(fleet, "crossed answer for " + SubjectOf(asked));
  }
}

// A class that records before it answers may only answer without the record
// when something kept the record from becoming durable.
auto CheckRecordedFirst(VirtualFleet& fleet,
                        const Asked& asked,
                        const CallerAnswer& answer) -> void {
  if (!answer.recorded && IsDirect(fleet, asked) &&
      asked.submission->urgency_class == "confirmations" &&
      fleet.now.boot - fleet.last_trouble > kQuiet) {
    Fault(fleet, "answered before its record: " + SubjectOf(asked));
  }
}

auto CheckAnswer(VirtualFleet& fleet,
                 const Asked& asked,
                 const CallerAnswer& answer) -> void {
  CheckIds(fleet, asked, answer.id);
  if (answer.state == JobState::kActive || asked.submission == nullptr) {
    return;
  }
  fleet.statements[SubjectOf(asked)].push_back({.said = fleet.now.boot,
                                                .by = fleet.speaker,
                                                .state = answer.state,
                                                .recorded = answer.recorded});
  CheckRecordedFirst(fleet, asked, answer);
  const auto& payloads = asked.submission->payloads;
  if (answer.state == JobState::kDone && answer.results != payloads) {
    Fault(fleet, "results of another job for " + SubjectOf(asked));
  }
  for (uint32_t i = 0; i < answer.tasks.size(); ++i) {
    if (answer.tasks[i] == TaskState::kNotRun) {
      NoteNotRun(fleet, payloads[i], "answered not_run");
    }
  }
}

// Refusals that leave the id unused: it may be submitted again.
auto IsObstacle(const RefusalReply& refusal) -> bool {
  return refusal.retry_after.count() > 0 &&
         (refusal.refusal == Refusal::kDraining ||
          refusal.refusal == Refusal::kNotReady ||
          refusal.refusal == Refusal::kOverloaded);
}

auto CheckRefusal(VirtualFleet& fleet,
                  const Asked& asked,
                  const RefusalReply& refusal) -> void {
  if (asked.submission == nullptr || refusal.refusal == Refusal::kIdReused) {
    return;
  }
  for (const auto& it : asked.submission->payloads) {
    if (!IsObstacle(refusal)) {
      NoteNotRun(fleet, it, "refused");
    } else if (StartsOf(fleet, it) != 0) {
      Fault(fleet, "refused but it started: " + it);
    }
  }
}

auto NoteRefusal(VirtualFleet& fleet,
                 const Asked& asked,
                 const RefusalReply& refusal) -> void {
  if (IsDirect(fleet, asked)) {
    CheckRefusal(fleet, asked, refusal);
  }
  if (!IsObstacle(refusal) && refusal.refusal != Refusal::kIdReused &&
      asked.submission != nullptr) {
    fleet.statements[SubjectOf(asked)].push_back({.said = fleet.now.boot,
                                                  .by = fleet.speaker,
                                                  .state = JobState::kRefused});
  }
}

auto RecordOf(const VirtualFleet& fleet, const JobId& id) -> JobRecord {
  return FoldJob(SegmentsBelow(fleet.table, LedgerPrefix(id.incarnation)),
                 SegmentsBelow(fleet.table, AddendumPrefix(id.incarnation)),
                 id);
}

auto AllJobs(const VirtualFleet& fleet) -> std::vector<JobId> {
  std::vector<JobId> jobs;
  for (const auto& it : fleet.submissions) {
    jobs.push_back(it.first);
  }
  for (const auto& it : fleet.ids_of_keys) {
    jobs.push_back(it.second);
  }
  return jobs;
}

// The final entry and the addendum say what ran.
auto CheckRecord(VirtualFleet& fleet, const JobId& id) -> void {
  const auto record = RecordOf(fleet, id);
  for (const auto& entry : {record.final_entry, record.addendum}) {
    uint32_t index = 0;
    for (const auto& run : entry ? entry->tasks : TaskRuns()) {
      for (uint32_t i = 0; i < run.count; ++i, ++index) {
        const auto starts = Starts(fleet, {.job = id, .index = index});
        if ((run.state == TaskState::kNotRun && starts != 0) ||
            (run.state == TaskState::kDone && starts == 0)) {
          Fault(fleet, "recorded as " + std::string(ToString(run.state)) +
                           ", starts " + std::to_string(starts) + ": " +
                           ToString(id));
        }
      }
    }
  }
}

auto Shown(const std::vector<Statement>& statements) -> std::string {
  std::string text;
  for (const auto& it : statements) {
    const auto said =
        std::chrono::duration_cast<milliseconds>(it.said.time_since_epoch());
    text += "; " + std::to_string(said.count()) + " ms " + ToString(it.by) +
            " " + std::string(ToString(it.state)) +
            (it.recorded ? " recorded" : "");
  }
  return text;
}

// Unrecorded statements of an instance that was given up may be replaced by the
// weaker "failed", as it kept what it knew in memory only; by nothing else.
auto CheckStatements(VirtualFleet& fleet, const std::string& subject) -> void {
  std::set<JobState> held;
  std::set<JobState> excused;
  std::set<JobState> strong;
  for (const auto& it : fleet.statements[subject]) {
    const auto may_differ = !it.recorded && fleet.given_up.contains(it.by);
    (may_differ ? excused : held).insert(it.state);
    if (it.state != JobState::kFailed) {
      strong.insert(it.state);
    }
  }
  const auto weaker = held.empty() || held == std::set{JobState::kFailed};
  const auto agree =
      std::includes(held.begin(), held.end(), excused.begin(), excused.end());
  if (held.size() > 1 || strong.size() > 1 || !(weaker || agree)) {
    Fault(fleet, "callers were told different ends of " + subject +
                     Shown(fleet.statements[subject]));
  }
}

// When each submission was refused, nothing may start, also not by a copy of a
// request that comes later.
auto CheckTasks(VirtualFleet& fleet, const Submitted& submitted) -> void {
  for (const auto& it : submitted.submission->payloads) {
    const auto starts = StartsOf(fleet, it);
    if (starts > 1 && !submitted.submission->repeatable) {
      Fault(fleet, "started twice: " + it);
    }
    if (starts > 0 && submitted.all_refused) {
      Fault(fleet, "all submissions refused, but it started: " + it);
    }
  }
}

}  // namespace

auto CollectSubmitted(const VirtualFleet& fleet)
    -> std::map<std::string, Submitted> {
  std::map<std::string, Submitted> all;
  for (const auto& [number, asked] : fleet.asked) {
    if (asked.submits) {
      auto& it = all[SubjectOf(asked)];
      it.submission = asked.submission;
      it.all_refused =
          it.all_refused && !asked.replies.empty() &&
          std::holds_alternative<RefusalReply>(asked.replies.front());
    }
  }
  return all;
}

auto RecordedJobs(const VirtualFleet& fleet) -> std::vector<JobId> {
  std::vector<JobId> jobs;
  for (const auto& it : AllJobs(fleet)) {
    const auto record = RecordOf(fleet, it);
    if (HasEntry(record) || record.addendum) {
      jobs.push_back(it);
    }
  }
  return jobs;
}

auto NoteReply(VirtualFleet& fleet, const CallerReply& reply) -> void {
  auto& asked = fleet.asked[reply.reply_to.number];
  asked.replies.push_back(reply.body);
  if (const auto* answer = std::get_if<AnswerReply>(&reply.body)) {
    CheckAnswer(fleet, asked, *answer->answer);
  } else if (const auto* refusal = std::get_if<RefusalReply>(&reply.body)) {
    NoteRefusal(fleet, asked, *refusal);
  }
  if (asked.replies.size() > 1) {
    Fault(fleet, "two replies to one request");
  }
}

auto CheckRelayed(VirtualFleet& fleet, const SendToPeer& send) -> void {
  const auto* reply = std::get_if<RelayReply>(&send.message.body);
  const auto* refusal =
      reply == nullptr ? nullptr : std::get_if<RefusalReply>(&reply->body);
  for (const auto& it : fleet.nodes) {
    if (refusal == nullptr || it.dispatcher == nullptr ||
        it.settings.peer_address != send.to) {
      continue;
    }
    const auto relay = it.dispatcher->relays.find(reply->number);
    if (relay != it.dispatcher->relays.end()) {
      CheckRefusal(fleet, fleet.asked[relay->second.request.reply_to.number],
                   *refusal);
    }
  }
}

auto CheckLeaving(VirtualFleet& fleet,
                  const VirtualNode& node,
                  const StartAttempt& start) -> void {
  auto known = Instant::max();
  const auto listed = fleet.leaving.find(start.endpoint);
  if (listed != fleet.leaving.end()) {
    known = std::max(listed->second, node.platform_up_since);
  }
  const auto told =
      fleet.told_leaving.find({node.dispatcher->self, start.endpoint});
  if (told != fleet.told_leaving.end()) {
    known = std::min(known, told->second);
  }
  if (std::max(known, node.awake_since) < fleet.now.boot - kLeavingBound) {
    Fault(fleet, "new work for a leaving endpoint: " + ToString(start.id));
  }
}

auto CheckNode(VirtualFleet& fleet, VirtualNode& node) -> void {
  const auto version = VersionInForce(node.dispatcher->configuration);
  if (version < node.highest_version) {
    Fault(fleet, "the configuration went back on " + node.settings.instance);
  }
  node.highest_version = version;
  if (node.dispatcher->deposed &&
      !fleet.given_up.contains(node.dispatcher->self)) {
    Fault(fleet, "deposed while it lives: " + ToString(node.dispatcher->self));
    fleet.given_up.insert(node.dispatcher->self);
  }
}

auto Starts(const VirtualFleet& fleet, const TaskId& task) -> uint32_t {
  uint32_t starts = 0;
  for (const auto& it : fleet.endpoints) {
    const auto found = it.second.starts.find(task);
    starts += found == it.second.starts.end() ? 0 : found->second;
  }
  return starts;
}

auto CheckAll(VirtualFleet& fleet) -> std::string {
  for (const auto& [subject, submitted] : CollectSubmitted(fleet)) {
    CheckTasks(fleet, submitted);
    CheckStatements(fleet, subject);
  }
  for (const auto& it : AllJobs(fleet)) {
    CheckRecord(fleet, it);
  }
  for (const auto& it : fleet.called_not_run) {
    if (StartsOf(fleet, it.first) != 0) {
      Fault(fleet, it.second + " and started later: " + it.first);
    }
  }
  std::string text;
  for (const auto& it : fleet.violations) {
    text += it + "\n";
  }
  return text;
}

}  // namespace boragecroft
