// Runs the event loop of an entry instance.
#ifndef MAIN_ENTRY_EVENT_LOOP_H_
#define MAIN_ENTRY_EVENT_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <functional>

namespace boragecroft {

// Runs the loop until it is stopped. When the handler of an event throws,
// `on_exception` is called and the loop goes on with the next event: one
// message that cannot be handled must not end the process.
auto RunEventLoop(boost::asio::io_context& context,
                  const std::function<void(const char* reason)>& on_exception)
    -> void;

}  // namespace boragecroft

#endif  // MAIN_ENTRY_EVENT_LOOP_H_
