#include "core/http/http_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/net/connection_pressure.h"
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
        accept_timer(io),
        options(std::move(opts)),
        callbacks(std::move(calls)) {}

  asio::io_context& context;
  tcp::acceptor acceptor;
  asio::steady_timer accept_timer;
  HttpServerOptions options;
  const HttpServerCallbacks callbacks;
  std::unordered_map<uint64_t, HttpSession*> sessions;  // open ones, by id
  uint64_t last_session = 0;
  size_t held_bytes = 0;  // of all sessions
  size_t active_requests = 0;
  uint64_t last_number = 0;
  bool draining = false;
};

class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(std::shared_ptr<HttpServerState> state, tcp::socket socket)
      : state_(std::move(state)),
        id_(++state_->last_session),
        socket_(std::move(socket)),
        timer_(state_->context) {
    state_->sessions.emplace(id_, this);
  }

  ~HttpSession() { Leave(); }
  HttpSession(const HttpSession&) = delete;
  auto operator=(const HttpSession&) -> HttpSession& = delete;

  auto Start() -> void {
    boost::system::error_code ec;
    socket_.set_option(tcp::no_delay(true), ec);
    while (state_->sessions.size() > state_->options.max_connections) {
      if (!CloseAnother(*state_, id_, ChooseForRoom)) {
        RespondToFault(HttpFault::kTooManyConnections);
        return;
      }
    }
    ReadHead();
  }

  // Closes the connection if no request is in progress.
  auto CloseIfIdle() -> void {
    if (phase_ == ConnectionPhase::kIdle) {
      boost::system::error_code ec;
      socket_.close(ec);
    }
  }

  auto Close() -> void {
    Leave();
    timer_.cancel();
    boost::system::error_code ec;
    socket_.close(ec);
  }

  auto Use() const -> ConnectionUse {
    return {.id = id_,
            .phase = phase_,
            .phase_began = phase_began_,
            .held_bytes = held_bytes_};
  }

  // Closes the connection that `choose` returns. Returns false when there is
  // none.
  template <class Choice>
  static auto CloseAnother(HttpServerState& state,
                           uint64_t exempt,
                           Choice choose) -> bool {
    std::vector<ConnectionUse> uses;
    uses.reserve(state.sessions.size());
    for (const auto& [id, session] : state.sessions) {
      uses.push_back(session->Use());
    }
    const auto chosen = choose(uses, exempt);
    if (!chosen) {
      return false;
    }
    state.sessions.at(*chosen)->Close();
    if (state.callbacks.on_closed_for_others) {
      state.callbacks.on_closed_for_others();
    }
    return true;
  }

 private:
  using Parser = http::request_parser<http::string_body>;

  // Removes this session from the server's account. It may still exist until
  // its last operation has ended.
  auto Leave() -> void {
    state_->sessions.erase(id_);
    state_->held_bytes -= held_bytes_;
    held_bytes_ = 0;
  }

  auto IsOpen() const -> bool { return state_->sessions.contains(id_); }

  auto EnterPhase(ConnectionPhase phase) -> void {
    phase_ = phase;
    phase_began_ = BootClock::now();
  }

  // Accounts for what this connection holds, and closes others when all hold
  // too much together.
  auto UpdateHeldBytes() -> void {
    if (!IsOpen()) {
      return;
    }
    size_t held = phase_ == ConnectionPhase::kIdle ? 0 : buffer_.capacity();
    if (parser_) {
      held += HeadMemory(progress_, head_lines_);
      held += parser_->get().body().size();
    }
    held += response_ ? response_->body().size() : 0;
    state_->held_bytes = state_->held_bytes - held_bytes_ + held;
    held_bytes_ = held;
    while (state_->held_bytes > state_->options.max_held_bytes &&
           CloseAnother(*state_, id_, ChooseForMemory)) {
    }
  }

  auto ReadHead() -> void {
    if (state_->draining && buffer_.size() == 0) {
      return;
    }
    limits_ = state_->options.limits;
    progress_ = {};
    head_lines_ = 0;
    parser_.emplace();
    parser_->body_limit(limits_.max_body_bytes);
    parser_->header_limit(static_cast<uint32_t>(limits_.max_head_bytes));
    if (buffer_.size() == 0) {
      buffer_.shrink_to_fit();
      EnterPhase(ConnectionPhase::kIdle);
      ArmTimer(state_->options.idle_timeout);
      UpdateHeldBytes();
      ReadSome();
      return;
    }
    BeginRequest();
    Parse();
  }

  auto BeginRequest() -> void {
    EnterPhase(ConnectionPhase::kReading);
    ArmTimer(state_->options.head_timeout);
  }

  auto ReadSome() -> void {
    UpdateHeldBytes();
    socket_.async_read_some(
        buffer_.prepare(NextReadBytes()),
        [self = shared_from_this()](boost::system::error_code ec, size_t n) {
          self->OnRead(ec, n);
        });
  }

  // Only the body of a request with a length is read in large parts: what is
  // read beyond the end of a request stays in memory while it is in progress.
  auto NextReadBytes() const -> size_t {
    const auto left = progress_.head_complete
                          ? parser_->content_length_remaining()
                          : boost::none;
    return left ? std::min<size_t>(*left, kMaxReadBytes) : kReadBytes;
  }

  auto OnRead(boost::system::error_code ec, size_t n) -> void {
    if (!IsOpen()) {
      return;
    }
    buffer_.commit(n);
    if (timed_out_) {
      // A connection on which no request was begun is closed without a
      // response.
      if (phase_ != ConnectionPhase::kIdle) {
        RespondToFault(HttpFault::kTooSlow);
      }
      return;
    }
    if (ec) {
      // The peer has closed its sending direction in the middle of a request.
      if (ec == asio::error::eof && phase_ != ConnectionPhase::kIdle) {
        RespondToFault(HttpFault::kMalformed);
      }
      return;
    }
    if (phase_ == ConnectionPhase::kIdle) {
      BeginRequest();
    }
    Parse();
  }

  // Parses what was received until the header or the request is complete, or
  // more has to be read.
  auto Parse() -> void {
    while (buffer_.size() > 0 && !parser_->is_done()) {
      boost::system::error_code ec;
      const auto n = parser_->put(buffer_.data(), ec);
      buffer_.consume(n);
      const auto head_was_complete = progress_.head_complete;
      progress_.head_complete = parser_->is_header_done();
      (head_was_complete ? progress_.after_head : progress_.head) += n;
      if (ec && ec != http::error::need_more) {
        RespondToFault(FaultOf(ec));
        return;
      }
      if (!head_was_complete && progress_.head_complete) {
        if (const auto fault = CheckSize(0)) {
          RespondToFault(*fault);
          return;
        }
        OnHead();
        return;
      }
      if (ec) {
        break;
      }
      if (const auto fault = CheckSize(0)) {
        RespondToFault(*fault);
        return;
      }
    }
    if (parser_->is_done()) {
      OnRequest();
    } else if (const auto fault = CheckSize(buffer_.size())) {
      RespondToFault(*fault);
    } else {
      ReadSome();
    }
  }

  auto CheckSize(size_t pending) -> std::optional<HttpFault> {
    progress_.pending = pending;
    progress_.body = parser_->get().body().size();
    return CheckRequestSize(limits_, progress_);
  }

  static auto FaultOf(boost::system::error_code ec) -> HttpFault {
    if (ec == http::error::body_limit) {
      return HttpFault::kBodyTooLarge;
    }
    return ec == http::error::header_limit ? HttpFault::kHeadTooLarge
                                           : HttpFault::kMalformed;
  }

  auto OnHead() -> void {
    CopyHead();
    if (auto refusal = state_->callbacks.on_head
                           ? state_->callbacks.on_head(request_)
                           : std::nullopt) {
      refusal->close = true;
      Write(std::move(*refusal));
      return;
    }
    if (parser_->is_done()) {
      OnRequest();
      return;
    }
    EnterPhase(ConnectionPhase::kReading);
    ArmTimer(state_->options.body_timeout);
    if (boost::beast::iequals(parser_->get()[http::field::expect],
                              "100-continue")) {
      SendContinue();
      return;
    }
    Parse();
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
    head_lines_ = request_.headers.size();
  }

  auto SendContinue() -> void {
    auto response = std::make_shared<http::response<http::empty_body>>(
        http::status::continue_, 11);
    http::async_write(socket_, *response,
                      [self = shared_from_this(), response](
                          boost::system::error_code ec, size_t) {
                        if (!ec && self->IsOpen()) {
                          self->Parse();
                        }
                      });
  }

  auto OnRequest() -> void {
    timer_.cancel();
    if (state_->callbacks.on_abandoned && IsClosed()) {
      return;
    }
    request_.body = std::move(parser_->get().body());
    keep_alive_ = parser_->get().keep_alive();
    parser_.reset();
    buffer_.shrink_to_fit();
    EnterPhase(ConnectionPhase::kInProgress);
    UpdateHeldBytes();
    ++state_->active_requests;
    request_.number = ++state_->last_number;
    auto responder = [self = shared_from_this()](HttpResponse response) {
      --self->state_->active_requests;
      self->watched_request_ = 0;
      self->Write(std::move(response));
    };
    WatchForClose(request_.number);
    state_->callbacks.on_request(std::exchange(request_, HttpRequest()),
                                 std::move(responder));
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

  auto RespondToFault(HttpFault fault) -> void {
    auto response = state_->callbacks.on_fault
                        ? state_->callbacks.on_fault(fault)
                        : HttpResponse{.status = 400};
    response.close = true;
    Write(std::move(response));
  }

  auto Write(HttpResponse response) -> void {
    parser_.reset();
    EnterPhase(ConnectionPhase::kWriting);
    response_.emplace(static_cast<http::status>(response.status), 11);
    response_->set(http::field::content_type, response.content_type);
    for (const auto& it : response.headers) {
      response_->set(it.name, it.value);
    }
    const auto close = response.close || !keep_alive_ || state_->draining;
    response_->keep_alive(!close);
    response_->body() = std::move(response.body);
    response_->prepare_payload();
    UpdateHeldBytes();
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
    if (ec || !IsOpen()) {
      return;
    }
    if (close) {
      LingerThenClose();
      return;
    }
    ReadHead();
  }

  // Reads and discards what the peer still sends within kLingerTimeout, up to
  // MaxDiscardedBytes(), then closes the connection. Closing it with unread
  // input would reset the connection and could destroy the response in transit.
  auto LingerThenClose() -> void {
    boost::system::error_code ec;
    socket_.shutdown(tcp::socket::shutdown_send, ec);
    EnterPhase(ConnectionPhase::kClosing);
    buffer_.clear();
    UpdateHeldBytes();
    discardable_bytes_ = MaxDiscardedBytes(state_->options.limits);
    ArmTimer(kLingerTimeout);
    DiscardInput();
  }

  auto DiscardInput() -> void {
    socket_.async_read_some(
        buffer_.prepare(kReadBytes),
        [self = shared_from_this()](boost::system::error_code ec, size_t n) {
          if (!ec && !self->timed_out_ && n < self->discardable_bytes_) {
            self->discardable_bytes_ -= n;
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
  // A header and a small body arrive in one read.
  static constexpr size_t kReadBytes = 2048;
  static constexpr size_t kMaxReadBytes = 16384;

  const std::shared_ptr<HttpServerState> state_;
  const uint64_t id_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  uint64_t watched_request_ = 0;  // number of the request in progress, or 0
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::optional<http::response<http::string_body>> response_;
  HttpRequest request_;
  HttpRequestLimits limits_;  // of the request that is being read
  RequestProgress progress_;
  ConnectionPhase phase_ = ConnectionPhase::kIdle;
  Instant phase_began_ = BootClock::now();
  size_t head_lines_ = 0;
  size_t held_bytes_ = 0;  // as accounted for in state_
  size_t discardable_bytes_ = 0;
  bool keep_alive_ = true;
  bool timed_out_ = false;
};

// Time until connections are accepted again after an error. Without it, the
// event loop would do nothing else while the process has no descriptor left.
constexpr milliseconds kAcceptRetryInterval{50};

static auto Accept(const std::shared_ptr<HttpServerState>& state) -> void {
  state->acceptor.async_accept([state](boost::system::error_code ec,
                                       tcp::socket socket) {
    if (!state->acceptor.is_open()) {
      return;
    }
    if (!ec) {
      std::make_shared<HttpSession>(state, std::move(socket))->Start();
      Accept(state);
      return;
    }
    HttpSession::CloseAnother(*state, 0, ChooseForRoom);
    state->accept_timer.expires_after(kAcceptRetryInterval);
    state->accept_timer.async_wait([state](boost::system::error_code timer_ec) {
      if (!timer_ec && state->acceptor.is_open()) {
        Accept(state);
      }
    });
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
  state_->accept_timer.cancel();
  for (const auto& [id, session] : state_->sessions) {
    session->CloseIfIdle();
  }
}

auto HttpServer::SetLimits(const HttpRequestLimits& limits,
                           milliseconds idle_timeout,
                           milliseconds head_timeout) -> void {
  state_->options.limits = limits;
  state_->options.idle_timeout = idle_timeout;
  state_->options.head_timeout = head_timeout;
}

auto HttpServer::ActiveRequests() const -> size_t {
  return state_->active_requests;
}

}  // namespace boragecroft
