// An HTTP/1.1 client connection that is kept alive between requests and carries
// one request at a time.
#ifndef CORE_HTTP_HTTP_CONNECTION_H_
#define CORE_HTTP_HTTP_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core/base/address.h"
#include "core/base/result.h"
#include "core/http/http_message.h"

namespace boragecroft {

// Failure of a request that got no complete response.
struct HttpError {
  enum class Kind { kConnect, kTimeout, kClosed, kProtocol };

  Kind kind = Kind::kConnect;
  // False when no byte of the request was handed to the network, so that the
  // peer cannot have acted on it.
  bool request_sent = false;
  std::string reason;
};

using HttpCompletion = std::function<void(Result<HttpResponse, HttpError>)>;

namespace detail {
class HttpConnectionState;
}

class HttpConnection {
 public:
  HttpConnection(boost::asio::io_context& context, Address peer);
  ~HttpConnection();
  HttpConnection(HttpConnection&&) noexcept;
  auto operator=(HttpConnection&&) noexcept -> HttpConnection&;
  HttpConnection(const HttpConnection&) = delete;
  auto operator=(const HttpConnection&) -> HttpConnection& = delete;

  // Connects if necessary, sends the request and calls `done` once, on the
  // thread of the event loop. After a failure the connection is closed and
  // never used again, so a response that arrives late is not read.
  auto Send(HttpRequest request,
            milliseconds connect_timeout,
            milliseconds answer_timeout,
            HttpCompletion done) -> void;
  // Sets the time within which each part of a response's body must arrive once
  // its header has; the answer timeout then covers the header only. For large
  // bodies on slow links. Without it, the answer timeout covers the body, too.
  auto SetBodyTimeout(milliseconds body_timeout) -> void;
  // Sets the limit of a response's body, which is 64 MB without it. A longer
  // response is a protocol error.
  auto SetMaxBodyBytes(size_t bytes) -> void;
  // Reports whether the connection is open, has no request in progress, and the
  // peer has neither closed it nor sent unrequested data.
  auto IsReusable() const -> bool;
  // Reports whether a request is waiting for its response.
  auto IsBusy() const -> bool;
  auto Close() -> void;

 private:
  std::shared_ptr<detail::HttpConnectionState> state_;
};

}  // namespace boragecroft

#endif  // CORE_HTTP_HTTP_CONNECTION_H_
