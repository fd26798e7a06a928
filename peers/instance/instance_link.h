// The connections between instances. Each instance sends on connections that it
// opened and only reads on those that it accepted, so a connection that goes
// silent affects one direction, and its sender can replace it alone.
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

class InstanceLink {
 public:
  // Starts to listen; `on_message` is called on the thread of the event loop. A
  // failure names the address.
  static auto Listen(boost::asio::io_context& context,
                     const Address& address,
                     std::function<void(PeerMessage)> on_message)
      -> Result<std::unique_ptr<InstanceLink>, std::string>;
  ~InstanceLink();
  InstanceLink(const InstanceLink&) = delete;
  auto operator=(const InstanceLink&) -> InstanceLink& = delete;

  auto Port() const -> uint16_t;
  // Call on the thread of the event loop. A message to a peer that can't be
  // reached is dropped: the dispatcher's time limits settle what depended on
  // it.
  auto Execute(PeerCommand command) -> void;
  // Messages that wait to be sent. Call on the thread of the event loop.
  auto UnsentMessages() const -> size_t;

 private:
  explicit InstanceLink(std::shared_ptr<detail::InstanceLinkState> state);

  std::shared_ptr<detail::InstanceLinkState> state_;
};

}  // namespace boragecroft

#endif  // PEERS_INSTANCE_INSTANCE_LINK_H_
