#include "core/http/http_connection.h"

#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

#include "core/http/request_budget.h"

namespace boragecroft {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace detail {

class HttpConnectionState
    : public std::enable_shared_from_this<HttpConnectionState> {
 public:
  HttpConnectionState(asio::io_context& context, Address peer)
      : stream_(context), peer_(std::move(peer)) {}

  auto Send(HttpRequest request,
            milliseconds connect_timeout,
            milliseconds answer_timeout,
            HttpCompletion done) -> void {
    done_ = std::move(done);
    answer_timeout_ = answer_timeout;
    sent_ = false;
    PrepareRequest(std::move(request));
    if (connected_) {
      Write();
      return;
    }
    Connect(connect_timeout);
  }

  auto SetBodyTimeout(milliseconds body_timeout) -> void {
    body_timeout_ = body_timeout;
  }

  auto SetMaxBodyBytes(size_t bytes) -> void { max_body_bytes_ = bytes; }

  auto IsBusy() const -> bool { return done_ != nullptr; }

  auto IsReusable() -> bool {
    if (!connected_ || IsBusy()) {
      return false;
    }
    char byte = 0;
    const auto n = ::recv(stream_.socket().native_handle(), &byte, 1,
                          MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  auto Close() -> void {
    connected_ = false;
    boost::system::error_code ec;
    stream_.socket().close(ec);
  }

 private:
  auto PrepareRequest(HttpRequest request) -> void {
    request_ = http::request<http::string_body>();
    request_.version(11);
    request_.method_string(request.method);
    request_.target(request.target);
    request_.set(http::field::host, ToString(peer_));
    for (const auto& it : request.headers) {
      request_.set(it.name, it.value);
    }
    request_.body() = std::move(request.body);
    request_.prepare_payload();
  }

  auto Connect(milliseconds timeout) -> void {
    boost::system::error_code ec;
    const auto ip = asio::ip::make_address(peer_.ip, ec);
    if (ec) {
      asio::post(stream_.get_executor(), [self = shared_from_this(), ec] {
        self->Fail(HttpError::Kind::kConnect, ec);
      });
      return;
    }
    stream_.expires_after(timeout);
    stream_.async_connect(
        tcp::endpoint(ip, peer_.port),
        [self = shared_from_this()](boost::system::error_code result) {
          self->OnConnect(result);
        });
  }

  auto OnConnect(boost::system::error_code ec) -> void {
    if (ec) {
      Fail(HttpError::Kind::kConnect, ec);
      return;
    }
    connected_ = true;
    boost::system::error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
    Write();
  }

  auto Write() -> void {
    sent_ = true;
    stream_.expires_after(answer_timeout_);
    http::async_write(
        stream_, request_,
        [self = shared_from_this()](boost::system::error_code ec, size_t) {
          if (ec) {
            self->Fail(HttpError::Kind::kClosed, ec);
            return;
          }
          self->Read();
        });
  }

  auto Read() -> void {
    parser_.emplace();
    parser_->body_limit(max_body_bytes_);
    progress_ = {};
    http::async_read_header(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](boost::system::error_code ec, size_t n) {
          self->parser_->eager(true);
          self->progress_.head_complete = true;
          self->progress_.head = n;
          self->OnPart(ec);
        });
  }

  auto OnPart(boost::system::error_code ec) -> void {
    if (ec) {
      const auto closed = ec == http::error::end_of_stream ||
                          ec == asio::error::connection_reset;
      Fail(closed ? HttpError::Kind::kClosed : HttpError::Kind::kProtocol, ec);
      return;
    }
    progress_.body = parser_->get().body().size();
    if (CheckRequestSize({.max_head_bytes = kMaxHeadBytes,
                          .max_body_bytes = max_body_bytes_},
                         progress_)) {
      Fail(HttpError::Kind::kProtocol, http::error::buffer_overflow);
      return;
    }
    if (parser_->is_done()) {
      Complete();
      return;
    }
    if (body_timeout_ > milliseconds{0}) {
      stream_.expires_after(body_timeout_);
    }
    http::async_read_some(stream_, buffer_, *parser_,
                          [self = shared_from_this()](
                              boost::system::error_code result, size_t n) {
                            self->progress_.after_head += n;
                            self->OnPart(result);
                          });
  }

  auto Complete() -> void {
    auto message = parser_->release();
    HttpResponse response;
    response.status = static_cast<int>(message.result_int());
    for (const auto& it : message) {
      response.headers.push_back(
          HttpHeader{std::string(it.name_string()), std::string(it.value())});
    }
    response.content_type = message[http::field::content_type];
    response.body = std::move(message.body());
    stream_.expires_never();
    // Bytes after the response belong to no request of this client, so nothing
    // further on this connection can be trusted.
    if (!message.keep_alive() || buffer_.size() > 0) {
      Close();
    }
    const auto done = std::exchange(done_, nullptr);
    done(std::move(response));
  }

  auto Fail(HttpError::Kind kind, boost::system::error_code ec) -> void {
    const auto timed_out = ec == beast::error::timeout;
    const auto reported = timed_out && sent_ ? HttpError::Kind::kTimeout : kind;
    Close();
    const auto done = std::exchange(done_, nullptr);
    if (done) {
      done(HttpError{.kind = reported,
                     .request_sent = sent_,
                     .reason = ToString(peer_) + ": " + ec.message()});
    }
  }

  static constexpr size_t kMaxResponseBytes = 64U << 20U;
  // A header, and as much for chunk sizes, extensions and trailers.
  static constexpr size_t kMaxHeadBytes = 8192;
  // A chunk line or trailers without end stay in the buffer, so it is bounded.
  static constexpr size_t kMaxBufferBytes = 65536;

  beast::tcp_stream stream_;
  const Address peer_;
  beast::flat_buffer buffer_{kMaxBufferBytes};
  RequestProgress progress_;  // of the response
  size_t max_body_bytes_ = kMaxResponseBytes;
  http::request<http::string_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  HttpCompletion done_;
  milliseconds answer_timeout_{};
  milliseconds body_timeout_{};  // 0: covered by the answer timeout
  bool connected_ = false;
  bool sent_ = false;
};

}  // namespace detail

HttpConnection::HttpConnection(asio::io_context& context, Address peer)
    : state_(std::make_shared<detail::HttpConnectionState>(context,
                                                           std::move(peer))) {}

HttpConnection::~HttpConnection() {
  if (state_) {
    state_->Close();
  }
}

HttpConnection::HttpConnection(HttpConnection&&) noexcept = default;
auto HttpConnection::operator=(HttpConnection&&) noexcept
    -> HttpConnection& = default;

auto HttpConnection::Send(HttpRequest request,
                          milliseconds connect_timeout,
                          milliseconds answer_timeout,
                          HttpCompletion done) -> void {
  state_->Send(std::move(request), connect_timeout, answer_timeout,
               std::move(done));
}

auto HttpConnection::SetBodyTimeout(milliseconds body_timeout) -> void {
  state_->SetBodyTimeout(body_timeout);
}

auto HttpConnection::SetMaxBodyBytes(size_t bytes) -> void {
  state_->SetMaxBodyBytes(bytes);
}

auto HttpConnection::IsReusable() const -> bool {
  return state_->IsReusable();
}

auto HttpConnection::IsBusy() const -> bool {
  return state_->IsBusy();
}

auto HttpConnection::Close() -> void {
  state_->Close();
}

}  // namespace boragecroft
