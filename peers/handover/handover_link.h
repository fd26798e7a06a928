// The connections between instances over which jobs are handed over. An
// instance keeps a connection open to each holder of a group; heartbeats tell
// both sides soon when the other is gone or silent.
#ifndef PEERS_HANDOVER_HANDOVER_LINK_H_
#define PEERS_HANDOVER_HANDOVER_LINK_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/base/result.h"
#include "peers/handover/handover_messages.h"

namespace boragecroft {

// One open connection; never used again. 0 is no connection.
using LinkId = uint64_t;

enum class LinkEnd : uint8_t {
  kReset,         // the peer's process or its host ended it
  kUnresponsive,  // nothing was heard for too long
};

enum class ConnectFailure : uint8_t { kRefused, kNoAnswer };

struct HandoverLinkCallbacks {
  // The peer has said who it is. `opened`: by this side.
  std::function<void(LinkId, const InstanceRef& peer, bool opened)> on_open;
  std::function<void(LinkId, HandoverMessage)> on_message;
  std::function<void(LinkId, LinkEnd)> on_end;
  std::function<void(const Address&, ConnectFailure)> on_connect_failed;
};

namespace detail {
struct HandoverLinkState;
}

class HandoverLink {
 public:
  // Starts to listen on the address of `self`; a failure names it. With port 0
  // the system chooses one, which Self() tells.
  static auto Listen(boost::asio::io_context& context,
                     InstanceRef self,
                     HandoverLinkCallbacks callbacks)
      -> Result<std::unique_ptr<HandoverLink>, std::string>;
  ~HandoverLink();
  HandoverLink(const HandoverLink&) = delete;
  auto operator=(const HandoverLink&) -> HandoverLink& = delete;

  auto Self() const -> const InstanceRef&;
  // Opens a connection unless one is open or being opened. Each failure is
  // reported; trying again is the caller's matter.
  auto Connect(const Address& peer) -> void;
  // Closes the connection that this side opened to `peer`, if any, without a
  // report.
  auto Disconnect(const Address& peer) -> void;
  // The connection that this side opened to `peer` and on which it answered.
  auto LinkTo(const Address& peer) const -> LinkId;
  // When the peer was last heard on an open connection.
  auto LastHeard(LinkId link) const -> std::optional<Instant>;
  auto Send(LinkId link, const HandoverMessage& message) -> void;
  // To every open connection.
  auto Broadcast(const HandoverMessage& message) -> void;
  // Sends `heartbeat` on the connections opened here, and ends the silent ones.
  // Call at regular intervals.
  auto SendHeartbeats(const HeartbeatMessage& heartbeat) -> void;

 private:
  explicit HandoverLink(std::shared_ptr<detail::HandoverLinkState> state);

  std::shared_ptr<detail::HandoverLinkState> state_;
};

// How often to call Beat.
inline constexpr milliseconds kHeartbeatInterval{200};

}  // namespace boragecroft

#endif  // PEERS_HANDOVER_HANDOVER_LINK_H_
