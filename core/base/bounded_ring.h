// A bounded queue between two duty threads. A full ring is reported to the
// producer, which refuses or retries: nothing is dropped.
#ifndef CORE_BASE_BOUNDED_RING_H_
#define CORE_BASE_BOUNDED_RING_H_

#include <boost/circular_buffer.hpp>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace boragecroft {

template <class T>
class BoundedRing {
 public:
  // `wake` is called after a push into an empty ring, on the producer's thread;
  // it must make the consumer drain.
  BoundedRing(size_t capacity, std::function<void()> wake)
      : wake_(std::move(wake)), items_(capacity) {}

  // False when the ring is full; `item` is then unchanged.
  auto TryPush(T&& item) -> bool {
    auto was_empty = false;
    {
      const std::lock_guard lock(mutex_);
      if (items_.full()) {
        return false;
      }
      was_empty = items_.empty();
      items_.push_back(std::move(item));
    }
    if (was_empty) {
      wake_();
    }
    return true;
  }

  // Moves everything that waits to the end of `out`.
  auto Drain(std::vector<T>& out) -> void {
    const std::lock_guard lock(mutex_);
    for (auto& it : items_) {
      out.push_back(std::move(it));
    }
    items_.clear();
  }

  auto Size() const -> size_t {
    const std::lock_guard lock(mutex_);
    return items_.size();
  }

 private:
  const std::function<void()> wake_;
  mutable std::mutex mutex_;
  boost::circular_buffer<T> items_;
};

}  // namespace boragecroft

#endif  // CORE_BASE_BOUNDED_RING_H_
