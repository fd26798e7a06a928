// Manages the connections between instances. Each instance sends on the
// connections that it opened and only reads from those that it accepted. An
// unresponsive connection therefore affects one direction only, and its sender
// can replace it without the other side.
#ifndef PEERS_INSTANCE_INSTANCE_LINK_H_
#define PEERS_INSTANCE_INSTANCE_LINK_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core/base/result.h"
#include "servers/dispatcher/peer_messages.h"

namespace boragecroft {

namespace detail {
struct InstanceLinkState;
}

// Sends messages to peers and receives messages from them.
class InstanceLink {
 public:
  // Starts to listen on `address`. `on_message` is called on the thread of the
  // event loop. The text of an error contains the address.
  static auto Listen(boost::asio::io_context& context,
                     const Address& address,
                     std::function<void(PeerMessage)> on_message)
      -> Result<std::unique_ptr<InstanceLink>, std::string>;
  ~InstanceLink();
  InstanceLink(const InstanceLink&) = delete;
  auto operator=(const InstanceLink&) -> InstanceLink& = delete;

  // Returns the port on which this instance listens.
  auto Port() const -> uint16_t;
  // Runs the command. A message to an unreachable peer is dropped; the timeouts
  // of the dispatcher handle whatever depended on it. Must be called on the
  // thread of the event loop.
  auto Execute(PeerCommand command) -> void;
  // Returns the number of messages that wait to be sent. Must be called on the
  // thread of the event loop.
  auto UnsentMessages() const -> size_t;

 private:
  explicit InstanceLink(std::shared_ptr<detail::InstanceLinkState> state);

  std::shared_ptr<detail::InstanceLinkState> state_;
};

}  // namespace boragecroft

#endif  // PEERS_INSTANCE_INSTANCE_LINK_H_
