// Manages the connections between instances over which jobs are handed over to
// the holders of groups of workers. An instance keeps a connection open to each
// group holder, and heartbeats let both sides detect quickly that the other has
// terminated or become unresponsive.
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

// The number of a connection. Numbers are not reused, and 0 means that there is
// no connection.
using LinkId = uint64_t;

// Why a connection ended.
enum class LinkEnd : uint8_t {
  kReset,         // the peer's process or its host closed the connection
  kUnresponsive,  // nothing was received within the heartbeat timeout
};

// Why a connection attempt failed: the peer's host refused it, or the peer did
// not answer.
enum class ConnectFailure : uint8_t { kRefused, kNoAnswer };

// The interval between calls of HandoverLink::SendHeartbeats.
inline constexpr milliseconds kHeartbeatInterval{200};
// Time after the last message of a peer from which its connection counts as
// lost. Allows two heartbeats and their replies to be late. The length of the
// scheduler's task leases depends on it.
inline constexpr milliseconds kHeartbeatTimeout{500};
// Most connections of one instance to its peers. Each holder has one from every
// other instance, and sites of 1,000 instances are planned for.
inline constexpr size_t kDefaultMaxLinks = 1100;

// Functions that a HandoverLink calls to report events.
struct HandoverLinkCallbacks {
  // Called when the hello message of the peer has been received. `opened` is
  // true when this side opened the connection.
  std::function<void(LinkId, const InstanceRef& peer, bool opened)> on_open;
  std::function<void(LinkId, HandoverMessage)> on_message;
  // `lost_at` is when the connection counts as lost. For an unresponsive peer
  // that is the end of the heartbeat timeout, which may be a heartbeat interval
  // ago.
  std::function<void(LinkId, LinkEnd, Instant lost_at)> on_end;
  std::function<void(const Address&, ConnectFailure)> on_connect_failed;
};

namespace detail {
struct HandoverLinkState;
}

// The open connections of one instance to its peers.
class HandoverLink {
 public:
  // Starts to listen on the address of `self`. The text of an error contains
  // that address. If the port is 0, the system chooses one, and Self() returns
  // it. Peers are told `advertised` instead, if given. Over `max_links`
  // connections, those that have not said who opened them are closed first.
  static auto Listen(boost::asio::io_context& context,
                     InstanceRef self,
                     HandoverLinkCallbacks callbacks,
                     const std::optional<Address>& advertised = std::nullopt,
                     size_t max_links = kDefaultMaxLinks)
      -> Result<std::unique_ptr<HandoverLink>, std::string>;
  ~HandoverLink();
  HandoverLink(const HandoverLink&) = delete;
  auto operator=(const HandoverLink&) -> HandoverLink& = delete;

  // Returns this instance with the address that peers are told.
  auto Self() const -> const InstanceRef&;
  // Returns the port on which this instance listens.
  auto Port() const -> uint16_t;
  // Opens a connection to `peer` unless one is open or being opened. Reports a
  // failure through `on_connect_failed` and does not retry; the caller has to.
  auto Connect(const Address& peer) -> void;
  // Closes the connection that this side opened to `peer`, if any, without
  // calling a callback.
  auto Disconnect(const Address& peer) -> void;
  // Returns the connection that this side opened to `peer`, or 0 when there is
  // none or the hello message of the peer has not arrived on it.
  auto LinkTo(const Address& peer) const -> LinkId;
  // Returns when data last arrived on the connection, or nothing when the
  // connection is not open.
  auto LastHeard(LinkId link) const -> std::optional<Instant>;
  // Ends every connection as unresponsive, calling `on_end` for each. Messages
  // that have arrived and were not delivered yet are dropped.
  auto EndAll() -> void;
  // Sends the message, or drops it when the connection is not open.
  auto Send(LinkId link, const HandoverMessage& message) -> void;
  // Sends the message on every open connection.
  auto Broadcast(const HandoverMessage& message) -> void;
  // Ends the connections whose heartbeat timeout has expired, and sends
  // `heartbeat` on the others that this side opened. Must be called every
  // kHeartbeatInterval.
  auto SendHeartbeats(const HeartbeatMessage& heartbeat) -> void;

 private:
  explicit HandoverLink(std::shared_ptr<detail::HandoverLinkState> state);

  std::shared_ptr<detail::HandoverLinkState> state_;
};

}  // namespace boragecroft

#endif  // PEERS_HANDOVER_HANDOVER_LINK_H_
