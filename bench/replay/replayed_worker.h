// Simulates one worker: it runs tasks at its speed, answers lease renewals when
// a run ends, and is slow, unresponsive or stuck during the fault periods of
// the workload.
#ifndef BENCH_REPLAY_REPLAYED_WORKER_H_
#define BENCH_REPLAY_REPLAYED_WORKER_H_

#include <functional>
#include <optional>
#include <vector>

#include "bench/replay/event_queue.h"
#include "bench/replay/workload.h"
#include "servers/scheduling/scheduler.h"

namespace boragecroft::bench {

struct ReplayedRun {
  TaskName task;
  uint32_t attempt = 0;
  Resources resources;
  Instant started;
  uint64_t run_id = 0;  // distinguishes its end from that of an earlier run
};

// Receives the answer to a renewal; no report when there was no answer.
using RenewReply = std::function<void(std::optional<RunReport>)>;

struct ReplayedWorker {
  WorkloadWorker description;
  size_t index = 0;
  std::vector<ReplayedRun> runs;
  std::vector<EndedRun> ended;
  uint64_t sequence = 0;
  uint64_t runs_started = 0;
  uint64_t renewals = 0;      // counted to ignore old time-outs
  RenewReply waiting;         // reply of the renewal that waits for an end
  double wasted_core_ms = 0;  // work of runs that did not end as done
  uint32_t starts_over_capacity = 0;  // starts that exceeded its capacity;
                                      // always 0 if the scheduler is correct
};

// Starts a run of `work`. Returns nothing when the order gets no answer.
auto StartRun(ReplayedWorker& worker,
              EventQueue& event_queue,
              const Workload& workload,
              const StartCommand& order,
              const Resources& resources,
              microseconds work) -> std::optional<OrderAnswer>;
auto EndRun(ReplayedWorker& worker,
            EventQueue& event_queue,
            const Workload& workload,
            const StopCommand& order) -> std::optional<OrderAnswer>;
auto RenewLease(ReplayedWorker& worker,
                EventQueue& event_queue,
                const Workload& workload,
                const RenewCommand& order,
                RenewReply reply) -> void;
// Ends all runs as lost, and leaves a waiting renewal without an answer.
auto BecomeUnresponsive(ReplayedWorker& worker, const EventQueue& event_queue)
    -> void;

}  // namespace boragecroft::bench

#endif  // BENCH_REPLAY_REPLAYED_WORKER_H_
