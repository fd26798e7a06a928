#include "tests/servers/dispatcher/promise_checks.h"

#include "servers/ledger/job_record.h"
#include "servers/ledger/keys.h"

namespace boragecroft {
namespace {

auto Fault(VirtualFleet& fleet, std::string text) -> void {
  fleet.violations.push_back(std::move(text));
}

auto NoteNotRun(VirtualFleet& fleet,
                const JobId& id,
                uint32_t index,
                const std::string& said) -> void {
  const TaskId task{.job = id, .index = index};
  fleet.called_not_run[task] = said;
  if (Starts(fleet, task) != 0) {
    Fault(fleet, said + " but it started: " + ToString(task));
  }
}

auto CheckAnswer(VirtualFleet& fleet,
                 const Asked& asked,
                 const CallerAnswer& answer) -> void {
  if (asked.id.sequence != 0 && answer.id != asked.id) {
    Fault(fleet, "crossed answer for " + ToString(asked.id));
    return;
  }
  if (answer.state == JobState::kActive) {
    return;
  }
  auto& told = answer.recorded ? fleet.told : fleet.told_unrecorded;
  told[answer.id].insert(answer.state);
  const auto& submission = fleet.submissions.at(answer.id);
  if (answer.state == JobState::kDone &&
      answer.results != submission->payloads) {
    Fault(fleet, "results of another job for " + ToString(answer.id));
  }
  for (uint32_t i = 0; i < answer.tasks.size(); ++i) {
    if (answer.tasks[i] == TaskState::kNotRun) {
      NoteNotRun(fleet, answer.id, i, "answered not_run");
    }
  }
}

// Refusals that leave the id unused: it may be submitted again.
auto IsObstacle(Refusal refusal) -> bool {
  return refusal == Refusal::kDraining || refusal == Refusal::kNotReady ||
         refusal == Refusal::kOverloaded;
}

auto CheckRefusal(VirtualFleet& fleet, const Asked& asked, Refusal refusal)
    -> void {
  const auto found = fleet.submissions.find(asked.id);
  // That another body was refused says nothing of the id's job.
  if (found == fleet.submissions.end() || !asked.submits ||
      refusal == Refusal::kIdReused) {
    return;
  }
  for (uint32_t i = 0; i < found->second->payloads.size(); ++i) {
    const TaskId task{.job = asked.id, .index = i};
    if (IsObstacle(refusal)) {
      if (Starts(fleet, task) != 0) {
        Fault(fleet, "refused but it started: " + ToString(task));
      }
    } else {
      NoteNotRun(fleet, asked.id, i, "refused");
    }
  }
  if (!IsObstacle(refusal)) {
    // Its record may not be durable yet.
    fleet.told_unrecorded[asked.id].insert(JobState::kRefused);
  }
}

auto RecordOf(const VirtualFleet& fleet, const JobId& id) -> JobRecord {
  return FoldJob(SegmentsBelow(fleet.table, LedgerPrefix(id.incarnation)),
                 SegmentsBelow(fleet.table, AddendumPrefix(id.incarnation)),
                 id);
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

auto CheckJob(VirtualFleet& fleet,
              const JobId& id,
              const Submission& submission) -> void {
  for (uint32_t i = 0; i < submission.payloads.size(); ++i) {
    const TaskId task{.job = id, .index = i};
    if (!submission.repeatable && Starts(fleet, task) > 1) {
      Fault(fleet, "started twice: " + ToString(task));
    }
  }
  auto states = fleet.told[id];
  if (!fleet.unsafe.contains(id.incarnation)) {
    states.merge(std::set(fleet.told_unrecorded[id]));
  }
  if (states.size() > 1) {
    Fault(fleet, "callers were told different ends of " + ToString(id));
  }
  CheckRecord(fleet, id);
}

}  // namespace

auto NoteReply(VirtualFleet& fleet, const CallerReply& reply) -> void {
  auto& asked = fleet.asked[reply.reply_to.number];
  asked.replies.push_back(reply.body);
  if (const auto* answer = std::get_if<AnswerReply>(&reply.body)) {
    CheckAnswer(fleet, asked, *answer->answer);
  } else if (const auto* refusal = std::get_if<RefusalReply>(&reply.body)) {
    CheckRefusal(fleet, asked, refusal->refusal);
  }
  if (asked.replies.size() > 1) {
    Fault(fleet, "two replies to one request");
  }
}

auto CheckLeaving(VirtualFleet& fleet,
                  Incarnation self,
                  const StartAttempt& start) -> void {
  const auto it = fleet.known_leaving.find({self, start.endpoint});
  if (it != fleet.known_leaving.end() &&
      fleet.now.boot - it->second > seconds(3)) {
    Fault(fleet, "new work for a leaving endpoint: " + ToString(start.id));
  }
}

auto CheckNode(VirtualFleet& fleet, VirtualNode& node) -> void {
  const auto version = VersionInForce(node.dispatcher->configuration);
  if (version < node.highest_version) {
    Fault(fleet, "the configuration went back on " + node.settings.instance);
  }
  node.highest_version = version;
  if (node.dispatcher->deposed) {
    fleet.unsafe.insert(node.dispatcher->self);
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
  for (const auto& it : fleet.submissions) {
    CheckJob(fleet, it.first, *it.second);
  }
  for (const auto& it : fleet.called_not_run) {
    if (Starts(fleet, it.first) != 0) {
      Fault(fleet, it.second + " and started later: " + ToString(it.first));
    }
  }
  std::string text;
  for (const auto& it : fleet.violations) {
    text += it + "\n";
  }
  return text;
}

}  // namespace boragecroft
