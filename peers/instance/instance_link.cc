#include "peers/instance/instance_link.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/log/log.h"
#include "core/net/connection_pressure.h"
#include "core/net/listening.h"
#include "peers/instance/instance_codec.h"

namespace boragecroft {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace detail {

constexpr size_t kHeaderBytes = 4;
constexpr uint32_t kMaxFrameBytes = 64U << 20U;
constexpr size_t kMaxQueuedBytes = 64U << 20U;
// Memory that incomplete frames of all peers may take together. A single frame
// may be larger; then all others give way.
constexpr size_t kMaxHeldBytes = 32U << 20U;
// A frame gets memory as its bytes arrive, not when its length is stated.
constexpr size_t kFirstPartBytes = 65536;
constexpr milliseconds kAcceptRetryInterval{50};
constexpr milliseconds kLogInterval{1000};
constexpr milliseconds kConnectTimeout{500};
constexpr milliseconds kWriteTimeout{2000};

// Returns the message as a frame: its length in four bytes, most significant
// first, followed by the message.
static auto EncodeFrame(const std::string& message) -> std::string {
  const auto n = static_cast<uint32_t>(message.size());
  std::string frame;
  frame.reserve(kHeaderBytes + message.size());
  for (const auto shift : {24U, 16U, 8U, 0U}) {
    frame.push_back(static_cast<char>((n >> shift) & 0xFFU));
  }
  return frame + message;
}

// Returns the length in bytes that the header of a frame states.
static auto DecodeFrameLength(const std::string& header) -> uint32_t {
  uint32_t n = 0;
  for (size_t i = 0; i < kHeaderBytes; ++i) {
    n = (n << 8U) | static_cast<uint8_t>(header[i]);
  }
  return n;
}

// The connection on which this instance sends to one peer.
class OutgoingConnection
    : public std::enable_shared_from_this<OutgoingConnection> {
 public:
  OutgoingConnection(asio::io_context& context, const Address& peer)
      : socket_(context),
        timer_(context),
        endpoint_(asio::ip::make_address(peer.ip), peer.port) {}

  // Sends the frame, and connects first if necessary. Drops the frame if more
  // than kMaxQueuedBytes would wait to be sent.
  auto Send(std::string frame) -> void {
    if (queued_bytes_ + frame.size() > kMaxQueuedBytes) {
      return;
    }
    queued_bytes_ += frame.size();
    frames_.push_back(std::move(frame));
    if (state_ == State::kClosed) {
      Connect();
    } else if (state_ == State::kIdle) {
      Write();
    }
  }

  auto UnsentMessages() const -> size_t { return frames_.size(); }

  // Closes the connection and drops the frames that wait to be sent.
  auto Close() -> void {
    boost::system::error_code ec;
    socket_.close(ec);
    timer_.cancel();
    frames_.clear();
    queued_bytes_ = 0;
    state_ = State::kClosed;
    ++generation_;
  }

 private:
  enum class State { kClosed, kConnecting, kIdle, kWriting };

  auto Connect() -> void {
    state_ = State::kConnecting;
    ArmTimer(kConnectTimeout);
    socket_.async_connect(endpoint_,
                          [self = shared_from_this(),
                           n = generation_](boost::system::error_code ec) {
                            if (n != self->generation_) {
                              return;
                            }
                            if (ec) {
                              self->Close();
                              return;
                            }
                            self->socket_.set_option(tcp::no_delay(true), ec);
                            self->WatchForClose();
                            self->Write();
                          });
  }

  // Closes this side when the peer has closed the connection. The peer never
  // sends data on it, so the completion of any read means that it was closed.
  auto WatchForClose() -> void {
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this(),
                        n = generation_](boost::system::error_code) {
                         if (n == self->generation_) {
                           self->Close();
                         }
                       });
  }

  auto Write() -> void {
    state_ = State::kWriting;
    ArmTimer(kWriteTimeout);
    asio::async_write(socket_, asio::buffer(frames_.front()),
                      [self = shared_from_this(), n = generation_](
                          boost::system::error_code ec, size_t) {
                        if (n == self->generation_) {
                          self->OnWritten(ec);
                        }
                      });
  }

  auto OnWritten(boost::system::error_code ec) -> void {
    if (ec) {
      Close();
      return;
    }
    queued_bytes_ -= frames_.front().size();
    frames_.pop_front();
    if (!frames_.empty()) {
      Write();
      return;
    }
    timer_.cancel();
    state_ = State::kIdle;
  }

