// A TCP connection that carries messages in both directions, each preceded by
// its length. Messages that are queued during a write are sent together in the
// next write.
#ifndef CORE_NET_FRAMED_CONNECTION_H_
#define CORE_NET_FRAMED_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/base/clock.h"

namespace boragecroft {

class FramedConnection : public std::enable_shared_from_this<FramedConnection> {
 public:
  struct Callbacks {
    std::function<void(std::string_view message)> on_message;
    // Called once when the connection ends because of the peer, the network or
    // an exceeded size limit, but not after Close().
    std::function<void(boost::system::error_code ec)> on_closed;
    // Called when more memory was taken for a message that is not complete or
    // not sent.
    // Optional.
    std::function<void()> on_growth;
  };

  // `socket` must be connected.
  FramedConnection(boost::asio::ip::tcp::socket socket, Callbacks callbacks);

  auto Start() -> void;
  auto Send(std::string_view message) -> void;
  // Closes the connection if the peer announces a longer message from now on.
  auto SetMaxMessageBytes(uint32_t bytes) -> void;
  // Returns the memory that received bytes and unsent messages take.
  auto HeldBytes() const -> size_t;
  // Closes the connection and discards messages that were not sent.
  auto Close() -> void;
  auto IsOpen() const -> bool { return open_; }
  // Returns the time at which bytes last arrived from the peer, or the time of
  // construction when none have arrived.
  auto LastHeard() const -> Instant { return last_heard_; }

 private:
  auto Read() -> void;
  auto OnRead(boost::system::error_code ec, size_t n) -> void;
  auto DeliverMessages() -> void;
  auto Write() -> void;
  auto CloseWithError(boost::system::error_code ec) -> void;

  boost::asio::ip::tcp::socket socket_;
  Callbacks callbacks_;
  std::string input_;
  size_t filled_ = 0;  // number of bytes of input_ that hold data
  std::string queued_;
  std::string writing_;
  Instant last_heard_;
  uint32_t max_message_bytes_;
  bool open_ = true;
};

}  // namespace boragecroft

#endif  // CORE_NET_FRAMED_CONNECTION_H_
