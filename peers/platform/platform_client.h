// Manages the HTTP connections to the platform. The event loop of one thread
// serves all of them.
#ifndef PEERS_PLATFORM_PLATFORM_CLIENT_H_
#define PEERS_PLATFORM_PLATFORM_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "core/base/address.h"
#include "core/http/http_connection.h"
#include "peers/platform/platform_messages.h"

namespace boragecroft {

// Sends commands to the platform and reports their outcomes.
class PlatformClient {
 public:
  // `on_outcome` is called once for each command, on the thread of the event
  // loop. `timeout` applies to connecting and to the exchange.
  PlatformClient(boost::asio::io_context& context,
                 Address platform,
                 milliseconds timeout,
                 std::function<void(PlatformOutcome)> on_outcome);

  // Sends the command. Must be called on the thread of the event loop.
  auto Execute(const PlatformCommand& command) -> void;

 private:
  auto TakeConnection() -> std::shared_ptr<HttpConnection>;

  boost::asio::io_context& context_;
  const Address platform_;
  const milliseconds timeout_;
  const std::function<void(PlatformOutcome)> on_outcome_;
  std::vector<std::shared_ptr<HttpConnection>> idle_;
};

}  // namespace boragecroft

#endif  // PEERS_PLATFORM_PLATFORM_CLIENT_H_
