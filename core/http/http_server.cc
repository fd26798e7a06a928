#include "core/http/http_server.h"

#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <unordered_set>
#include <utility>

#include "core/net/listening.h"

namespace boragecroft {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace detail {

class HttpSession;

struct HttpServerState {
  HttpServerState(asio::io_context& io,
                  HttpServerOptions opts,
                  HttpServerCallbacks calls)
      : context(io),
        acceptor(io),
        options(std::move(opts)),
        callbacks(std::move(calls)) {}

  asio::io_context& context;
  tcp::acceptor acceptor;
  HttpServerOptions options;
  HttpServerCallbacks callbacks;
  std::unordered_set<HttpSession*> sessions;
  size_t active_requests = 0;
  uint64_t last_number = 0;
  bool draining = false;
};

class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(std::shared_ptr<HttpServerState> state, tcp::socket socket)
      : state_(std::move(state)),
        socket_(std::move(socket)),
        timer_(state_->context) {
    state_->sessions.insert(this);
  }

  ~HttpSession() { state_->sessions.erase(this); }
  HttpSession(const HttpSession&) = delete;
  auto operator=(const HttpSession&) -> HttpSession& = delete;

  auto Start() -> void {
    boost::system::error_code ec;
    socket_.set_option(tcp::no_delay(true), ec);
    if (state_->sessions.size() > state_->options.max_connections) {
      RespondToFault(HttpFault::kTooManyConnections);
      return;
    }
    ReadHead();
  }

  // Closes the connection if no request is in progress.
  auto CloseIfIdle() -> void {
    if (!in_request_ && buffer_.size() == 0) {
      boost::system::error_code ec;
      socket_.close(ec);
    }
  }

 private:
  using Parser = http::request_parser<http::string_body>;

  auto ReadHead() -> void {
    if (state_->draining && buffer_.size() == 0) {
      return;
    }
    in_request_ = false;
    parser_.emplace();
    parser_->body_limit(state_->options.max_body_bytes);
    ArmTimer(state_->options.head_timeout);
    http::async_read_header(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](boost::system::error_code ec, size_t) {
          self->OnHead(ec);
        });
  }

  auto OnHead(boost::system::error_code ec) -> void {
    timer_.cancel();
    if (ec) {
      OnReadError(ec);
      return;
    }
    in_request_ = true;
    CopyHead();
    if (auto refusal = state_->callbacks.on_head
                           ? state_->callbacks.on_head(request_)
                           : std::nullopt) {
      refusal->close = true;
      Write(std::move(*refusal));
      return;
    }
    if (parser_->is_done()) {
      OnBody({});
      return;
    }
    ReadBody();
  }

  auto CopyHead() -> void {
    request_ = HttpRequest();
    const auto& head = parser_->get();
    request_.method = head.method_string();
    request_.target = head.target();
    for (const auto& it : head) {
      request_.headers.push_back(
          HttpHeader{std::string(it.name_string()), std::string(it.value())});
    }
  }

