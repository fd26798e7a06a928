// What happens when, on the virtual clock of a replayed day.
#ifndef BENCH_REPLAY_AGENDA_H_
#define BENCH_REPLAY_AGENDA_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/base/clock.h"

namespace boragecroft::bench {

struct AgendaEntry {
  Instant at;
  uint64_t order = 0;  // of entries for the same moment
  std::function<void()> action;

  auto operator<(const AgendaEntry& other) const -> bool {
    return std::pair(at, order) > std::pair(other.at, other.order);
  }
};

struct Agenda {
  Instant now = Instant() + seconds(1000);
  uint64_t entries = 0;
  std::priority_queue<AgendaEntry> queue;  // the next one first
};

inline auto After(Agenda& agenda,
                  microseconds time,
                  std::function<void()> action) -> void {
  agenda.queue.push(AgendaEntry{.at = agenda.now + time,
                                .order = agenda.entries++,
                                .action = std::move(action)});
}

// Moves the clock to the next entry and carries it out; false: none is left.
inline auto Advance(Agenda& agenda) -> bool {
  if (agenda.queue.empty()) {
    return false;
  }
  const auto entry = agenda.queue.top();
  agenda.queue.pop();
  agenda.now = entry.at;
  entry.action();
  return true;
}

}  // namespace boragecroft::bench

#endif  // BENCH_REPLAY_AGENDA_H_
