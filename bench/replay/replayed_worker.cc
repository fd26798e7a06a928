#include "bench/replay/replayed_worker.h"

#include <algorithm>

namespace boragecroft::bench {
namespace {

const Instant kDayBegin = Agenda().now;

auto MomentOf(const Agenda& agenda) -> microseconds {
  return agenda.now - kDayBegin;
}

auto IsSilent(const ReplayedWorker& worker,
              const Agenda& agenda,
              const Day& day) -> bool {
  return HasTrouble(day, worker.index, WorkerTrouble::kSilent,
                    MomentOf(agenda));
}

auto ReportOf(const ReplayedWorker& worker, const Agenda& agenda)
    -> HoldReport {
  HoldReport out;
  out.born = milliseconds{1000};
  out.clock =
      std::chrono::duration_cast<milliseconds>(agenda.now.time_since_epoch());
  for (const auto& it : worker.runs) {
    out.running.push_back({.task = it.task, .attempt = it.attempt});
  }
  out.ended = worker.ended;
  return out;
}

auto AnswerHold(ReplayedWorker& worker, const Agenda& agenda) -> void {
  if (!worker.waiting) {
    return;
  }
  const auto reply = std::exchange(worker.waiting, nullptr);
  reply(ReportOf(worker, agenda));
}

auto NoteEnd(ReplayedWorker& worker, size_t index, RunEnd end) -> void {
  const auto run = worker.runs[index];
  worker.runs.erase(worker.runs.begin() + static_cast<std::ptrdiff_t>(index));
  worker.ended.push_back({.sequence = ++worker.sequence,
                          .task = run.task,
                          .attempt = run.attempt,
                          .end = end});
}

auto WasteOf(const ReplayedRun& run, const Agenda& agenda) -> double {
  const auto time =
      std::chrono::duration<double, std::milli>(agenda.now - run.started);
  return time.count() * static_cast<double>(run.room.cpu_millis) / 1000;
}

auto EndAsDone(ReplayedWorker& worker, const Agenda& agenda, uint64_t life)
    -> void {
  for (size_t i = 0; i < worker.runs.size(); ++i) {
    if (worker.runs[i].life == life) {
      NoteEnd(worker, i, RunEnd::kDone);
      AnswerHold(worker, agenda);
      return;
    }
  }
}

auto UsedRoom(const ReplayedWorker& worker) -> Room {
  Room used;
  for (const auto& it : worker.runs) {
    used += it.room;
  }
  return used;
}

}  // namespace

auto StartRun(ReplayedWorker& worker,
              Agenda& agenda,
              const Day& day,
              const StartCommand& order,
              const Room& room,
              microseconds work) -> std::optional<OrderAnswer> {
  if (IsSilent(worker, agenda, day)) {
    return std::nullopt;
  }
  if (!Fits(worker.day.capacity, UsedRoom(worker), room)) {
    ++worker.overfull;
  }
  const auto life = ++worker.lives;
  worker.runs.push_back({.task = order.task,
                         .attempt = order.attempt,
                         .room = room,
                         .started = agenda.now,
                         .life = life});
  const auto at = MomentOf(agenda);
  if (!HasTrouble(day, worker.index, WorkerTrouble::kStuck, at)) {
    const auto time = static_cast<double>(work.count()) *
                      SlownessAt(day, worker.index, at) / worker.day.speed;
    After(agenda, microseconds(static_cast<int64_t>(time)),
          [&worker, &agenda, life] { EndAsDone(worker, agenda, life); });
  }
  return OrderAnswer::kAccepted;
}

auto EndRun(ReplayedWorker& worker,
            Agenda& agenda,
            const Day& day,
            const StopCommand& order) -> std::optional<OrderAnswer> {
  if (IsSilent(worker, agenda, day)) {
    return std::nullopt;
  }
  for (size_t i = 0; i < worker.runs.size(); ++i) {
    const auto& run = worker.runs[i];
    if (run.task == order.task && run.attempt == order.attempt) {
      worker.wasted_core_ms += WasteOf(run, agenda);
      NoteEnd(worker, i, RunEnd::kStopped);
      AnswerHold(worker, agenda);
      break;
    }
  }
  return OrderAnswer::kAccepted;
}

auto HoldWorker(ReplayedWorker& worker,
                Agenda& agenda,
                const Day& day,
                const HoldCommand& order,
                HoldReply reply) -> void {
  if (IsSilent(worker, agenda, day)) {
    reply(std::nullopt);
    return;
  }
  std::erase_if(worker.ended,
                [&](const EndedRun& it) { return it.sequence <= order.ack; });
  AnswerHold(worker, agenda);
  worker.waiting = std::move(reply);
  if (!worker.ended.empty() || order.wait <= milliseconds{0}) {
    AnswerHold(worker, agenda);
    return;
  }
  After(agenda, order.wait, [&worker, &agenda, hold = ++worker.holds] {
    if (worker.holds == hold) {
      AnswerHold(worker, agenda);
    }
  });
}

auto Silence(ReplayedWorker& worker, const Agenda& agenda) -> void {
  for (const auto& it : worker.runs) {
    worker.wasted_core_ms += WasteOf(it, agenda);
  }
  worker.runs.clear();
  if (worker.waiting) {
    std::exchange(worker.waiting, nullptr)(std::nullopt);
  }
}

}  // namespace boragecroft::bench
