#include "servers/ledger/job_record.h"

#include <algorithm>

namespace boragecroft {
namespace {

auto FoldEntry(JobRecord& record, const AcceptedEntry& entry) -> void {
  if (entry.job != record.job || record.accepted) {
    return;
  }
  record.accepted = entry;
  record.partner = entry.partner;
  record.digest = entry.digest;
  record.started_below = std::max(record.started_below, entry.started_below);
}

auto FoldEntry(JobRecord& record, const WatermarkEntry& entry) -> void {
  if (entry.job == record.job) {
    record.started_below = std::max(record.started_below, entry.started_below);
  }
}

auto FoldEntry(JobRecord& record, const FinalEntry& entry) -> void {
  if (entry.job != record.job || record.final_entry) {
    return;
  }
  record.final_entry = entry;
  record.partner = entry.partner;
  record.digest = entry.digest;
}

auto FoldEntry(JobRecord& record, const RefusedEntry& entry) -> void {
  if (entry.incarnation != record.job.incarnation || record.refusal ||
      !Contains(entry.ranges, record.job.sequence)) {
    return;
  }
  record.refusal = entry.reason;
  record.partner = entry.partner;
}

auto FoldEntry(JobRecord& /*record*/, const UnknownEntry& /*entry*/) -> void {}

auto FinalAnswer(const FinalEntry& entry) -> JobAnswer {
  return JobAnswer{.kind = AnswerKind::kFinal,
                   .state = entry.state,
                   .tasks_known = true,
                   .tasks = entry.tasks,
                   .reason = entry.reason,
                   .results = entry.results,
                   .results_dropped = entry.results_dropped};
}

auto RefusedAnswer(Refusal refusal) -> JobAnswer {
  return JobAnswer{.kind = AnswerKind::kFinal,
                   .state = JobState::kRefused,
                   .refusal = refusal,
                   .reason = std::string(ToString(refusal))};
}

// The owner has terminated. Tasks that its durable watermark does not cover
// never started.
auto OwnerLostAnswer(const JobRecord& record) -> JobAnswer {
  JobAnswer answer{.kind = AnswerKind::kFinal,
                   .state = JobState::kFailed,
                   .reason = std::string(kOwnerLostUnrecorded)};
  if (!record.accepted) {
    return answer;
  }
  const auto tasks = record.accepted->tasks;
  const auto started = std::min(record.started_below, tasks);
  answer.tasks_known = true;
  answer.reason = kOwnerLost;
  AppendRun(answer.tasks, TaskState::kMayHaveRun, started);
  AppendRun(answer.tasks, TaskState::kNotRun, tasks - started);
  return answer;
}

auto NeverAcceptedAnswer(const IncarnationRow& row) -> JobAnswer {
  if (!row.successor) {
    return RefusedAnswer(Refusal::kDraining);
  }
  return JobAnswer{.kind = AnswerKind::kSuccessor, .successor = row.successor};
}

}  // namespace

auto HasEntry(const JobRecord& record) -> bool {
  return record.accepted || record.final_entry || record.refusal ||
         record.started_below != 0;
}

auto FoldSegment(JobRecord& record, const LedgerSegment& segment) -> void {
  for (const auto& entry : segment.entries) {
    std::visit([&](const auto& it) { FoldEntry(record, it); }, entry);
  }
}

auto FoldAddendum(JobRecord& record, const LedgerSegment& addendum) -> void {
  for (const auto& entry : addendum.entries) {
    const auto* it = std::get_if<FinalEntry>(&entry);
    if (it != nullptr && it->job == record.job && !record.addendum) {
      record.addendum = *it;
    }
  }
}

auto FoldJob(const std::vector<LedgerSegment>& segments,
             const std::vector<LedgerSegment>& addenda,
             const JobId& job) -> JobRecord {
  JobRecord record{.job = job};
  for (const auto& it : segments) {
    FoldSegment(record, it);
  }
  for (const auto& it : addenda) {
    FoldAddendum(record, it);
  }
  return record;
}

auto DeriveAnswer(const JobRecord& record,
                  const std::optional<IncarnationRow>& row) -> JobAnswer {
  if (record.final_entry) {
    return FinalAnswer(*record.final_entry);
  }
  const auto was_accepted = record.accepted || record.started_below != 0;
  if (record.refusal && !was_accepted) {
    return RefusedAnswer(*record.refusal);
  }
  if (!row || !row->closed) {
    return JobAnswer{};
  }
  return row->clean && !was_accepted ? NeverAcceptedAnswer(*row)
                                     : OwnerLostAnswer(record);
}

auto DeriveOwnerAnswer(const JobRecord& record) -> JobAnswer {
  return HasEntry(record) ? DeriveAnswer(record, std::nullopt)
                          : RefusedAnswer(Refusal::kIdExpired);
}

}  // namespace boragecroft
