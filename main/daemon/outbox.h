// The producer's side of a ring whose items must not be lost: what does not fit
// waits here, in order.
#ifndef MAIN_DAEMON_OUTBOX_H_
#define MAIN_DAEMON_OUTBOX_H_

#include <deque>
#include <utility>
#include <vector>

#include "core/base/bounded_ring.h"

namespace boragecroft {

template <class T>
struct Outbox {
  explicit Outbox(BoundedRing<T>& target) : ring(target) {}

  BoundedRing<T>& ring;
  std::deque<T> waiting;

  // Pushes what waits, as far as it fits. True when nothing waits any more.
  auto Flush() -> bool {
    while (!waiting.empty() && ring.TryPush(std::move(waiting.front()))) {
      waiting.pop_front();
    }
    return waiting.empty();
  }

  auto Send(T item) -> void {
    waiting.push_back(std::move(item));
    Flush();
  }

  auto SendAll(std::vector<T>& items) -> void {
    for (auto& it : items) {
      waiting.push_back(std::move(it));
    }
    items.clear();
    Flush();
  }
};

}  // namespace boragecroft

#endif  // MAIN_DAEMON_OUTBOX_H_
