// The connections to endpoints: one duty thread's event loop carries all of
// them.
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

class EndpointClient {
 public:
  // `on_outcome` is called once for each start and each stop, on the thread of
  // the event loop.
  EndpointClient(boost::asio::io_context& context,
                 std::function<void(AttemptOutcome)> on_outcome);
  ~EndpointClient();
  EndpointClient(const EndpointClient&) = delete;
  auto operator=(const EndpointClient&) -> EndpointClient& = delete;

  // Call on the thread of the event loop.
  auto Execute(EndpointCommand command) -> void;

 private:
  std::shared_ptr<detail::EndpointPool> pool_;
};

}  // namespace boragecroft

#endif  // PEERS_ENDPOINT_ENDPOINT_CLIENT_H_
