// The producer's side of a ring whose items must not be lost: items that do not
// fit into the ring wait here in their order.
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

  // Pushes the waiting items while the ring has space. Returns true when no
  // item waits any more.
  auto Flush() -> bool {
    while (!waiting.empty() && ring.TryPush(std::move(waiting.front()))) {
      waiting.pop_front();
    }
    return waiting.empty();
  }

  // Sends the item after those that already wait.
  auto Send(T item) -> void {
    waiting.push_back(std::move(item));
    Flush();
  }

  // Sends all items in their order and clears `items`.
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
