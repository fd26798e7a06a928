// Wakes the dispatcher's thread when one of its rings has something, or when
// time is up.
#ifndef MAIN_DAEMON_DOORBELL_H_
#define MAIN_DAEMON_DOORBELL_H_

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace boragecroft {

class Doorbell {
 public:
  auto Ring() -> void {
    {
      const std::lock_guard lock(mutex_);
      rung_ = true;
    }
    condition_.notify_one();
  }

  // Returns once rung since the last return, or after `timeout`.
  auto Wait(std::chrono::milliseconds timeout) -> void {
    std::unique_lock lock(mutex_);
    condition_.wait_for(lock, timeout, [this] { return rung_; });
    rung_ = false;
  }

 private:
  std::mutex mutex_;
  std::condition_variable condition_;
  bool rung_ = false;
};

}  // namespace boragecroft

#endif  // MAIN_DAEMON_DOORBELL_H_
