// Schedules actions on the virtual clock of a simulation.
#ifndef BENCH_REPLAY_EVENT_QUEUE_H_
#define BENCH_REPLAY_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/base/clock.h"

namespace boragecroft::bench {

struct QueuedEvent {
  Instant at;
  uint64_t order = 0;  // order of events that are due at the same time
  std::function<void()> action;

  auto operator<(const QueuedEvent& other) const -> bool {
    return std::pair(at, order) > std::pair(other.at, other.order);
  }
};

struct EventQueue {
  Instant now = Instant() + seconds(1000);
  uint64_t entries = 0;
  std::priority_queue<QueuedEvent> queue;  // the next event first
};

inline auto After(EventQueue& event_queue,
                  microseconds time,
                  std::function<void()> action) -> void {
  event_queue.queue.push(QueuedEvent{.at = event_queue.now + time,
                                     .order = event_queue.entries++,
                                     .action = std::move(action)});
}

// Advances the clock to the next event and runs it. Returns false when no event
// is left.
inline auto Advance(EventQueue& event_queue) -> bool {
  if (event_queue.queue.empty()) {
    return false;
  }
  const auto entry = event_queue.queue.top();
  event_queue.queue.pop();
  event_queue.now = entry.at;
  entry.action();
  return true;
}

}  // namespace boragecroft::bench

#endif  // BENCH_REPLAY_EVENT_QUEUE_H_
