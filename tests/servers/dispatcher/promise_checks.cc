#include "tests/servers/dispatcher/promise_checks.h"

#include <algorithm>

#include "servers/ledger/job_record.h"
#include "servers/ledger/keys.h"

namespace boragecroft {
namespace {

constexpr milliseconds kMaxLeavingDelay{3000};
// Longer than the time for which an answer waits for its record.
constexpr milliseconds kNoFaultInterval{10000};

auto AddViolation(VirtualFleet& fleet, std::string text) -> void {
  fleet.violations.push_back(std::move(text));
}

auto SubjectOf(const SentRequest& request) -> std::string {
  return request.key.empty() ? ToString(request.id) : request.key;
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

auto RecordNotRun(VirtualFleet& fleet,
                  const std::string& payload,
                  const std::string& claim) -> void {
  fleet.reported_not_run[payload] = claim;
  if (StartsOf(fleet, payload) != 0) {
    AddViolation(fleet, claim + " but it started: " + payload);
  }
}

// Reports whether the instance that decided on the reply is the one that the
// caller asked, without a relay.
auto IsDirect(const VirtualFleet& fleet, const SentRequest& request) -> bool {
  return fleet.nodes[request.node].dispatcher->self == fleet.responder;
}

auto CheckIds(VirtualFleet& fleet, const SentRequest& request, const JobId& id)
    -> void {
  const auto wanted =
      request.key.empty()
          ? request.id
          : fleet.ids_of_keys.emplace(request.key, id).first->second;
  if (id != wanted) {
    AddViolation(fleet, "answer with another id for " + SubjectOf(request));
  }
}

// In a class with record_before_answer, an answer without a durable record is
// only allowed when a fault delayed the record.
auto CheckRecordedFirst(VirtualFleet& fleet,
                        const SentRequest& request,
                        const CallerAnswer& answer) -> void {
  if (!answer.recorded && IsDirect(fleet, request) &&
      request.submission->urgency_class == "confirmations" &&
      fleet.now.boot - fleet.last_fault > kNoFaultInterval) {
    AddViolation(fleet, "answered before its record: " + SubjectOf(request));
  }
}

auto CheckAnswer(VirtualFleet& fleet,
                 const SentRequest& request,
                 const CallerAnswer& answer) -> void {
  CheckIds(fleet, request, answer.id);
  if (answer.state == JobState::kActive || request.submission == nullptr) {
    return;
  }
  fleet.reported_outcomes[SubjectOf(request)].push_back(
      {.reported_at = fleet.now.boot,
       .by = fleet.responder,
       .state = answer.state,
       .recorded = answer.recorded});
  CheckRecordedFirst(fleet, request, answer);
  const auto& payloads = request.submission->payloads;
  if (answer.state == JobState::kDone && answer.results != payloads) {
    AddViolation(fleet, "results of another job for " + SubjectOf(request));
  }
  for (uint32_t i = 0; i < answer.tasks.size(); ++i) {
    if (answer.tasks[i] == TaskState::kNotRun) {
      RecordNotRun(fleet, payloads[i], "answered not_run");
    }
  }
}

// Reports whether a refusal leaves the id unused, so that it may be submitted
// again.
auto IsTemporaryRefusal(const RefusalReply& refusal) -> bool {
  return refusal.retry_after.count() > 0 &&
         (refusal.refusal == Refusal::kDraining ||
          refusal.refusal == Refusal::kNotReady ||
          refusal.refusal == Refusal::kOverloaded);
}

auto CheckRefusal(VirtualFleet& fleet,
                  const SentRequest& request,
                  const RefusalReply& refusal) -> void {
  if (request.submission == nullptr || refusal.refusal == Refusal::kIdReused) {
    return;
  }
  for (const auto& it : request.submission->payloads) {
    if (!IsTemporaryRefusal(refusal)) {
      RecordNotRun(fleet, it, "refused");
    } else if (StartsOf(fleet, it) != 0) {
      AddViolation(fleet, "refused but it started: " + it);
    }
  }
}

auto CheckAndStoreRefusal(VirtualFleet& fleet,
                          const SentRequest& request,
                          const RefusalReply& refusal) -> void {
  if (IsDirect(fleet, request)) {
    CheckRefusal(fleet, request, refusal);
  }
  if (!IsTemporaryRefusal(refusal) && refusal.refusal != Refusal::kIdReused &&
      request.submission != nullptr) {
    fleet.reported_outcomes[SubjectOf(request)].push_back(
        {.reported_at = fleet.now.boot,
         .by = fleet.responder,
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

// Checks that the final entry and the addendum agree with what ran.
auto CheckRecord(VirtualFleet& fleet, const JobId& id) -> void {
  const auto record = RecordOf(fleet, id);
  for (const auto& entry : {record.final_entry, record.addendum}) {
    uint32_t index = 0;
    for (const auto& run : entry ? entry->tasks : TaskRuns()) {
      for (uint32_t i = 0; i < run.count; ++i, ++index) {
        const auto starts = Starts(fleet, {.job = id, .index = index});
        if ((run.state == TaskState::kNotRun && starts != 0) ||
            (run.state == TaskState::kDone && starts == 0)) {
          AddViolation(fleet, "recorded as " +
                                  std::string(ToString(run.state)) +
                                  ", starts " + std::to_string(starts) + ": " +
                                  ToString(id));
        }
      }
    }
  }
}

auto Describe(const std::vector<ReportedOutcome>& reported_outcomes)
    -> std::string {
  std::string text;
  for (const auto& it : reported_outcomes) {
    const auto elapsed = std::chrono::duration_cast<milliseconds>(
        it.reported_at.time_since_epoch());
    text += "; " + std::to_string(elapsed.count()) + " ms " + ToString(it.by) +
            " " + std::string(ToString(it.state)) +
            (it.recorded ? " recorded" : "");
  }
  return text;
}

// Checks that all outcomes reported for one submission agree. Unrecorded
// outcomes of an instance that is presumed terminated existed only in its
// memory, so they may be replaced by the weaker outcome "failed", but by no
// other outcome.
auto CheckOutcomes(VirtualFleet& fleet, const std::string& subject) -> void {
  std::set<JobState> binding;
  std::set<JobState> replaceable;
  std::set<JobState> not_failed;
  for (const auto& it : fleet.reported_outcomes[subject]) {
    const auto may_differ =
        !it.recorded && fleet.presumed_terminated.contains(it.by);
    (may_differ ? replaceable : binding).insert(it.state);
    if (it.state != JobState::kFailed) {
      not_failed.insert(it.state);
    }
  }
  const auto only_failed =
      binding.empty() || binding == std::set{JobState::kFailed};
  const auto is_included = std::includes(
      binding.begin(), binding.end(), replaceable.begin(), replaceable.end());
  if (binding.size() > 1 || not_failed.size() > 1 ||
      !(only_failed || is_included)) {
    AddViolation(fleet, "callers received different outcomes for " + subject +
                            Describe(fleet.reported_outcomes[subject]));
  }
}

// Checks that no task of a submission that may run only once starts twice. When
// all requests for the submission were refused, nothing may start, not even
// because of a duplicate of a request that arrives later.
auto CheckTasks(VirtualFleet& fleet, const Submitted& submitted) -> void {
  for (const auto& it : submitted.submission->payloads) {
    const auto starts = StartsOf(fleet, it);
    if (starts > 1 && !submitted.submission->repeatable) {
      AddViolation(fleet, "started twice: " + it);
    }
    if (starts > 0 && submitted.all_refused) {
      AddViolation(fleet, "all submissions refused, but it started: " + it);
    }
  }
}

}  // namespace

auto CollectSubmitted(const VirtualFleet& fleet)
    -> std::map<std::string, Submitted> {
  std::map<std::string, Submitted> all;
  for (const auto& [number, request] : fleet.requests) {
    if (request.submits) {
      auto& it = all[SubjectOf(request)];
      it.submission = request.submission;
      it.all_refused =
          it.all_refused && !request.replies.empty() &&
          std::holds_alternative<RefusalReply>(request.replies.front());
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

auto CheckReply(VirtualFleet& fleet, const CallerReply& reply) -> void {
  auto& request = fleet.requests[reply.reply_to.number];
  request.replies.push_back(reply.body);
  if (const auto* answer = std::get_if<AnswerReply>(&reply.body)) {
    CheckAnswer(fleet, request, *answer->answer);
  } else if (const auto* refusal = std::get_if<RefusalReply>(&reply.body)) {
    CheckAndStoreRefusal(fleet, request, *refusal);
  }
  if (request.replies.size() > 1) {
    AddViolation(fleet, "two replies to one request");
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
      CheckRefusal(fleet, fleet.requests[relay->second.request.reply_to.number],
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
  const auto reported =
      fleet.reported_leaving.find({node.dispatcher->self, start.endpoint});
  if (reported != fleet.reported_leaving.end()) {
    known = std::min(known, reported->second);
  }
  if (std::max(known, node.awake_since) < fleet.now.boot - kMaxLeavingDelay) {
    AddViolation(fleet,
                 "new work for a leaving endpoint: " + ToString(start.id));
  }
}

auto CheckNode(VirtualFleet& fleet, VirtualNode& node) -> void {
  const auto version = VersionInForce(node.dispatcher->configuration);
  if (version < node.highest_version) {
    AddViolation(fleet, "the configuration version decreased on " +
                            node.settings.instance);
  }
  node.highest_version = version;
  if (node.dispatcher->fenced &&
      !fleet.presumed_terminated.contains(node.dispatcher->self)) {
    AddViolation(fleet, "fenced although it had not terminated: " +
                            ToString(node.dispatcher->self));
    fleet.presumed_terminated.insert(node.dispatcher->self);
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
    CheckOutcomes(fleet, subject);
  }
  for (const auto& it : AllJobs(fleet)) {
    CheckRecord(fleet, it);
  }
  for (const auto& it : fleet.reported_not_run) {
    if (StartsOf(fleet, it.first) != 0) {
      AddViolation(fleet, it.second + " and started later: " + it.first);
    }
  }
  std::string text;
  for (const auto& it : fleet.violations) {
    text += it + "\n";
  }
  return text;
}

}  // namespace boragecroft
