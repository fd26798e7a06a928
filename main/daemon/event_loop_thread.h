// A thread that runs one event loop.
#ifndef MAIN_DAEMON_EVENT_LOOP_THREAD_H_
#define MAIN_DAEMON_EVENT_LOOP_THREAD_H_

#include <pthread.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <thread>
#include <utility>

namespace boragecroft {

class EventLoopThread {
 public:
  // The system's tools show at most 15 bytes of `name`.
  explicit EventLoopThread(std::string name)
      : name_(std::move(name)), work_(context_.get_executor()) {}

  ~EventLoopThread() { Stop(); }
  EventLoopThread(const EventLoopThread&) = delete;
  auto operator=(const EventLoopThread&) -> EventLoopThread& = delete;

  auto Context() -> boost::asio::io_context& { return context_; }

  // Starts the thread, which runs what was posted to the event loop.
  auto Start() -> void {
    thread_ = std::thread([this] {
      pthread_setname_np(pthread_self(), name_.substr(0, 15).c_str());
      context_.run();
    });
  }

  // Ends the event loop and joins the thread.
  auto Stop() -> void {
    work_.reset();
    context_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

 private:
  const std::string name_;
  boost::asio::io_context context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::thread thread_;
};

}  // namespace boragecroft

#endif  // MAIN_DAEMON_EVENT_LOOP_THREAD_H_
