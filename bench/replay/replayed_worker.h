// One worker of a replayed day: runs tasks at its speed, answers holds when
// something ends, and is slow, silent or stuck when the day says so.
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
  uint64_t run_id = 0;  // tells its end from that of an earlier run
};

// Gets the answer to a hold; no report: none came.
using RenewReply = std::function<void(std::optional<RunReport>)>;

struct ReplayedWorker {
  WorkloadWorker description;
  size_t index = 0;
  std::vector<ReplayedRun> runs;
  std::vector<EndedRun> ended;
  uint64_t sequence = 0;
  uint64_t runs_started = 0;  // counts runs
  uint64_t renewals = 0;  // counts holds, so that an old time-out is told apart
  RenewReply waiting;     // a hold that waits for an end
  double wasted_core_ms = 0;  // of runs that did not end as done
  uint32_t starts_over_capacity =
      0;  // starts beyond its capacity: never expected
};

// Starts a run of `work`; nothing: the order gets no answer.
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
// All its runs are lost, and a hold that waits gets no answer.
auto BecomeUnresponsive(ReplayedWorker& worker, const EventQueue& event_queue)
    -> void;

}  // namespace boragecroft::bench

#endif  // BENCH_REPLAY_REPLAYED_WORKER_H_
