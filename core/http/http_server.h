// An HTTP/1.1 server that runs on the event loop of one thread.
#ifndef CORE_HTTP_HTTP_SERVER_H_
#define CORE_HTTP_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/base/address.h"
#include "core/base/result.h"
#include "core/http/http_message.h"
#include "core/http/request_budget.h"

namespace boragecroft {

// Sends the response to one request. It must be called once, on the thread of
// the event loop.
using HttpResponder = std::function<void(HttpResponse)>;

struct HttpServerOptions {
  Address listen;
  HttpRequestLimits limits;
  size_t max_connections = 4096;
  // What all connections together may hold in memory of requests that are not
  // complete and of responses that are not sent. Over it, connections are
  // closed in the order of ChooseForMemory().
  size_t max_held_bytes = 32U << 20U;
  // Wait for the first byte of a request.
  milliseconds idle_timeout = seconds(60);
  // From the first byte of a request to the end of its header.
  milliseconds head_timeout = seconds(60);
  // From the end of the header to the end of the body; also the time limit for
  // writing a response.
  milliseconds body_timeout = seconds(10);
};

struct HttpServerCallbacks {
  // Called with the header before the body is read. If it returns a response,
  // the server sends that response, does not read the body and closes the
  // connection.
  std::function<std::optional<HttpResponse>(const HttpRequest& head)> on_head;
  std::function<void(HttpRequest request, HttpResponder respond)> on_request;
  // Called when the peer closes its connection before it has the response to
  // the request with this number. Optional; the responder may still be called.
  // If set, a request whose peer has closed its connection before the request
  // was read to its end is dropped: `on_request` is not called.
  std::function<void(uint64_t number)> on_abandoned;
  // Returns the response to a request that could not be read. Without this
  // callback the status is 400.
  std::function<HttpResponse(HttpFault fault)> on_fault;
  // Called when a connection is closed because others need its room or its
  // memory. Optional.
  std::function<void()> on_closed_for_others;
};

namespace detail {
struct HttpServerState;
}

class HttpServer {
 public:
  // Starts to listen. The error text contains the address and the system's
  // reason.
  static auto Listen(boost::asio::io_context& context,
                     HttpServerOptions options,
                     HttpServerCallbacks callbacks)
      -> Result<std::unique_ptr<HttpServer>, std::string>;
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  auto operator=(const HttpServer&) -> HttpServer& = delete;

  // Returns the port in use, which the system chooses if the options ask for
  // port 0.
  auto Port() const -> uint16_t;
  // Stops accepting connections, closes idle ones, and closes each of the
  // others after the response in progress.
  auto Drain() -> void;
  // Sets what requests from now on may contain and how long they may take.
  auto SetLimits(const HttpRequestLimits& limits,
                 milliseconds idle_timeout,
                 milliseconds head_timeout) -> void;
  // Returns the number of requests that were read and have no response yet.
  auto ActiveRequests() const -> size_t;

 private:
  explicit HttpServer(std::shared_ptr<detail::HttpServerState> state);

  std::shared_ptr<detail::HttpServerState> state_;
};

}  // namespace boragecroft

#endif  // CORE_HTTP_HTTP_SERVER_H_
