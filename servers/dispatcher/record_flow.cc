#include "servers/dispatcher/record_flow.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/log/log.h"
#include "servers/dispatcher/job_table.h"
#include "servers/dispatcher/task_flow.h"

namespace boragecroft {
namespace {

// Returns the urgency of a job's records. The most urgent class is the first
// one in the configuration. Records of the other classes leave it the writes
// that it may need.
auto UrgencyOf(const Job& job) -> Urgency {
  return job.class_index == 0 ? Urgency::kUrgent : Urgency::kPrompt;
}

// Marks the answers as evictable whose complete contents are in the records.
auto AddEvictableAnswers(EventContext& context, const LedgerEvents& events)
    -> void {
  auto& dispatcher = context.dispatcher;
  const std::set<JobId> without_results(events.without_results.begin(),
                                        events.without_results.end());
  for (const auto& it : events.finals) {
    if (!without_results.contains(it) && dispatcher.jobs.contains(it)) {
      dispatcher.evictable.push_back(it);
    }
  }
}

auto ApplyLedgerEvents(EventContext& context, const LedgerEvents& events)
    -> void {
  auto& dispatcher = context.dispatcher;
  if (events.opened) {
    Log(LogLevel::kInfo, "ledger_opened",
        {{"incarnation", ToString(dispatcher.self)}});
  }
  if (events.closed) {
    Log(LogLevel::kInfo, "ledger_closed",
        {{"incarnation", ToString(dispatcher.self)}});
  }
  // Records that were written before another instance closed the ledger remain
  // valid.
  for (const auto& it : events.finals) {
    OnFinalDurable(context, it);
  }
  AddEvictableAnswers(context, events);
  for (const auto& it : events.watermarks) {
    RaiseDispatchLimit(context, it.job, it.started_below);
  }
  if (events.fenced) {
    Log(LogLevel::kError, "deposed",
        {{"incarnation", ToString(dispatcher.self)}});
    dispatcher.fenced = true;
    dispatcher.view_changed = true;
    std::vector<JobId> jobs;
    for (const auto& it : dispatcher.jobs) {
      jobs.push_back(it.first);
    }
    for (const auto& it : jobs) {
      FailFencedJob(context, it);
    }
  }
  for (const auto& it : events.addendum_finals) {
    OnFinalDurable(context, it);
  }
}

// Reads the rows that the ledger requested one by one, and passes them to the
// ledger together.
auto ReadBack(EventContext& context) -> void {
  auto& dispatcher = context.dispatcher;
  const auto keys = PendingReadBack(dispatcher.ledger);
  if (keys.empty() || !dispatcher.read_backs.empty()) {
    return;
  }
  dispatcher.read_back_rows.clear();
  dispatcher.read_backs.insert(keys.begin(), keys.end());
  for (const auto& it : keys) {
    CallPlatform(
        context, ReadRow{.key = it},
        [key = it](EventContext& callback_context, PlatformOutcome& outcome) {
          auto& state = callback_context.dispatcher;
          state.read_backs.erase(key);
          if (auto* row = std::get_if<TableRow>(&outcome.result)) {
            state.read_back_rows.push_back(std::move(*row));
          }
          const auto wanted = PendingReadBack(state.ledger);
          if (state.read_backs.empty() &&
              state.read_back_rows.size() == wanted.size()) {
            ApplyLedgerEvents(callback_context,
                              OnReadBack(state.ledger, state.read_back_rows,
                                         callback_context.now));
          }
        });
  }
}

auto SendTransaction(EventContext& context, TableTransaction transaction)
    -> void {
  context.dispatcher.ledger_call_open = true;
  CallPlatform(context, std::move(transaction),
               [](EventContext& callback_context, PlatformOutcome& outcome) {
                 callback_context.dispatcher.ledger_call_open = false;
                 ApplyLedgerEvents(
                     callback_context,
                     OnOutcome(callback_context.dispatcher.ledger,
                               std::get<TableOutcome>(outcome.result),
                               callback_context.now));
                 FlushLedger(callback_context);
               });
}

}  // namespace

auto RecordAccepted(EventContext& context, Job& job) -> void {
  auto& dispatcher = context.dispatcher;
  const auto* declared =
      FindClass(*InForce(dispatcher), job.submission->urgency_class);
  if (declared == nullptr || !declared->record_before_start ||
      IsPlatformSuspect(dispatcher.ledger, context.now)) {
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
  entry.accepted = context.now.wall;
  entry.digest = job.digest;
  const auto watermark = entry.started_below;
  const auto result =
      Add(dispatcher.ledger, entry, UrgencyOf(job), context.now);
  if (result == AddResult::kAdded || result == AddResult::kOverPendingLimit) {
    job.record_mode = RecordMode::kWatermark;
    job.requested_watermark = watermark;
  }
}

auto RecordProgress(EventContext& context, Job& job, uint32_t index) -> void {
  const auto tasks = static_cast<uint32_t>(job.tasks.size());
  const auto is_near = index + kWatermarkWindow / 2 >= job.requested_watermark;
  if (job.record_mode != RecordMode::kWatermark || !is_near ||
      job.requested_watermark >= tasks) {
    return;
  }
  job.requested_watermark =
      std::min(tasks, job.requested_watermark + kWatermarkWindow);
  WatermarkEntry entry;
  entry.job = job.submission->id;
  entry.started_below = job.requested_watermark;
  Add(context.dispatcher.ledger, entry, UrgencyOf(job), context.now);
}

auto RecordFinal(EventContext& context, const Job& job) -> void {
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
  entry.finished = context.now.wall;
  entry.digest = job.digest;
  const auto* declared =
      FindClass(*InForce(context.dispatcher), job.submission->urgency_class);
  const auto awaited = declared != nullptr && declared->record_before_answer;
  const auto result =
      Add(context.dispatcher.ledger, entry,
          awaited ? UrgencyOf(job) : Urgency::kNormal, context.now);
  if (result == AddResult::kEnded) {
    Log(LogLevel::kError, "final_record_lost",
        {{"job", ToString(job.submission->id)}});
  }
}

auto RecordRefusal(EventContext& context,
                   const std::string& partner,
                   const JobId& id,
                   Refusal refusal) -> void {
  RefusedEntry entry;
  entry.incarnation = id.incarnation;
  entry.partner = partner;
  entry.reason = refusal;
  entry.ranges.push_back(
      SequenceRange{.first = id.sequence, .last = id.sequence});
  Add(context.dispatcher.ledger, entry, Urgency::kNormal, context.now);
}

auto ReleaseUnrecordedJobs(EventContext& context) -> void {
  auto& dispatcher = context.dispatcher;
  const auto suspect = IsPlatformSuspect(dispatcher.ledger, context.now);
  if (suspect == std::exchange(dispatcher.platform_suspect, suspect) ||
      !suspect) {
    return;
  }
  for (const auto& it : dispatcher.deadlines) {
    const auto& job = dispatcher.jobs.at(it.second);
    const auto first_window =
        std::min(static_cast<uint32_t>(job.tasks.size()), kWatermarkWindow);
    if (job.record_mode == RecordMode::kWatermark &&
        job.requested_watermark == first_window) {
      RaiseDispatchLimit(context, it.second, first_window);
    }
  }
}

auto FlushLedger(EventContext& context) -> void {
  auto& dispatcher = context.dispatcher;
  ReadBack(context);
  if (dispatcher.ledger_call_open) {
    return;
  }
  if (auto transaction = NextTransaction(dispatcher.ledger, context.now)) {
    SendTransaction(context, std::move(*transaction));
  }
}

auto CallPlatform(EventContext& context,
                  decltype(PlatformCommand::call) call,
                  PlatformContinuation continuation) -> void {
  auto& dispatcher = context.dispatcher;
  const auto token = dispatcher.next_token++;
  ++dispatcher.counters.platform_calls;
  dispatcher.platform_calls.emplace(token, std::move(continuation));
  context.out.platform.push_back(
      PlatformCommand{.token = token, .call = std::move(call)});
}

}  // namespace boragecroft
