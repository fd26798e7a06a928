// One worker of a replayed day: runs tasks at its speed, answers holds when
// something ends, and is slow, silent or stuck when the day says so.
#ifndef BENCH_REPLAY_REPLAYED_WORKER_H_
#define BENCH_REPLAY_REPLAYED_WORKER_H_

#include <functional>
#include <optional>
#include <vector>

#include "bench/replay/agenda.h"
#include "bench/replay/day.h"
#include "servers/scheduling/scheduler.h"

namespace boragecroft::bench {

struct ReplayedRun {
  TaskName task;
  uint32_t attempt = 0;
  Room room;
  Instant started;
  uint64_t life = 0;  // tells its end from that of an earlier run
};

// Gets the answer to a hold; no report: none came.
using HoldReply = std::function<void(std::optional<HoldReport>)>;

struct ReplayedWorker {
  DayWorker day;
  size_t index = 0;
  std::vector<ReplayedRun> runs;
  std::vector<EndedRun> ended;
  uint64_t sequence = 0;
  uint64_t lives = 0;  // counts runs
  uint64_t holds = 0;  // counts holds, so that an old time-out is told apart
  HoldReply waiting;   // a hold that waits for an end
  double wasted_core_ms = 0;  // of runs that did not end as done
  uint32_t overfull = 0;      // starts beyond its capacity: never expected
};

// Starts a run of `work`; nothing: the order gets no answer.
auto StartRun(ReplayedWorker& worker,
              Agenda& agenda,
              const Day& day,
              const StartCommand& order,
              const Room& room,
              microseconds work) -> std::optional<OrderAnswer>;
auto EndRun(ReplayedWorker& worker,
            Agenda& agenda,
            const Day& day,
            const StopCommand& order) -> std::optional<OrderAnswer>;
auto HoldWorker(ReplayedWorker& worker,
                Agenda& agenda,
                const Day& day,
                const HoldCommand& order,
                HoldReply reply) -> void;
// All its runs are lost, and a hold that waits gets no answer.
auto Silence(ReplayedWorker& worker, const Agenda& agenda) -> void;

}  // namespace boragecroft::bench

#endif  // BENCH_REPLAY_REPLAYED_WORKER_H_
