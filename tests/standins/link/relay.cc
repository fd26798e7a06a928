#include "tests/standins/link/relay.h"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <optional>

#include "peers/instance/instance_codec.h"

namespace boragecroft::standins {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr size_t kHeaderBytes = 4;

auto FrameLength(const std::string& header) -> size_t {
  size_t n = 0;
  for (const auto it : header) {
    n = (n << 8U) | static_cast<uint8_t>(it);
  }
  return n;
}

auto Frame(const std::string& message) -> std::string {
  std::string frame;
  for (const auto shift : {24U, 16U, 8U, 0U}) {
    frame.push_back(static_cast<char>((message.size() >> shift) & 0xFFU));
  }
  return frame + message;
}

// Replaces the sender's address in a heartbeat by the address at which the
// receiver's zone reaches that sender. Returns other messages unchanged, and
// nothing when the receiver's zone has no link to the sender yet.
auto TranslateSenderAddress(const Network& network,
                            const Link& link,
                            const std::string& bytes)
    -> std::optional<std::string> {
  auto message = DecodePeerMessage(bytes);
  auto* heartbeat = message ? std::get_if<Heartbeat>(&message->body) : nullptr;
  if (heartbeat == nullptr) {
    return bytes;
  }
  for (const auto& it : network.links) {
    if (it->from_zone == link.to_zone && it->target == heartbeat->address) {
      heartbeat->address = it->address;
      return EncodePeerMessage(*message);
    }
  }
  return std::nullopt;
}

}  // namespace

// One connection from an instance of one zone to an instance of another zone,
// through a link.
class Relay : public std::enable_shared_from_this<Relay> {
 public:
  Relay(Network& network, Link& link, tcp::socket socket)
      : network_(network),
        link_(link),
        source_(std::move(socket)),
        target_(network.context) {}

  auto Start() -> void {
    const tcp::endpoint endpoint(asio::ip::make_address(link_.target.ip),
                                 link_.target.port);
    target_.async_connect(
        endpoint, [self = shared_from_this()](boost::system::error_code ec) {
          if (ec) {
            self->Close();
            return;
          }
          self->WatchTarget();
          self->ReadHeader();
        });
  }

  auto Stall() -> void { stalled_ = true; }

  // Closes the connection if frames were dropped on it, because its stream of
  // messages is then incomplete. A stalled connection stays as it is.
  auto CloseIfBytesWereLost() -> void {
    if (bytes_lost_ && !stalled_) {
      Close();
    }
  }

  auto Close() -> void {
    boost::system::error_code ec;
    source_.close(ec);
    target_.close(ec);
  }

 private:
  auto WatchTarget() -> void {
    target_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](boost::system::error_code) {
                         // The target never sends on this connection, so
                         // readable means that it closed the connection. In a
                         // partition the source could not see that.
                         if (!self->stalled_ && !self->link_.partitioned) {
                           self->Close();
                         }
                       });
  }

  auto ReadHeader() -> void {
    buf_.resize(kHeaderBytes);
    asio::async_read(
        source_, asio::buffer(buf_),
        [self = shared_from_this()](boost::system::error_code ec, size_t) {
          if (ec) {
            self->Close();
            return;
          }
          self->ReadBody();
        });
  }

  auto ReadBody() -> void {
    buf_.resize(FrameLength(buf_));
    asio::async_read(
        source_, asio::buffer(buf_),
        [self = shared_from_this()](boost::system::error_code ec, size_t) {
          if (ec) {
            self->Close();
            return;
          }
          self->OnFrame();
        });
  }

  auto OnFrame() -> void {
    if (stalled_ || link_.partitioned) {
      bytes_lost_ = true;
      ReadHeader();
      return;
    }
    const auto message = TranslateSenderAddress(network_, link_, buf_);
    if (!message) {
      ReadHeader();
      return;
    }
    out_ = Frame(*message);
    asio::async_write(
        target_, asio::buffer(out_),
        [self = shared_from_this()](boost::system::error_code ec, size_t) {
          if (ec) {
            self->Close();
            return;
          }
          self->ReadHeader();
        });
  }

  Network& network_;
  Link& link_;
  tcp::socket source_;
  tcp::socket target_;
  std::string buf_;
  std::string out_;
  bool stalled_ = false;
  bool bytes_lost_ = false;
};

namespace {

auto Accept(Network& network, Link& link) -> void {
  link.acceptor.async_accept(
      [&network, &link](boost::system::error_code ec, tcp::socket socket) {
        if (ec) {
          return;
        }
        auto relay = std::make_shared<Relay>(network, link, std::move(socket));
        std::erase_if(link.relays, [](const auto& it) { return it.expired(); });
        link.relays.push_back(relay);
        relay->Start();
        Accept(network, link);
      });
}

}  // namespace

auto AddLink(Network& network,
             const std::string& from_zone,
             const std::string& to_zone,
             const Address& target) -> Address {
  auto link = std::make_unique<Link>(network.context);
  link->from_zone = from_zone;
  link->to_zone = to_zone;
  link->target = target;
  const tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
  link->acceptor.open(any.protocol());
  link->acceptor.bind(any);
  link->acceptor.listen();
  link->address = Address{.ip = "127.0.0.1",
                          .port = link->acceptor.local_endpoint().port()};
  Accept(network, *link);
  network.links.push_back(std::move(link));
  return network.links.back()->address;
}

auto SetMode(Link& link, LinkMode mode) -> void {
  link.partitioned = mode == LinkMode::kPartitioned;
  for (const auto& it : link.relays) {
    const auto relay = it.lock();
    if (relay && mode == LinkMode::kStalled) {
      relay->Stall();
    } else if (relay && mode == LinkMode::kOpen) {
      relay->CloseIfBytesWereLost();
    }
  }
}

}  // namespace boragecroft::standins
