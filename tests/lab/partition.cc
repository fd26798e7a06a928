#include "tests/lab/partition.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <optional>

#include "core/base/clock.h"

namespace boragecroft::lab {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace detail {

// Interval at which bytes that are held up look for the end of the partition.
constexpr milliseconds kPollInterval{5};

struct Relay {
  explicit Relay(asio::io_context& io) : acceptor(io) {}

  std::string from;
  std::string to;
  std::optional<Address> target;
  tcp::acceptor acceptor;
};

// One connection through a relay. Each direction reads, waits while the
// connection is cut, and writes.
class RelayedConnection
    : public std::enable_shared_from_this<RelayedConnection> {
 public:
  RelayedConnection(Relay& relay,
                    const std::set<std::string>& instances,
                    const Cuts& cuts,
                    tcp::socket source)
      : relay_(relay),
        instances_(instances),
        cuts_(cuts),
        from_(relay.from),
        source_(std::move(source)),
        target_(source_.get_executor()),
        forth_{source_, target_, asio::steady_timer(source_.get_executor())},
        back_{target_, source_, asio::steady_timer(source_.get_executor())} {}

  auto Start() -> void {
    if (!relay_.target) {
      Close();
      return;
    }
    const tcp::endpoint endpoint(asio::ip::make_address(relay_.target->ip),
                                 relay_.target->port);
    target_.async_connect(
        endpoint, [self = shared_from_this()](boost::system::error_code ec) {
          if (ec) {
            self->Close();
            return;
          }
          self->Read(self->forth_);
          self->Read(self->back_);
        });
  }

 private:
  struct Direction {
    tcp::socket& in;
    tcp::socket& out;
    asio::steady_timer timer;
    std::array<char, 16384> buf{};
  };

  // Nothing passes before it is known which instance opened the connection.
  auto IsCut() const -> bool {
    return from_.empty() || cuts_.instances.contains(from_) ||
           cuts_.instances.contains(relay_.to) ||
           cuts_.links.contains({from_, relay_.to});
  }

  auto Read(Direction& at) -> void {
    at.in.async_read_some(
        asio::buffer(at.buf), [self = shared_from_this(), &at](
                                  boost::system::error_code ec, size_t n) {
          if (&at == &self->forth_ && self->from_.empty()) {
            self->FindSource(std::string_view(at.buf.data(), n));
          }
          self->Deliver(at, ec, n);
        });
  }

  auto FindSource(std::string_view first_message) -> void {
    for (const auto& it : instances_) {
      if (it != relay_.to && first_message.find(it) != std::string_view::npos) {
        from_ = it;
      }
    }
  }

  auto Deliver(Direction& at, boost::system::error_code ec, size_t n) -> void {
    const auto source_gone = ec && from_.empty();
    if (IsCut() && !source_gone) {
      at.timer.expires_after(kPollInterval);
      at.timer.async_wait(
          [self = shared_from_this(), &at, ec, n](boost::system::error_code) {
            self->Deliver(at, ec, n);
          });
      return;
    }
    if (ec) {
      Close();
      return;
    }
    asio::async_write(at.out, asio::buffer(at.buf, n),
                      [self = shared_from_this(), &at](
                          boost::system::error_code write_ec, size_t) {
                        if (write_ec) {
                          self->Close();
                          return;
                        }
                        self->Read(at);
                      });
  }

  auto Close() -> void {
    boost::system::error_code ec;
    source_.close(ec);
    target_.close(ec);
  }

  Relay& relay_;
  const std::set<std::string>& instances_;
  const Cuts& cuts_;
  std::string from_;
  tcp::socket source_;
  tcp::socket target_;
  Direction forth_;
  Direction back_;
};

static auto Accept(Relay& relay,
                   const std::set<std::string>& instances,
                   const Cuts& cuts) -> void {
  relay.acceptor.async_accept(
      [&](boost::system::error_code ec, tcp::socket socket) {
        if (ec) {
          return;
        }
        std::make_shared<RelayedConnection>(relay, instances, cuts,
                                            std::move(socket))
            ->Start();
        Accept(relay, instances, cuts);
      });
}

}  // namespace detail

PartitionedNetwork::PartitionedNetwork()
    : work_(asio::make_work_guard(context_)),
      thread_([this] { context_.run(); }) {}

PartitionedNetwork::~PartitionedNetwork() {
  context_.stop();
  thread_.join();
}

auto PartitionedNetwork::AddRelay(const std::string& from,
                                  const std::string& to) -> Address {
  Address address;
  Run([&] {
    auto relay = std::make_unique<detail::Relay>(context_);
    relay->from = from;
    relay->to = to;
    const tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    relay->acceptor.open(any.protocol());
    relay->acceptor.bind(any);
    relay->acceptor.listen();
    address = Address{.ip = "127.0.0.1",
                      .port = relay->acceptor.local_endpoint().port()};
    instances_.insert(from.empty() ? to : from);
    detail::Accept(*relay, instances_, cuts_);
    relays_.push_back(std::move(relay));
  });
  return address;
}

auto PartitionedNetwork::SetTarget(const Address& relay, const Address& target)
    -> void {
  Run([&] {
    for (const auto& it : relays_) {
      if (it->acceptor.local_endpoint().port() == relay.port) {
        it->target = target;
      }
    }
  });
}

auto PartitionedNetwork::CutOff(const std::string& instance) -> void {
  Run([&] { cuts_.instances.insert(instance); });
}

auto PartitionedNetwork::Reconnect(const std::string& instance) -> void {
  Run([&] { cuts_.instances.erase(instance); });
}

auto PartitionedNetwork::CutLink(const std::string& from, const std::string& to)
    -> void {
  Run([&] { cuts_.links.emplace(from, to); });
}

auto PartitionedNetwork::RestoreLink(const std::string& from,
                                     const std::string& to) -> void {
  Run([&] { cuts_.links.erase({from, to}); });
}

auto PartitionedNetwork::Run(const std::function<void()>& action) -> void {
  std::promise<void> done;
  asio::post(context_, [&] {
    action();
    done.set_value();
  });
  done.get_future().wait();
}

}  // namespace boragecroft::lab
