#include "servers/dispatcher/record_flow.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/log/log.h"
#include "servers/dispatcher/job_table.h"
#include "servers/dispatcher/task_flow.h"

namespace boragecroft {
namespace {

// The most urgent class comes first in the configuration. Records of the others
// leave it the writes that it may need.
auto UrgencyOf(const Job& job) -> Urgency {
  return job.class_index == 0 ? Urgency::kUrgent : Urgency::kPrompt;
}

// A record that holds the whole answer can stand for the one in memory.
auto NoteReplaceable(Step& step, const LedgerEvents& events) -> void {
  auto& dispatcher = step.dispatcher;
  const std::set<JobId> bare(events.without_results.begin(),
                             events.without_results.end());
  for (const auto& it : events.finals) {
    if (!bare.contains(it) && dispatcher.jobs.contains(it)) {
      dispatcher.replaceable.push_back(it);
    }
  }
}

auto Apply(Step& step, const LedgerEvents& events) -> void {
  auto& dispatcher = step.dispatcher;
  if (events.opened) {
    Log(LogLevel::kInfo, "ledger_opened",
        {{"incarnation", ToString(dispatcher.self)}});
  }
  if (events.closed) {
    Log(LogLevel::kInfo, "ledger_closed",
        {{"incarnation", ToString(dispatcher.self)}});
  }
  // What was written before another instance closed the ledger stands.
  for (const auto& it : events.finals) {
    NoteFinalDurable(step, it);
  }
  NoteReplaceable(step, events);
  for (const auto& it : events.watermarks) {
    RaiseDispatchLimit(step, it.job, it.started_below);
  }
  if (events.fenced) {
    Log(LogLevel::kError, "deposed",
        {{"incarnation", ToString(dispatcher.self)}});
    dispatcher.deposed = true;
    dispatcher.view_changed = true;
    std::vector<JobId> jobs;
    for (const auto& it : dispatcher.jobs) {
      jobs.push_back(it.first);
    }
    for (const auto& it : jobs) {
      DeposeJob(step, it);
    }
  }
  for (const auto& it : events.addendum_finals) {
    NoteFinalDurable(step, it);
  }
}

// The rows that the ledger asked for are read one by one and handed back
// together.
auto ReadBack(Step& step) -> void {
  auto& dispatcher = step.dispatcher;
  const auto keys = PendingReadBack(dispatcher.ledger);
  if (keys.empty() || !dispatcher.read_backs.empty()) {
    return;
  }
  dispatcher.read_back_rows.clear();
  dispatcher.read_backs.insert(keys.begin(), keys.end());
  for (const auto& it : keys) {
    CallPlatform(step, ReadRow{.key = it},
                 [key = it](Step& then, PlatformOutcome& outcome) {
                   auto& state = then.dispatcher;
                   state.read_backs.erase(key);
                   if (auto* row = std::get_if<TableRow>(&outcome.result)) {
                     state.read_back_rows.push_back(std::move(*row));
                   }
                   const auto wanted = PendingReadBack(state.ledger);
                   if (state.read_backs.empty() &&
                       state.read_back_rows.size() == wanted.size()) {
                     Apply(then, OnReadBack(state.ledger, state.read_back_rows,
                                            then.now));
                   }
                 });
  }
}

auto Send(Step& step, TableTransaction transaction) -> void {
  step.dispatcher.ledger_call_open = true;
  CallPlatform(
      step, std::move(transaction), [](Step& then, PlatformOutcome& outcome) {
        then.dispatcher.ledger_call_open = false;
        Apply(then,
              OnOutcome(then.dispatcher.ledger,
                        std::get<TableOutcome>(outcome.result), then.now));
        PumpLedger(then);
      });
}

}  // namespace

auto RecordAccepted(Step& step, Job& job) -> void {
  auto& dispatcher = step.dispatcher;
  const auto* declared =
      FindClass(*InForce(dispatcher), job.submission->urgency_class);
  if (declared == nullptr || !declared->record_before_start ||
      IsPlatformSuspect(dispatcher.ledger, step.now)) {
    return;
  }
  AcceptedEntry entry;
  entry.job = job.submission->id;
  entry.partner = job.submission->partner;
  entry.team = job.submission->team;
  entry.service = job.submission->service;
  entry.kind = job.submission->kind;
  entry.urgency_class = job.submission->urgency_class;
  entry.tasks = static_cast<uint32_t>(job.tasks.size());
  entry.started_below = std::min(entry.tasks, kWatermarkWindow);
  entry.accepted = step.now.wall;
  entry.digest = job.digest;
  const auto watermark = entry.started_below;
  const auto verdict = Add(dispatcher.ledger, entry, UrgencyOf(job), step.now);
  if (verdict == AddResult::kAdded || verdict == AddResult::kOverPendingLimit) {
    job.record_mode = RecordMode::kWatermark;
    job.watermark_asked = watermark;
  }
}

auto RecordProgress(Step& step, Job& job, uint32_t index) -> void {
  const auto tasks = static_cast<uint32_t>(job.tasks.size());
  const auto near = index + kWatermarkWindow / 2 >= job.watermark_asked;
  if (job.record_mode != RecordMode::kWatermark || !near ||
      job.watermark_asked >= tasks) {
    return;
  }
  job.watermark_asked = std::min(tasks, job.watermark_asked + kWatermarkWindow);
  WatermarkEntry entry;
  entry.job = job.submission->id;
  entry.started_below = job.watermark_asked;
  Add(step.dispatcher.ledger, entry, UrgencyOf(job), step.now);
}

auto RecordFinal(Step& step, const Job& job) -> void {
  FinalEntry entry;
  entry.job = job.submission->id;
  entry.partner = job.submission->partner;
  entry.team = job.submission->team;
  entry.service = job.submission->service;
  entry.urgency_class = job.submission->urgency_class;
  entry.state = job.state;
  entry.tasks = EncodeRuns(job.tasks);
  entry.reason = job.reason;
  if (job.state == JobState::kDone) {
    entry.results = job.results;
  }
  entry.finished = step.now.wall;
  entry.digest = job.digest;
  const auto* declared =
      FindClass(*InForce(step.dispatcher), job.submission->urgency_class);
  const auto awaited = declared != nullptr && declared->record_before_answer;
  const auto verdict =
      Add(step.dispatcher.ledger, entry,
          awaited ? UrgencyOf(job) : Urgency::kNormal, step.now);
  if (verdict == AddResult::kEnded) {
    Log(LogLevel::kError, "final_record_lost",
        {{"job", ToString(job.submission->id)}});
  }
}

auto RecordRefusal(Step& step,
                   const std::string& partner,
                   const JobId& id,
                   Refusal refusal) -> void {
  RefusedEntry entry;
  entry.incarnation = id.incarnation;
  entry.partner = partner;
  entry.reason = refusal;
  entry.ranges.push_back(
      SequenceRange{.first = id.sequence, .last = id.sequence});
  Add(step.dispatcher.ledger, entry, Urgency::kNormal, step.now);
}

auto ReleaseUnrecordedJobs(Step& step) -> void {
  auto& dispatcher = step.dispatcher;
  const auto suspect = IsPlatformSuspect(dispatcher.ledger, step.now);
  if (suspect == std::exchange(dispatcher.platform_suspect, suspect) ||
      !suspect) {
    return;
  }
  for (const auto& it : dispatcher.deadlines) {
    const auto& job = dispatcher.jobs.at(it.second);
    const auto first_window =
        std::min(static_cast<uint32_t>(job.tasks.size()), kWatermarkWindow);
    if (job.record_mode == RecordMode::kWatermark &&
        job.watermark_asked == first_window) {
      RaiseDispatchLimit(step, it.second, first_window);
    }
  }
}

auto PumpLedger(Step& step) -> void {
  auto& dispatcher = step.dispatcher;
  ReadBack(step);
  if (dispatcher.ledger_call_open) {
    return;
  }
  if (auto transaction = NextTransaction(dispatcher.ledger, step.now)) {
    Send(step, std::move(*transaction));
  }
}

auto CallPlatform(Step& step,
                  decltype(PlatformCommand::call) call,
                  PlatformContinuation then) -> void {
  auto& dispatcher = step.dispatcher;
  const auto token = dispatcher.next_token++;
  ++dispatcher.counters.platform_calls;
  dispatcher.platform_calls.emplace(token, std::move(then));
  step.out.platform.push_back(
      PlatformCommand{.token = token, .call = std::move(call)});
}

}  // namespace boragecroft
