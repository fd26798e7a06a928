#include "servers/ledger/account.h"

#include <algorithm>
#include <map>
#include <utility>

namespace boragecroft {
namespace {

// Returns the job of the entry, or null when this type of entry has none.
template <class Entry>
auto JobOf(const Entry& entry) -> const JobId* {
  if constexpr (requires { entry.job; }) {
    return &entry.job;
  } else {
    return nullptr;
  }
}

auto RecordOf(IncarnationAccount& account, const JobId& job) -> JobRecord& {
  return account.jobs.try_emplace(job, JobRecord{.job = job}).first->second;
}

auto WithoutResults(LedgerEntry entry) -> LedgerEntry {
  if (auto* it = std::get_if<FinalEntry>(&entry)) {
    it->results.clear();
  }
  return entry;
}

auto RangesOf(IncarnationAccount& account, Incarnation incarnation)
    -> SequenceRanges& {
  for (auto& it : account.refused_ids) {
    if (it.incarnation == incarnation) {
      return it.ranges;
    }
  }
  account.refused_ids.push_back({.incarnation = incarnation});
  return account.refused_ids.back().ranges;
}

// Counts the refused ids that no earlier entry has counted.
auto AddRefused(IncarnationAccount& account,
                const LedgerEntry& entry,
                WallTime time) -> void {
  const auto* refused = std::get_if<RefusedEntry>(&entry);
  if (refused == nullptr) {
    return;
  }
  auto& known = RangesOf(account, refused->incarnation);
  auto count = refused->unidentified;
  for (const auto& it : refused->ranges) {
    count += Insert(known, it);
  }
  account.refused.push_back(
      {.partner = refused->partner, .time = time, .count = count});
}

using LineKey = std::pair<std::string, WallTime>;
using Lines = std::map<LineKey, AccountTotals>;

auto PeriodStart(WallTime time, milliseconds period) -> WallTime {
  return WallTime(time.time_since_epoch() / period * period);
}

auto TimeOf(const JobRecord& record) -> WallTime {
  if (record.final_entry) {
    return record.final_entry->finished;
  }
  if (record.accepted) {
    return record.accepted->accepted;
  }
  return record.addendum ? record.addendum->finished : record.job.minted;
}

auto PartnerOf(const JobRecord& record) -> std::string {
  return record.partner.empty() && record.addendum ? record.addendum->partner
                                                   : record.partner;
}

auto CountRuns(const TaskRuns& runs, AccountTotals& totals) -> void {
  totals.tasks_done += CountTasks(runs, TaskState::kDone);
  totals.tasks_failed += CountTasks(runs, TaskState::kFailed);
  totals.tasks_not_run += CountTasks(runs, TaskState::kNotRun);
  totals.tasks_may_have_run += CountTasks(runs, TaskState::kMayHaveRun);
}

auto CountJob(const JobRecord& record,
              const std::optional<IncarnationRow>& row,
              AccountTotals& totals) -> void {
  const auto answer = DeriveAnswer(record, row);
  ++totals.submissions;
  if (answer.kind != AnswerKind::kFinal) {
    ++totals.undecided;
    return;
  }
  const auto is_done = answer.state == JobState::kDone;
  ++(is_done ? totals.done : totals.failed);
  const auto is_corrected = !record.final_entry && record.addendum;
  CountRuns(is_corrected ? record.addendum->tasks : answer.tasks, totals);
  if (is_corrected && record.addendum->state == JobState::kDone) {
    ++totals.done_after_all;
  }
}

}  // namespace

auto AddSegment(IncarnationAccount& account,
                const LedgerSegment& segment,
                WallTime time) -> void {
  for (const auto& entry : segment.entries) {
    const auto* job =
        std::visit([](const auto& it) { return JobOf(it); }, entry);
    if (job != nullptr) {
      FoldSegment(RecordOf(account, *job),
                  LedgerSegment{.entries = {WithoutResults(entry)}});
    }
    AddRefused(account, entry, time);
  }
}

auto AddAddendum(IncarnationAccount& account,
                 const LedgerSegment& addendum,
                 WallTime time) -> void {
  for (const auto& entry : addendum.entries) {
    if (const auto* it = std::get_if<FinalEntry>(&entry)) {
      FoldAddendum(RecordOf(account, it->job),
                   LedgerSegment{.entries = {WithoutResults(entry)}});
    }
    AddRefused(account, entry, time);
  }
}

auto TotalsOf(const IncarnationAccount& account,
              const std::optional<IncarnationRow>& row,
              milliseconds period) -> std::vector<AccountLine> {
  Lines lines;
  for (const auto& [job, record] : account.jobs) {
    const LineKey key{PartnerOf(record), PeriodStart(TimeOf(record), period)};
    CountJob(record, row, lines[key]);
  }
  for (const auto& it : account.refused) {
    auto& totals = lines[{it.partner, PeriodStart(it.time, period)}];
    totals.submissions += it.count;
    totals.refused += it.count;
  }
  std::vector<AccountLine> out;
  for (auto& [key, totals] : lines) {
    out.push_back(AccountLine{
        .partner = key.first, .period_start = key.second, .totals = totals});
  }
  return out;
}

}  // namespace boragecroft
