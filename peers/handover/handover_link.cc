#include "peers/handover/handover_link.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <limits>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/log/log.h"
#include "core/net/connection_pressure.h"
#include "core/net/framed_connection.h"
#include "core/net/listening.h"
#include "peers/handover/handover_codec.h"

namespace boragecroft {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace detail {

constexpr milliseconds kConnectTimeout{300};
// Within which a connection must have stated who opened it. Peers send their
// hello at once; a machine with a quarter of a core may be slow.
constexpr milliseconds kHelloTimeout{2000};
// The first message of a connection; it has 200 bytes or less.
constexpr uint32_t kMaxHelloBytes = 4096;
// Memory of messages of all peers that are not complete. Messages have up to
// 8 MB, snapshots being the largest.
constexpr size_t kMaxHeldBytes = 24U << 20U;
// Time until connections are accepted again after an error.
constexpr milliseconds kAcceptRetryInterval{50};
constexpr milliseconds kLogInterval{1000};

// One connection to a peer.
struct Link {
  LinkId id = 0;
  std::shared_ptr<FramedConnection> connection;
  Address connected_to;  // the ip is empty if the peer opened the connection
  bool hello_received = false;
  Instant opened;
};

struct HandoverLinkState
    : public std::enable_shared_from_this<HandoverLinkState> {
  HandoverLinkState(asio::io_context& io,
                    InstanceRef instance,
                    HandoverLinkCallbacks calls)
      : context(io),
        acceptor(io),
        accept_timer(io),
        self(std::move(instance)),
        callbacks(std::move(calls)) {}

  asio::io_context& context;
  tcp::acceptor acceptor;
  asio::steady_timer accept_timer;
  size_t max_links = kDefaultMaxLinks;
  uint64_t dropped_links = 0;  // since the last log line
  Instant drop_logged;
  InstanceRef self;
  const HandoverLinkCallbacks callbacks;
  std::unordered_map<LinkId, Link> links;
  // The connections that this side opened; 0 while connecting.
  std::unordered_map<Address, LinkId> outgoing;
  LinkId last_id = 0;
};

static auto RemoveLink(HandoverLinkState& state, LinkId id) -> void {
  const auto it = state.links.find(id);
  if (it == state.links.end()) {
    return;
  }
  const auto outgoing = state.outgoing.find(it->second.connected_to);
  if (outgoing != state.outgoing.end() && outgoing->second == id) {
    state.outgoing.erase(outgoing);
  }
  it->second.connection->Close();
  state.links.erase(it);
}

static auto EndLink(HandoverLinkState& state, LinkId id, LinkEnd end) -> void {
  const auto it = state.links.find(id);
  if (it == state.links.end()) {
    return;
  }
  const auto lost_at =
      end == LinkEnd::kReset
          ? BootClock::now()
          : it->second.connection->LastHeard() + kHeartbeatTimeout;
  const auto hello_received = it->second.hello_received;
  const auto connected_to = it->second.connected_to;
  RemoveLink(state, id);
  if (hello_received) {
    state.callbacks.on_end(id, end, lost_at);
  } else if (!connected_to.ip.empty()) {
    state.callbacks.on_connect_failed(connected_to, ConnectFailure::kNoAnswer);
  }
}

static auto ListUses(const HandoverLinkState& state)
    -> std::vector<ConnectionUse> {
  std::vector<ConnectionUse> uses;
  for (const auto& [id, link] : state.links) {
    const auto held = link.connection->HeldBytes();
    const auto identified =
        link.hello_received || !link.connected_to.ip.empty();
    uses.push_back({.id = id,
                    .phase = identified ? ConnectionPhase::kInProgress
                                        : ConnectionPhase::kReading,
                    .phase_began = link.opened,
                    .held_bytes = held});
  }
  return uses;
}

// Ends a connection that passed a limit. At most one log line a second tells of
// all of them.
static auto DropLink(HandoverLinkState& state, LinkId id, const char* reason)
    -> void {
  ++state.dropped_links;
  const auto now = BootClock::now();
  if (now - state.drop_logged >= kLogInterval) {
    Log(LogLevel::kWarning, "handover_link_dropped",
        {{"reason", reason}, {"links", state.dropped_links}});
    state.drop_logged = now;
    state.dropped_links = 0;
  }
  EndLink(state, id, LinkEnd::kReset);
}

// Makes room for one more connection. Returns false when every connection is
// one to a known peer.
static auto MakeRoom(HandoverLinkState& state) -> bool {
  while (state.links.size() >= state.max_links) {
    const auto chosen = ChooseForRoom(ListUses(state), 0);
    if (!chosen) {
      return false;
    }
    DropLink(state, *chosen, "too many connections");
  }
  return true;
}

// Drops the links whose messages take the most memory, but not `exempt`, until
// all together are within the limit. A peer that is alive connects again.
static auto LimitHeldBytes(HandoverLinkState& state, LinkId exempt) -> void {
  auto uses = ListUses(state);
  size_t held = 0;
  for (auto& it : uses) {
    held += it.held_bytes;
    // A known peer loses its connection, too, if its message takes long.
    it.phase = ConnectionPhase::kReading;
  }
  while (held > kMaxHeldBytes) {
    const auto largest = std::max_element(
        uses.begin(), uses.end(), [&](const auto& a, const auto& b) {
          return a.id == exempt ||
                 (b.id != exempt && a.held_bytes < b.held_bytes);
        });
    if (largest == uses.end() || largest->id == exempt) {
      return;
    }
    held -= largest->held_bytes;
    DropLink(state, largest->id, "messages take too much memory");
    uses.erase(largest);
  }
}

static auto OnFrame(HandoverLinkState& state, LinkId id, std::string_view frame)
    -> void {
  auto message = DecodeHandover(frame);
  if (!message && !state.links.at(id).hello_received) {
    DropLink(state, id, "first message is unreadable");
    return;
  }
  if (!message) {
    Log(LogLevel::kWarning, "handover_unreadable", {{"bytes", frame.size()}});
    return;
  }
  auto& link = state.links.at(id);
  const auto* hello = std::get_if<HelloMessage>(&*message);
  if (hello == nullptr) {
    if (link.hello_received) {
      state.callbacks.on_message(id, std::move(*message));
    }
    return;
  }
  link.hello_received = true;
  link.connection->SetMaxMessageBytes(std::numeric_limits<uint32_t>::max());
  state.callbacks.on_open(id, hello->sender, !link.connected_to.ip.empty());
}

static auto AddLink(HandoverLinkState& state,
                    tcp::socket socket,
                    const Address& connected_to) -> LinkId {
  const auto id = ++state.last_id;
  const auto weak = state.weak_from_this();
  FramedConnection::Callbacks callbacks;
  callbacks.on_message = [weak, id](std::string_view frame) {
    if (const auto self = weak.lock(); self && self->links.contains(id)) {
      OnFrame(*self, id, frame);
    }
  };
  callbacks.on_closed = [weak, id](boost::system::error_code) {
    if (const auto self = weak.lock()) {
      EndLink(*self, id, LinkEnd::kReset);
    }
  };
  callbacks.on_growth = [weak, id] {
    if (const auto self = weak.lock()) {
      LimitHeldBytes(*self, id);
    }
  };
  auto connection = std::make_shared<FramedConnection>(std::move(socket),
                                                       std::move(callbacks));
  state.links.emplace(id, Link{.id = id,
                               .connection = connection,
                               .connected_to = connected_to,
                               .hello_received = false,
                               .opened = BootClock::now()});
  connection->SetMaxMessageBytes(kMaxHelloBytes);
  connection->Start();
  connection->Send(EncodeHandover(HelloMessage{.sender = state.self}));
  return id;
}

// Returns a copy, because sending may end a connection and remove it from the
// map.
static auto ListConnections(const HandoverLinkState& state)
    -> std::vector<std::shared_ptr<FramedConnection>> {
  std::vector<std::shared_ptr<FramedConnection>> out;
  for (const auto& [id, link] : state.links) {
    out.push_back(link.connection);
  }
  return out;
}

static auto Accept(const std::shared_ptr<HandoverLinkState>& state) -> void {
  state->acceptor.async_accept([state](boost::system::error_code ec,
                                       tcp::socket socket) {
    if (!state->acceptor.is_open()) {
      return;
    }
    if (!ec) {
      if (MakeRoom(*state)) {
        AddLink(*state, std::move(socket), Address());
      }
      Accept(state);
      return;
    }
    state->accept_timer.expires_after(kAcceptRetryInterval);
    state->accept_timer.async_wait([state](boost::system::error_code timer_ec) {
      if (!timer_ec && state->acceptor.is_open()) {
        Accept(state);
      }
    });
  });
}

static auto StartConnecting(const std::shared_ptr<HandoverLinkState>& state,
                            const Address& peer) -> void {
  boost::system::error_code ec;
  const auto ip = asio::ip::make_address(peer.ip, ec);
  if (ec) {
    return;
  }
  state->outgoing[peer] = 0;
  auto socket = std::make_shared<tcp::socket>(state->context);
  auto timer = std::make_shared<asio::steady_timer>(state->context);
  timer->expires_after(kConnectTimeout);
  timer->async_wait([socket](boost::system::error_code timer_ec) {
    if (!timer_ec) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
  });
  socket->async_connect(
      tcp::endpoint(ip, peer.port),
      [weak = std::weak_ptr(state), socket, timer,
       peer](boost::system::error_code connect_ec) {
        timer->cancel();
        const auto self = weak.lock();
        if (!self || !self->outgoing.contains(peer)) {
          return;
        }
        if (connect_ec) {
          self->outgoing.erase(peer);
          const auto refused = connect_ec == asio::error::connection_refused ||
                               connect_ec == asio::error::connection_reset;
          self->callbacks.on_connect_failed(
              peer,
              refused ? ConnectFailure::kRefused : ConnectFailure::kNoAnswer);
          return;
        }
        self->outgoing[peer] = AddLink(*self, std::move(*socket), peer);
      });
}

}  // namespace detail

auto HandoverLink::Listen(asio::io_context& context,
                          InstanceRef self,
                          HandoverLinkCallbacks callbacks,
                          const std::optional<Address>& advertised,
                          size_t max_links)
    -> Result<std::unique_ptr<HandoverLink>, std::string> {
  auto state = std::make_shared<detail::HandoverLinkState>(
      context, std::move(self), std::move(callbacks));
  state->max_links = max_links;
  BOOST_OUTCOME_TRY(StartListening(state->acceptor, state->self.address));
  boost::system::error_code ec;
  state->self.address.port = state->acceptor.local_endpoint(ec).port();
  state->self.address = advertised.value_or(state->self.address);
  detail::Accept(state);
  return std::unique_ptr<HandoverLink>(new HandoverLink(std::move(state)));
}

HandoverLink::HandoverLink(std::shared_ptr<detail::HandoverLinkState> state)
    : state_(std::move(state)) {}

HandoverLink::~HandoverLink() {
  boost::system::error_code ec;
  state_->acceptor.close(ec);
  state_->accept_timer.cancel();
}

auto HandoverLink::Self() const -> const InstanceRef& {
  return state_->self;
}

auto HandoverLink::Port() const -> uint16_t {
  boost::system::error_code ec;
  return state_->acceptor.local_endpoint(ec).port();
}

auto HandoverLink::Connect(const Address& peer) -> void {
  if (!state_->outgoing.contains(peer)) {
    detail::StartConnecting(state_, peer);
  }
}

auto HandoverLink::Disconnect(const Address& peer) -> void {
  const auto it = state_->outgoing.find(peer);
  if (it == state_->outgoing.end()) {
    return;
  }
  const auto id = it->second;
  state_->outgoing.erase(it);
  detail::RemoveLink(*state_, id);
}

auto HandoverLink::EndAll() -> void {
  std::vector<LinkId> ids;
  for (const auto& [id, link] : state_->links) {
    ids.push_back(id);
  }
  for (const auto id : ids) {
    detail::EndLink(*state_, id, LinkEnd::kUnresponsive);
  }
}

auto HandoverLink::LinkTo(const Address& peer) const -> LinkId {
  const auto it = state_->outgoing.find(peer);
  if (it == state_->outgoing.end() || it->second == 0) {
    return 0;
  }
  const auto link = state_->links.find(it->second);
  return link != state_->links.end() && link->second.hello_received ? it->second
                                                                    : 0;
}

auto HandoverLink::LastHeard(LinkId link) const -> std::optional<Instant> {
  const auto it = state_->links.find(link);
  if (it == state_->links.end()) {
    return std::nullopt;
  }
  return it->second.connection->LastHeard();
}

auto HandoverLink::Send(LinkId link, const HandoverMessage& message) -> void {
  const auto it = state_->links.find(link);
  if (it != state_->links.end()) {
    it->second.connection->Send(EncodeHandover(message));
  }
}

auto HandoverLink::Broadcast(const HandoverMessage& message) -> void {
  const auto bytes = EncodeHandover(message);
  for (const auto& it : detail::ListConnections(*state_)) {
    it->Send(bytes);
  }
}

auto HandoverLink::SendHeartbeats(const HeartbeatMessage& heartbeat) -> void {
  const auto now = BootClock::now();
  std::vector<LinkId> unresponsive;
  std::vector<std::shared_ptr<FramedConnection>> outgoing;
  for (const auto& [id, link] : state_->links) {
    if (now - link.connection->LastHeard() > kHeartbeatTimeout ||
        (!link.hello_received && now - link.opened > detail::kHelloTimeout)) {
      unresponsive.push_back(id);
    } else if (!link.connected_to.ip.empty()) {
      outgoing.push_back(link.connection);
    }
  }
  for (const auto id : unresponsive) {
    detail::EndLink(*state_, id, LinkEnd::kUnresponsive);
  }
  if (outgoing.empty()) {
    return;
  }
  const auto bytes = EncodeHandover(heartbeat);
  for (const auto& it : outgoing) {
    it->Send(bytes);
  }
}

}  // namespace boragecroft
