// Fixture that drives a scheduler with simulated workers on a virtual clock.
// Each order is answered when the test calls the matching function.
#ifndef TESTS_SERVERS_SCHEDULING_SCHEDULER_FIXTURE_H_
#define TESTS_SERVERS_SCHEDULING_SCHEDULER_FIXTURE_H_

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "servers/scheduling/scheduler.h"

namespace boragecroft {

class SchedulerFixture : public testing::Test {
 protected:
  static constexpr uint64_t kToken = 10 * kTokensPerTerm;

  auto MakeEntry(const std::string& id, int64_t cpu_millis) const
      -> WorkerEntry {
    return WorkerEntry{
        .id = id,
        .service = "letters",
        .address = {.ip = "10.0.0.1", .port = 80},
        .zone = "north",
        .kind = "a",
        .capacity = {.cpu_millis = cpu_millis, .memory_mb = 100'000},
        .started_at = milliseconds{1000}};
  }

  auto MakeOffer(uint64_t name, uint32_t count) const -> JobOffer {
    return JobOffer{.name = JobName{name},
                    .spec = "spec",
                    .kind = "reminder",
                    .service = "letters",
                    .count = count,
                    .needs = {.cpu_millis = 14'000, .memory_mb = 64},
                    .run_estimate = milliseconds{60},
                    .target = milliseconds{60},
                    .slack_factor = 1.6,
                    .max_attempts = 3,
                    .remaining = milliseconds{1500}};
  }

  // Begins a term with `workers`, each of which reports that it runs nothing.
  auto Begin(const std::vector<WorkerEntry>& workers, bool stable = true)
      -> void {
    BeginTerm(state, kToken, workers, stable, now, out);
    for (const auto& it : Take<RenewCommand>()) {
      AnswerRenewal(it, {}, {});
    }
    out.clear();
  }

  auto Offer(JobOffer offer, OriginId origin = 0) -> void {
    OnOffer(state, origin, std::move(offer), now, out);
  }

  auto AdvanceTime(milliseconds time) -> void {
    now += time;
    OnTime(state, now, out);
  }

  // Removes the commands of one type from the pending ones and returns them.
  template <class Command>
  auto Take() -> std::vector<Command> {
    std::vector<Command> taken;
    SchedulerCommands rest;
    for (auto& it : out) {
      if (auto* command = std::get_if<Command>(&it)) {
        taken.push_back(std::move(*command));
      } else {
        rest.push_back(std::move(it));
      }
    }
    out = std::move(rest);
    return taken;
  }

  auto AnswerRenewal(const RenewCommand& order,
                     std::vector<ListedRun> running,
                     std::vector<EndedRun> ended,
                     milliseconds started_at = milliseconds{1000}) -> void {
    RunReport report;
    report.started_at = started_at;
    report.clock =
        std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
    report.running = std::move(running);
    report.ended = std::move(ended);
    OnRenewAnswer(state, order, OrderAnswer::kAccepted, &report, now, now, out);
  }

  auto AnswerStart(const StartCommand& order, OrderAnswer answer) -> void {
    OnStartAnswer(state, order, answer, now, out);
  }

  auto AnswerStop(const StopCommand& order, OrderAnswer answer) -> void {
    OnStopAnswer(state, order, answer, now, out);
  }

  Scheduler state;
  Instant now = Instant() + seconds(100);
  SchedulerCommands out;
};

}  // namespace boragecroft

#endif  // TESTS_SERVERS_SCHEDULING_SCHEDULER_FIXTURE_H_
