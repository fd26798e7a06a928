// Manages the HTTP connections to endpoints. The event loop of one thread
// serves all of them.
#ifndef PEERS_ENDPOINT_ENDPOINT_CLIENT_H_
#define PEERS_ENDPOINT_ENDPOINT_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "peers/endpoint/endpoint_messages.h"

namespace boragecroft {

namespace detail {
struct EndpointPool;
}

// Sends commands to endpoints and reports their outcomes.
class EndpointClient {
 public:
  // `on_outcome` is called on the thread of the event loop: once for each
  // StartAttempt that is not abandoned, and once for each QueryAttempt.
  EndpointClient(boost::asio::io_context& context,
                 std::function<void(AttemptOutcome)> on_outcome);
  ~EndpointClient();
  EndpointClient(const EndpointClient&) = delete;
  auto operator=(const EndpointClient&) -> EndpointClient& = delete;

  // Sends the command. Must be called on the thread of the event loop.
  auto Execute(EndpointCommand command) -> void;

 private:
  std::shared_ptr<detail::EndpointPool> pool_;
};

}  // namespace boragecroft

#endif  // PEERS_ENDPOINT_ENDPOINT_CLIENT_H_
