#include "bench/replay/replayed_worker.h"

#include <algorithm>

namespace boragecroft::bench {
namespace {

const Instant kSimulationBegin = EventQueue().now;

auto MomentOf(const EventQueue& event_queue) -> microseconds {
  return event_queue.now - kSimulationBegin;
}

auto IsUnresponsive(const ReplayedWorker& worker,
                    const EventQueue& event_queue,
                    const Workload& workload) -> bool {
  return HasFault(workload, worker.index, WorkerFault::kUnresponsive,
                  MomentOf(event_queue));
}

auto ReportOf(const ReplayedWorker& worker, const EventQueue& event_queue)
    -> RunReport {
  RunReport out;
  out.started_at = milliseconds{1000};
  out.clock = std::chrono::duration_cast<milliseconds>(
      event_queue.now.time_since_epoch());
  for (const auto& it : worker.runs) {
    out.running.push_back({.task = it.task, .attempt = it.attempt});
  }
  out.ended = worker.ended;
  return out;
}

auto AnswerRenewal(ReplayedWorker& worker, const EventQueue& event_queue)
    -> void {
  if (!worker.waiting) {
    return;
  }
  const auto reply = std::exchange(worker.waiting, nullptr);
  reply(ReportOf(worker, event_queue));
}

auto RecordEnd(ReplayedWorker& worker, size_t index, RunEnd end) -> void {
  const auto run = worker.runs[index];
  worker.runs.erase(worker.runs.begin() + static_cast<std::ptrdiff_t>(index));
  worker.ended.push_back({.sequence = ++worker.sequence,
                          .task = run.task,
                          .attempt = run.attempt,
                          .end = end});
}

auto WasteOf(const ReplayedRun& run, const EventQueue& event_queue) -> double {
  const auto time =
      std::chrono::duration<double, std::milli>(event_queue.now - run.started);
  return time.count() * static_cast<double>(run.resources.cpu_millis) / 1000;
}

auto EndAsDone(ReplayedWorker& worker,
               const EventQueue& event_queue,
               uint64_t run_id) -> void {
  for (size_t i = 0; i < worker.runs.size(); ++i) {
    if (worker.runs[i].run_id == run_id) {
      RecordEnd(worker, i, RunEnd::kDone);
      AnswerRenewal(worker, event_queue);
      return;
    }
  }
}

auto UsedResources(const ReplayedWorker& worker) -> Resources {
  Resources used;
  for (const auto& it : worker.runs) {
    used += it.resources;
  }
  return used;
}

}  // namespace

auto StartRun(ReplayedWorker& worker,
              EventQueue& event_queue,
              const Workload& workload,
              const StartCommand& order,
              const Resources& resources,
              microseconds work) -> std::optional<OrderAnswer> {
  if (IsUnresponsive(worker, event_queue, workload)) {
    return std::nullopt;
  }
  if (!Fits(worker.description.capacity, UsedResources(worker), resources)) {
    ++worker.starts_over_capacity;
  }
  const auto run_id = ++worker.runs_started;
  worker.runs.push_back({.task = order.task,
                         .attempt = order.attempt,
                         .resources = resources,
                         .started = event_queue.now,
                         .run_id = run_id});
  const auto at = MomentOf(event_queue);
  if (!HasFault(workload, worker.index, WorkerFault::kStuck, at)) {
    const auto time = static_cast<double>(work.count()) *
                      SlownessAt(workload, worker.index, at) /
                      worker.description.speed;
    After(event_queue, microseconds(static_cast<int64_t>(time)),
          [&worker, &event_queue, run_id] {
            EndAsDone(worker, event_queue, run_id);
          });
  }
  return OrderAnswer::kAccepted;
}

auto EndRun(ReplayedWorker& worker,
            EventQueue& event_queue,
            const Workload& workload,
            const StopCommand& order) -> std::optional<OrderAnswer> {
  if (IsUnresponsive(worker, event_queue, workload)) {
    return std::nullopt;
  }
  for (size_t i = 0; i < worker.runs.size(); ++i) {
    const auto& run = worker.runs[i];
    if (run.task == order.task && run.attempt == order.attempt) {
      worker.wasted_core_ms += WasteOf(run, event_queue);
      RecordEnd(worker, i, RunEnd::kStopped);
      AnswerRenewal(worker, event_queue);
      break;
    }
  }
  return OrderAnswer::kAccepted;
}

auto RenewLease(ReplayedWorker& worker,
                EventQueue& event_queue,
                const Workload& workload,
                const RenewCommand& order,
                RenewReply reply) -> void {
  if (IsUnresponsive(worker, event_queue, workload)) {
    reply(std::nullopt);
    return;
  }
  std::erase_if(worker.ended,
                [&](const EndedRun& it) { return it.sequence <= order.ack; });
  AnswerRenewal(worker, event_queue);
  worker.waiting = std::move(reply);
  if (!worker.ended.empty() || order.wait <= milliseconds{0}) {
    AnswerRenewal(worker, event_queue);
    return;
  }
  After(event_queue, order.wait,
        [&worker, &event_queue, renewal = ++worker.renewals] {
          if (worker.renewals == renewal) {
            AnswerRenewal(worker, event_queue);
          }
        });
}

auto BecomeUnresponsive(ReplayedWorker& worker, const EventQueue& event_queue)
    -> void {
  for (const auto& it : worker.runs) {
    worker.wasted_core_ms += WasteOf(it, event_queue);
  }
  worker.runs.clear();
  if (worker.waiting) {
    std::exchange(worker.waiting, nullptr)(std::nullopt);
  }
}

}  // namespace boragecroft::bench