  auto ArmTimer(milliseconds timeout) -> void {
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this(),
                       n = generation_](boost::system::error_code ec) {
      if (!ec && n == self->generation_) {
        self->Close();
      }
    });
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  const tcp::endpoint endpoint_;
  std::deque<std::string> frames_;
  size_t queued_bytes_ = 0;
  // Raised by Close(), so that completions of operations from before are
  // ignored.
  uint64_t generation_ = 0;
  State state_ = State::kClosed;
};

class IncomingConnection;

struct InstanceLinkState {
  InstanceLinkState(asio::io_context& io,
                    std::function<void(PeerMessage)> callback)
      : context(io),
        acceptor(io),
        accept_timer(io),
        max_connections(DivideDescriptors(DescriptorLimit()).instances),
        on_message(std::move(callback)) {}

  asio::io_context& context;
  tcp::acceptor acceptor;
  asio::steady_timer accept_timer;
  const size_t max_connections;
  std::unordered_map<uint64_t, IncomingConnection*> incoming;  // open ones
  uint64_t last_incoming = 0;
  uint64_t dropped = 0;  // connections since the last log line
  Instant drop_logged;
  const std::function<void(PeerMessage)> on_message;
  std::unordered_map<Address, std::shared_ptr<OutgoingConnection>> outgoing;
};

// A connection that a peer opened and on which this instance only reads. It may
// be closed when others need its room: the peer connects again.
class IncomingConnection
    : public std::enable_shared_from_this<IncomingConnection> {
 public:
  IncomingConnection(std::shared_ptr<InstanceLinkState> state,
                     tcp::socket socket)
      : state_(std::move(state)),
        id_(++state_->last_incoming),
        socket_(std::move(socket)) {
    state_->incoming.emplace(id_, this);
  }

  ~IncomingConnection() { state_->incoming.erase(id_); }
  IncomingConnection(const IncomingConnection&) = delete;
  auto operator=(const IncomingConnection&) -> IncomingConnection& = delete;

  auto Start() -> void {
    while (state_->incoming.size() > state_->max_connections &&
           CloseAnother(ChooseForRoom)) {
    }
    ReadHeader();
  }

 private:
  auto ReadHeader() -> void {
    EnterPhase(ConnectionPhase::kIdle);
    if (buf_.capacity() > kFirstPartBytes) {
      buf_ = std::string();
    }
    buf_.resize(kHeaderBytes);
    asio::async_read(
        socket_, asio::buffer(buf_),
        [self = shared_from_this()](boost::system::error_code ec, size_t) {
          if (!ec) {
            self->OnHeader(DecodeFrameLength(self->buf_));
          }
        });
  }

  auto OnHeader(uint32_t n) -> void {
    if (n > kMaxFrameBytes) {
      LogDrop("frame too long");
      return;
    }
    EnterPhase(ConnectionPhase::kReading);
    buf_.clear();
    ReadPart(n);
  }

  // Reads the next part of a frame of `n` bytes. What is in memory at most
  // doubles with each part.
  auto ReadPart(size_t n) -> void {
    const auto filled = buf_.size();
    const auto size = std::min(n, std::max(kFirstPartBytes, 2 * filled));
    if (MakeMemory(size)) {
      // Later, when the closed connections have released their memory.
      asio::post(socket_.get_executor(),
                 [self = shared_from_this(), n] { self->ReadPart(n); });
      return;
    }
    buf_.resize(size);
    asio::async_read(
        socket_, asio::buffer(buf_.data() + filled, size - filled),
        [self = shared_from_this(), n](boost::system::error_code ec, size_t) {
          if (ec) {
            return;
          }
          if (self->buf_.size() < n) {
            self->ReadPart(n);
          } else {
            self->OnFrame();
          }
        });
  }

  auto OnFrame() -> void {
    auto message = DecodePeerMessage(buf_);
    if (!message) {
      LogDrop("frame is unreadable");
      return;
    }
    state_->on_message(std::move(*message));
    ReadHeader();
  }

  auto EnterPhase(ConnectionPhase phase) -> void {
    phase_ = phase;
    phase_began_ = BootClock::now();
  }

  // Closes connections so that this one may hold `size` bytes. Returns whether
  // any was closed.
  auto MakeMemory(size_t size) -> bool {
    auto closed = false;
    while (OthersHold() + size > kMaxHeldBytes &&
           CloseAnother(ChooseForMemory)) {
      closed = true;
    }
    return closed;
  }

  auto OthersHold() const -> size_t {
    size_t held = 0;
    for (const auto& [id, connection] : state_->incoming) {
      held += id == id_ ? 0 : connection->buf_.capacity();
    }
    return held;
  }

  template <class Choice>
  auto CloseAnother(Choice choose) -> bool {
    std::vector<ConnectionUse> uses;
    for (const auto& [id, connection] : state_->incoming) {
      const auto idle = connection->phase_ == ConnectionPhase::kIdle;
      uses.push_back({.id = id,
                      .phase = connection->phase_,
                      .phase_began = connection->phase_began_,
                      .held_bytes = idle ? 0 : connection->buf_.capacity()});
    }
    const auto chosen = choose(uses, id_);
    if (!chosen) {
      return false;
    }
    auto& connection = *state_->incoming.at(*chosen);
    state_->incoming.erase(*chosen);
    boost::system::error_code ec;
    connection.socket_.close(ec);
    LogDrop("room for others");
    return true;
  }

  // At most one log line a second tells of all dropped connections.
  auto LogDrop(const char* reason) -> void {
    ++state_->dropped;
    const auto now = BootClock::now();
    if (now - state_->drop_logged >= kLogInterval) {
      Log(LogLevel::kWarning, "peer_connection_dropped",
          {{"reason", reason}, {"connections", state_->dropped}});
      state_->drop_logged = now;
      state_->dropped = 0;
    }
  }

  const std::shared_ptr<InstanceLinkState> state_;
  const uint64_t id_;
  tcp::socket socket_;
  ConnectionPhase phase_ = ConnectionPhase::kIdle;
  Instant phase_began_;
  std::string buf_;
};

