// A bounded queue between two event loop threads. TryPush() reports a full ring
// to the producer, which refuses or retries, so no item is dropped.
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
  // `wake` is called on the producer's thread after each push into an empty
  // ring, and must cause the consumer to call Drain().
  BoundedRing(size_t capacity, std::function<void()> wake)
      : wake_(std::move(wake)), items_(capacity) {}

  // Appends `item`. Returns false and leaves `item` unchanged when the ring is
  // full.
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

  // Moves all queued items to the end of `out`, in the order of their pushes.
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
