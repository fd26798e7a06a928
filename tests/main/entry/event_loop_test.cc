#include "main/entry/event_loop.h"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace boragecroft {
namespace {

// Guards against the end of a process by one event that cannot be handled.
TEST(EventLoop, GoesOnAfterHandlerThrows) {
  boost::asio::io_context context;
  std::vector<std::string> events;
  boost::asio::post(context, [] { throw std::runtime_error("odd message"); });
  boost::asio::post(context, [&] { events.emplace_back("next"); });
  RunEventLoop(context,
               [&](const char* reason) { events.emplace_back(reason); });
  EXPECT_EQ(events, (std::vector<std::string>{"odd message", "next"}));
}

}  // namespace
}  // namespace boragecroft