  auto ReadBody() -> void {
    if (boost::beast::iequals(parser_->get()[http::field::expect],
                              "100-continue")) {
      SendContinue();
      return;
    }
    ArmTimer(state_->options.body_timeout);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](boost::system::error_code ec,
                                                 size_t) { self->OnBody(ec); });
  }

  auto SendContinue() -> void {
    parser_->get().erase(http::field::expect);
    auto response = std::make_shared<http::response<http::empty_body>>(
        http::status::continue_, 11);
    http::async_write(socket_, *response,
                      [self = shared_from_this(), response](
                          boost::system::error_code ec, size_t) {
                        if (!ec) {
                          self->ReadBody();
                        }
                      });
  }

  auto OnBody(boost::system::error_code ec) -> void {
    timer_.cancel();
    if (ec) {
      OnReadError(ec);
      return;
    }
    if (state_->callbacks.on_abandoned && IsClosed()) {
      return;
    }
    request_.body = std::move(parser_->get().body());
    keep_alive_ = parser_->get().keep_alive();
    ++state_->active_requests;
    request_.number = ++state_->last_number;
    auto responder = [self = shared_from_this()](HttpResponse response) {
      --self->state_->active_requests;
      self->watched_request_ = 0;
      self->Write(std::move(response));
    };
    WatchForClose(request_.number);
    state_->callbacks.on_request(std::move(request_), std::move(responder));
  }

  // Calls on_abandoned if the peer closes the connection while the request is
  // in progress. A peer normally sends nothing during that time, so the socket
  // becomes readable when the peer closes the connection or sends its next
  // request.
  auto WatchForClose(uint64_t number) -> void {
    if (!state_->callbacks.on_abandoned) {
      return;
    }
    watched_request_ = number;
    socket_.async_wait(
        tcp::socket::wait_read,
        [weak = weak_from_this(), number](boost::system::error_code ec) {
          const auto self = weak.lock();
          if (self && !ec && self->watched_request_ == number &&
              self->IsClosed()) {
            self->state_->callbacks.on_abandoned(number);
          }
        });
  }

  auto IsClosed() -> bool {
    char byte = 0;
    const auto n =
        ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  auto OnReadError(boost::system::error_code ec) -> void {
    if (timed_out_ && in_request_) {
      RespondToFault(HttpFault::kTooSlow);
    } else if (timed_out_) {
      // A connection on which no request was begun is closed without a
      // response.
      if (buffer_.size() > 0) {
        RespondToFault(HttpFault::kTooSlow);
      }
    } else if (ec == http::error::body_limit) {
      RespondToFault(HttpFault::kBodyTooLarge);
    } else if (ec == http::error::header_limit) {
      RespondToFault(HttpFault::kHeadTooLarge);
    } else if (ec.category() ==
                   http::make_error_code(http::error::bad_method).category() &&
               ec != http::error::end_of_stream) {
      RespondToFault(HttpFault::kMalformed);
    }
  }

  auto RespondToFault(HttpFault fault) -> void {
    auto response = state_->callbacks.on_fault
                        ? state_->callbacks.on_fault(fault)
                        : HttpResponse{.status = 400};
    response.close = true;
    Write(std::move(response));
  }

  auto Write(HttpResponse response) -> void {
    response_.emplace(static_cast<http::status>(response.status), 11);
    response_->set(http::field::content_type, response.content_type);
    for (const auto& it : response.headers) {
      response_->set(it.name, it.value);
    }
    const auto close = response.close || !keep_alive_ || state_->draining;
    response_->keep_alive(!close);
    response_->body() = std::move(response.body);
    response_->prepare_payload();
    ArmTimer(state_->options.body_timeout);
    http::async_write(socket_, *response_,
                      [self = shared_from_this(), close](
                          boost::system::error_code ec, size_t) {
                        self->OnWritten(ec, close);
                      });
  }

  auto OnWritten(boost::system::error_code ec, bool close) -> void {
    timer_.cancel();
    response_.reset();
    if (ec) {
      return;
    }
    if (close) {
      LingerThenClose();
      return;
    }
    ReadHead();
  }

  // Reads and discards what the peer still sends within kLingerTimeout, then
  // closes the connection. Closing it with unread input would reset the
  // connection and could destroy the response in transit.
  auto LingerThenClose() -> void {
    boost::system::error_code ec;
    socket_.shutdown(tcp::socket::shutdown_send, ec);
    buffer_.clear();
    ArmTimer(kLingerTimeout);
    DiscardInput();
  }

  auto DiscardInput() -> void {
    socket_.async_read_some(
        buffer_.prepare(kLingerChunkBytes),
        [self = shared_from_this()](boost::system::error_code ec, size_t) {
          if (!ec && !self->timed_out_) {
            self->DiscardInput();
          }
        });
  }

  auto ArmTimer(milliseconds timeout) -> void {
    timed_out_ = false;
    timer_.expires_after(timeout);
    timer_.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
      const auto self = weak.lock();
      if (ec || !self) {
        return;
      }
      self->timed_out_ = true;
      boost::system::error_code ignored;
      self->socket_.cancel(ignored);
    });
  }

  static constexpr milliseconds kLingerTimeout{1000};
  static constexpr size_t kLingerChunkBytes = 65536;

  const std::shared_ptr<HttpServerState> state_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  uint64_t watched_request_ = 0;  // number of the request in progress, or 0
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::optional<http::response<http::string_body>> response_;
  HttpRequest request_;
  bool keep_alive_ = true;
  bool in_request_ = false;
  bool timed_out_ = false;
};

static auto Accept(const std::shared_ptr<HttpServerState>& state) -> void {
  state->acceptor.async_accept(
      [state](boost::system::error_code ec, tcp::socket socket) {
        if (!state->acceptor.is_open()) {
          return;
        }
        if (!ec) {
          std::make_shared<HttpSession>(state, std::move(socket))->Start();
        }
        Accept(state);
      });
}

}  // namespace detail

auto HttpServer::Listen(asio::io_context& context,
                        HttpServerOptions options,
                        HttpServerCallbacks callbacks)
    -> Result<std::unique_ptr<HttpServer>, std::string> {
  auto state = std::make_shared<detail::HttpServerState>(
      context, std::move(options), std::move(callbacks));
  BOOST_OUTCOME_TRY(StartListening(state->acceptor, state->options.listen));
  detail::Accept(state);
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

HttpServer::HttpServer(std::shared_ptr<detail::HttpServerState> state)
    : state_(std::move(state)) {}

HttpServer::~HttpServer() {
  Drain();
}

auto HttpServer::Port() const -> uint16_t {
  boost::system::error_code ec;
  return state_->acceptor.local_endpoint(ec).port();
}

auto HttpServer::Drain() -> void {
  state_->draining = true;
  boost::system::error_code ec;
  state_->acceptor.close(ec);
  for (auto* it : state_->sessions) {
    it->CloseIfIdle();
  }
}

auto HttpServer::ActiveRequests() const -> size_t {
  return state_->active_requests;
}

}  // namespace boragecroft