static auto Accept(const std::shared_ptr<InstanceLinkState>& state) -> void {
  state->acceptor.async_accept([state](boost::system::error_code ec,
                                       tcp::socket socket) {
    if (!state->acceptor.is_open()) {
      return;
    }
    if (!ec) {
      std::make_shared<IncomingConnection>(state, std::move(socket))->Start();
      Accept(state);
      return;
    }
    // Without a pause the event loop would do nothing else while the
    // process has no descriptor left.
    state->accept_timer.expires_after(kAcceptRetryInterval);
    state->accept_timer.async_wait([state](boost::system::error_code timer_ec) {
      if (!timer_ec && state->acceptor.is_open()) {
        Accept(state);
      }
    });
  });
}

static auto Run(InstanceLinkState& state, const SendToPeer& command) -> void {
  auto& outgoing = state.outgoing[command.to];
  if (!outgoing) {
    outgoing = std::make_shared<OutgoingConnection>(state.context, command.to);
  }
  outgoing->Send(EncodeFrame(EncodePeerMessage(command.message)));
}

static auto Run(InstanceLinkState& state, const ResetPeerConnection& command)
    -> void {
  const auto it = state.outgoing.find(command.to);
  if (it != state.outgoing.end()) {
    it->second->Close();
  }
}

}  // namespace detail

auto InstanceLink::Listen(asio::io_context& context,
                          const Address& address,
                          std::function<void(PeerMessage)> on_message)
    -> Result<std::unique_ptr<InstanceLink>, std::string> {
  auto state = std::make_shared<detail::InstanceLinkState>(
      context, std::move(on_message));
  BOOST_OUTCOME_TRY(StartListening(state->acceptor, address));
  detail::Accept(state);
  return std::unique_ptr<InstanceLink>(new InstanceLink(std::move(state)));
}

InstanceLink::InstanceLink(std::shared_ptr<detail::InstanceLinkState> state)
    : state_(std::move(state)) {}

InstanceLink::~InstanceLink() {
  boost::system::error_code ec;
  state_->acceptor.close(ec);
  state_->accept_timer.cancel();
}

auto InstanceLink::Port() const -> uint16_t {
  boost::system::error_code ec;
  return state_->acceptor.local_endpoint(ec).port();
}

auto InstanceLink::Execute(PeerCommand command) -> void {
  std::visit([&](const auto& it) { detail::Run(*state_, it); }, command);
}

auto InstanceLink::UnsentMessages() const -> size_t {
  size_t n = 0;
  for (const auto& it : state_->outgoing) {
    n += it.second->UnsentMessages();
  }
  return n;
}

}  // namespace boragecroft
