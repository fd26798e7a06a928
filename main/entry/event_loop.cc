#include "main/entry/event_loop.h"

#include <exception>

namespace boragecroft {

auto RunEventLoop(boost::asio::io_context& context,
                  const std::function<void(const char* reason)>& on_exception)
    -> void {
  while (true) {
    try {
      context.run();
      return;
    } catch (const std::exception& e) {
      on_exception(e.what());
    }
  }
}

}  // namespace boragecroft
