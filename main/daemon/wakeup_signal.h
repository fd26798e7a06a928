// Wakes the dispatcher's thread when one of its rings has an item.
#ifndef MAIN_DAEMON_WAKEUP_SIGNAL_H_
#define MAIN_DAEMON_WAKEUP_SIGNAL_H_

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace boragecroft {

class WakeupSignal {
 public:
  // Ends the present or next wait; safe to call from any thread.
  auto Notify() -> void {
    {
      const std::lock_guard lock(mutex_);
      notified_ = true;
    }
    condition_.notify_one();
  }

  // Returns when Notify was called since the last return, or after `timeout`.
  auto Wait(std::chrono::milliseconds timeout) -> void {
    std::unique_lock lock(mutex_);
    condition_.wait_for(lock, timeout, [this] { return notified_; });
    notified_ = false;
  }

 private:
  std::mutex mutex_;
  std::condition_variable condition_;
  bool notified_ = false;
};

}  // namespace boragecroft

#endif  // MAIN_DAEMON_WAKEUP_SIGNAL_H_
