// Passes mutated requests to the server's reader. It must not crash, answer
// each with HTTP or close the connection, and have no request left afterwards.
#include <gtest/gtest.h>
// RapidCheck's header must be included after GoogleTest's.
#include <rapidcheck/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "core/http/http_server.h"

namespace boragecroft {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Replaces, inserts or repeats up to four pieces of the text.
auto Mutate(std::string text) -> std::string {
  const auto n = *rc::gen::inRange(0, 5);
  for (auto i = 0; i < n; ++i) {
    const auto at = *rc::gen::inRange<size_t>(0, text.size() + 1);
    const auto length = *rc::gen::inRange<size_t>(0, 20);
    const auto piece = *rc::gen::oneOf(
        rc::gen::arbitrary<std::string>(),
        rc::gen::elementOf(std::vector<std::string>{
            "\r\n", "\n", ":", " ", "0", "ffffffffffffffff", ";a=\"",
            "\r\n\r\n", "Content-Length: 3\r\n",
            "Transfer-Encoding: chunked\r\n", "Expect: 100-continue\r\n",
            std::string(3000, 'x')}),
        rc::gen::just(text.substr(at, length)));
    text.replace(at, *rc::gen::elementOf(std::vector<size_t>{0, length}),
                 piece);
  }
  return text;
}

RC_GTEST_PROP(HttpServerFuzz, AnswersOrClosesOnMutatedRequests, ()) {
  asio::io_context context;
  HttpServerCallbacks callbacks;
  size_t longest_body = 0;
  callbacks.on_request = [&](const HttpRequest& request,
                             const HttpResponder& respond) {
    longest_body = std::max(longest_body, request.body.size());
    respond(HttpResponse{.status = 200, .body = request.body});
  };
  const auto server =
      HttpServer::Listen(
          context,
          {.listen = {.ip = "127.0.0.1", .port = 0},
           .limits = {.max_head_bytes = 500, .max_body_bytes = 1000}},
          std::move(callbacks))
          .value();
  const auto text = Mutate(*rc::gen::elementOf(std::vector<std::string>{
      "GET /a?b=c HTTP/1.1\r\nHost: a\r\n\r\n",
      "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
      "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: u\r\n\r\nGET / HTTP/1.1\r\n\r\n"}));
  tcp::socket socket(context);
  socket.connect({asio::ip::address_v4::loopback(), server->Port()});
  boost::system::error_code ec;
  // Small enough for the buffers of the system, so this does not wait.
  asio::write(socket, asio::buffer(text), ec);
  socket.shutdown(tcp::socket::shutdown_send, ec);
  std::string reply;
  auto ended = false;
  asio::async_read(socket, asio::dynamic_buffer(reply),
                   [&](boost::system::error_code, size_t) {
                     ended = true;
                     context.stop();
                   });
  context.run_for(seconds(20));
  RC_CLASSIFY(reply.starts_with("HTTP/1.1 200"), "served");
  RC_CLASSIFY(reply.starts_with("HTTP/1.1 4"), "refused");
  RC_ASSERT(ended);
  RC_ASSERT(reply.empty() || reply.starts_with("HTTP/1.1 "));
  RC_ASSERT(longest_body <= 1000U);
  RC_ASSERT(server->ActiveRequests() == 0U);
}

}  // namespace
}  // namespace boragecroft
