#include <gtest/gtest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <thread>

#include "core/http/http_connection.h"
#include "core/http/http_server.h"

namespace boragecroft {
namespace {

namespace asio = boost::asio;

constexpr auto kTimeout = seconds(5);

// Fixture with a server that echoes request bodies, rejects requests for
// /refused after their header, and never responds to /silent.
class HttpTest : public testing::Test {
 protected:
  auto StartServer(HttpServerOptions options) -> void {
    options.listen = Address{.ip = "127.0.0.1", .port = 0};
    HttpServerCallbacks callbacks;
    callbacks.on_head =
        [](const HttpRequest& head) -> std::optional<HttpResponse> {
      return head.target == "/refused"
                 ? std::optional(HttpResponse{.status = 429})
                 : std::nullopt;
    };
    callbacks.on_request = [this](const HttpRequest& request,
                                  HttpResponder respond) {
      if (request.target == "/silent") {
        unanswered_.push_back(std::move(respond));
        return;
      }
      respond(HttpResponse{.status = 200, .body = request.body});
    };
    callbacks.on_abandoned = [this](uint64_t number) {
      abandoned_.push_back(number);
    };
    callbacks.on_fault = [](HttpFault fault) {
      switch (fault) {
        case HttpFault::kTooSlow:
          return HttpResponse{.status = 408};
        case HttpFault::kHeadTooLarge:
        case HttpFault::kFramingTooLarge:
          return HttpResponse{.status = 431};
        default:
          return HttpResponse{.status = 413};
      }
    };
    server_ =
        HttpServer::Listen(context_, options, std::move(callbacks)).value();
    port_ = server_->Port();
  }

  auto Peer() const -> Address {
    return Address{.ip = "127.0.0.1", .port = port_};
  }

  // Sends one request and runs the event loop until its completion.
  auto Exchange(HttpConnection& connection,
                HttpRequest request,
                milliseconds timeout = kTimeout)
      -> Result<HttpResponse, HttpError> {
    std::optional<Result<HttpResponse, HttpError>> outcome;
    connection.Send(std::move(request), kTimeout, timeout,
                    [&](auto result) { outcome = std::move(result); });
    context_.restart();
    while (!outcome && context_.run_one_for(kTimeout) > 0) {
    }
    return std::move(*outcome);
  }

  // Sends raw bytes and returns what the server sends until it closes the
  // connection.
  auto ExchangeRaw(std::string bytes) -> std::string {
    std::string reply;
    std::thread client([&] {
      asio::io_context io;
      asio::ip::tcp::socket socket(io);
      socket.connect({asio::ip::make_address("127.0.0.1"), port_});
      asio::write(socket, asio::buffer(bytes));
      boost::system::error_code ec;
      asio::read(socket, asio::dynamic_buffer(reply), ec);
      context_.stop();
    });
    context_.restart();
    context_.run_for(kTimeout * 2);
    client.join();
    return reply;
  }

  asio::io_context context_;
  std::vector<HttpResponder> unanswered_;
  std::vector<uint64_t> abandoned_;  // request numbers
  std::unique_ptr<HttpServer> server_;
  uint16_t port_ = 0;
};

TEST_F(HttpTest, ReusesConnectionForSeveralRequests) {
  StartServer({});
  HttpConnection connection(context_, Peer());
  for (const auto* it : {"one", "two"}) {
    const auto response = Exchange(
        connection,
        HttpRequest{
            .method = "POST", .target = "/", .headers = {}, .body = it});
    ASSERT_TRUE(response.has_value());
    EXPECT_EQ(response.value().body, it);
    EXPECT_TRUE(connection.IsReusable());
  }
}

TEST_F(HttpTest, ReportsAbandonedRequestWhenPeerCloses) {
  StartServer({});
  asio::ip::tcp::socket socket(context_);
  socket.connect({asio::ip::make_address("127.0.0.1"), port_});
  const std::string request = "GET /silent HTTP/1.1\r\nHost: a\r\n\r\n";
  asio::write(socket, asio::buffer(request));
  while (unanswered_.empty() && context_.run_one_for(kTimeout) > 0) {
  }
  EXPECT_TRUE(abandoned_.empty());
  socket.close();
  while (abandoned_.empty() && context_.run_one_for(kTimeout) > 0) {
  }
  EXPECT_EQ(abandoned_, std::vector<uint64_t>{1});
  // The responder may still be called; nobody reads this response.
  unanswered_.front()(HttpResponse{.status = 200});
}

// Guards against work for a caller that has left: the process was suspended
// while the request arrived and the caller gave up.
TEST_F(HttpTest, DropsRequestWhosePeerClosedBeforeItWasRead) {
  StartServer({});
  asio::ip::tcp::socket socket(context_);
  socket.connect({asio::ip::make_address("127.0.0.1"), port_});
  const std::string request = "GET /silent HTTP/1.1\r\nHost: a\r\n\r\n";
  asio::write(socket, asio::buffer(request));
  socket.close();
  context_.run_for(milliseconds(300));
  EXPECT_TRUE(unanswered_.empty());
  EXPECT_EQ(server_->ActiveRequests(), 0);
}

TEST_F(HttpTest, RespondsWithoutBodyWhenHeaderIsRejected) {
  StartServer({});
  const auto reply = ExchangeRaw(
      "POST /refused HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n");
  EXPECT_TRUE(reply.starts_with("HTTP/1.1 429")) << reply;
}

TEST_F(HttpTest, RejectsOversizedBodyBeforeReadingIt) {
  StartServer({.listen = {}, .limits = {.max_body_bytes = 10}});
  const auto reply = ExchangeRaw(
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n");
  EXPECT_TRUE(reply.starts_with("HTTP/1.1 413")) << reply;
}

TEST_F(HttpTest, RespondsWithRequestTimeoutWhenBodyIsSlow) {
  StartServer({.listen = {}, .body_timeout = milliseconds(50)});
  const auto reply = ExchangeRaw(
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nabc");
  EXPECT_TRUE(reply.starts_with("HTTP/1.1 408")) << reply;
}

// Guards against refusals of requests inside the limits.
TEST_F(HttpTest, ServesRequestsInsideLimits) {
  StartServer({.listen = {}, .limits = {.max_head_bytes = 16384}});
  const auto end = std::string("Connection: close\r\n");
  const auto long_head =
      ExchangeRaw("GET / HTTP/1.1\r\nT: " + std::string(15000, 'x') + "\r\n" +
                  end + "\r\n");
  EXPECT_TRUE(long_head.starts_with("HTTP/1.1 200")) << long_head;
  std::string chunks =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" + end + "\r\n";
  for (auto i = 0; i < 20000; ++i) {
    chunks += "1\r\nx\r\n";
  }
  const auto bytewise =
      ExchangeRaw(chunks + "0\r\nT: trailer\r\nU: another\r\n\r\n");
  EXPECT_TRUE(bytewise.ends_with(std::string(20000, 'x')));
  const auto expecting = ExchangeRaw(
      "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n" + end +
      "\r\nx");
  EXPECT_TRUE(expecting.ends_with("x")) << expecting;
}

// Guards against reading without end: each of these was read for as long as
// the client sent.
TEST_F(HttpTest, RefusesRequestsWithoutEnd) {
  StartServer({.listen = {}, .limits = {.max_head_bytes = 1000}});
  const std::string line = "T: " + std::string(2000, 'x') + "\r\n";
  const std::string chunked =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const auto& it : {"GET / HTTP/1.1\r\n" + line, chunked + "0\r\n" + line,
                         chunked + "1;a=" + std::string(2000, 'x'),
                         "GET /" + std::string(2000, 'x')}) {
    const auto reply = ExchangeRaw(it);
    EXPECT_TRUE(reply.starts_with("HTTP/1.1 431")) << reply;
  }
}

// Guards against idle connections that keep new ones from being served.
TEST_F(HttpTest, ClosesIdleConnectionForNewOne) {
  StartServer({.listen = {}, .max_connections = 1});
  asio::ip::tcp::socket idle(context_);
  idle.connect({asio::ip::make_address("127.0.0.1"), port_});
  const auto reply = ExchangeRaw("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  EXPECT_TRUE(reply.starts_with("HTTP/1.1 200")) << reply;
}

// Guards against closing a connection whose job is in progress.
TEST_F(HttpTest, RefusesNewConnectionWhenAllOthersAreAtWork) {
  StartServer({.listen = {}, .max_connections = 1});
  asio::ip::tcp::socket busy(context_);
  busy.connect({asio::ip::make_address("127.0.0.1"), port_});
  const std::string request = "GET /silent HTTP/1.1\r\n\r\n";
  asio::write(busy, asio::buffer(request));
  while (unanswered_.empty() && context_.run_one_for(kTimeout) > 0) {
  }
  const auto reply = ExchangeRaw("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  EXPECT_TRUE(reply.starts_with("HTTP/1.1 413")) << reply;
  EXPECT_TRUE(abandoned_.empty());
  unanswered_.front()(HttpResponse{.status = 200});
}

// Guards against many bodies that together take more memory than the process
// has: the slowest gives way, a new request is served.
TEST_F(HttpTest, ClosesSlowestBodyWhenAllTakeTooMuchMemory) {
  StartServer({.listen = {}, .max_held_bytes = 60000});
  asio::ip::tcp::socket slow(context_);
  slow.connect({asio::ip::make_address("127.0.0.1"), port_});
  const auto half = "POST / HTTP/1.1\r\nContent-Length: 50000\r\n\r\n" +
                    std::string(40000, 'x');
  asio::write(slow, asio::buffer(half));
  const auto reply = ExchangeRaw(
      "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 50000\r\n\r\n" +
      std::string(50000, 'y'));
  EXPECT_TRUE(reply.starts_with("HTTP/1.1 200"));
  boost::system::error_code ec;
  char byte = 0;
  asio::read(slow, asio::buffer(&byte, 1), ec);
  EXPECT_TRUE(ec);
}

TEST_F(HttpTest, MarksRequestAsSentWhenResponseTimesOut) {
  StartServer({});
  HttpConnection connection(context_, Peer());
  const auto result = Exchange(
      connection,
      HttpRequest{
          .method = "GET", .target = "/silent", .headers = {}, .body = {}},
      milliseconds(50));
  ASSERT_FALSE(result.has_value());
  EXPECT_EQ(result.error().kind, HttpError::Kind::kTimeout);
  EXPECT_TRUE(result.error().request_sent);
  EXPECT_FALSE(connection.IsReusable());
}

TEST_F(HttpTest, MarksRequestAsNotSentWhenConnectionIsRefused) {
  StartServer({});
  server_.reset();
  HttpConnection connection(context_, Peer());
  const auto result = Exchange(
      connection,
      HttpRequest{.method = "GET", .target = "/", .headers = {}, .body = {}});
  ASSERT_FALSE(result.has_value());
  EXPECT_FALSE(result.error().request_sent);
}

// A peer whose response takes 300 ms to arrive, a sixth of its body each 50 ms.
class SlowBody : public testing::Test {
 protected:
  void SetUp() override {
    acceptor.async_accept([this](boost::system::error_code, tcp::socket peer) {
      socket = std::move(peer);
      Write("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n");
      SendPart(6);
    });
  }

  auto Write(const std::string& text) -> void {
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(text), ignored);
  }

  auto SendPart(int left) -> void {
    if (left == 0) {
      return;
    }
    timer.expires_after(milliseconds{50});
    timer.async_wait([this, left](boost::system::error_code) {
      Write("x");
      SendPart(left - 1);
    });
  }

  // Returns the body that arrives with an answer timeout of 120 ms.
  auto Receive(milliseconds body_timeout) -> std::string {
    HttpConnection connection(
        context, {.ip = "127.0.0.1", .port = acceptor.local_endpoint().port()});
    connection.SetBodyTimeout(body_timeout);
    std::string body = "none";
    HttpRequest request;
    request.method = "GET";
    request.target = "/";
    connection.Send(request, seconds(5), milliseconds{120},
                    [&](Result<HttpResponse, HttpError> result) {
                      body = result.has_value() ? result.value().body : "late";
                      context.stop();
                    });
    context.run_for(seconds(5));
    return body;
  }

  using tcp = asio::ip::tcp;
  asio::io_context context;
  tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
  tcp::socket socket{context};
  asio::steady_timer timer{context};
};

// Guards against answers that never arrive: the configuration takes longer on a
// slow link than the answer timeout, and each retry began at its start.
TEST_F(SlowBody, ArrivesWhileItsPartsKeepComing) {
  EXPECT_EQ(Receive(milliseconds{2000}), "xxxxxx");
}

// Guards against a worker, store or peer that makes this process read without
// end: the answer fails and the connection is closed.
TEST(HttpConnectionLimits, EndResponsesWithoutEnd) {
  using tcp = asio::ip::tcp;
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string line(1000, 'x');
  for (const auto& [opening, repeated] :
       {std::pair(chunked + "0\r\n", "T: " + line + "\r\n"),
        std::pair(chunked + "1;a=", line),
        std::pair(chunked, "1;a=" + line + "\r\nx\r\n"),
        std::pair(std::string("HTTP/1.1 200 OK\r\n"), "T: " + line + "\r\n"),
        std::pair(std::string("HTTP/1.1 200 OK\r\n\r\n"), line)}) {
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    auto cut_off = false;
    std::thread peer([&, opening = opening, repeated = repeated] {
      auto socket = acceptor.accept();
      boost::system::error_code ec;
      asio::write(socket, asio::buffer(opening), ec);
      for (auto i = 0; i < 20000 && !ec; ++i) {
        asio::write(socket, asio::buffer(repeated), ec);
      }
      cut_off = bool(ec);
    });
    HttpConnection connection(
        context, {.ip = "127.0.0.1", .port = acceptor.local_endpoint().port()});
    connection.SetMaxBodyBytes(10000);
    connection.SetBodyTimeout(kTimeout);
    std::optional<HttpError> error;
    connection.Send({.method = "GET", .target = "/", .headers = {}, .body = {}},
                    kTimeout, kTimeout, [&](auto result) {
                      if (result.has_error()) {
                        error = result.error();
                      }
                    });
    context.run();
    peer.join();
    ASSERT_TRUE(error) << opening;
    EXPECT_TRUE(cut_off) << opening;
    EXPECT_EQ(error->kind, HttpError::Kind::kProtocol) << error->reason;
    EXPECT_FALSE(connection.IsReusable());
  }
}

TEST_F(SlowBody, IsGivenUpAtAnswerTimeoutByDefault) {
  EXPECT_EQ(Receive(milliseconds{0}), "late");
}

TEST(HttpMessageTest, SplitsTargetIntoPathAndQuery) {
  EXPECT_EQ(TargetPath("/v1/jobs?wait_ms=5"), "/v1/jobs");
  EXPECT_EQ(QueryParameter("/v1/jobs?a=1&wait_ms=5", "wait_ms"), "5");
  EXPECT_EQ(QueryParameter("/v1/jobs", "wait_ms"), "");
  EXPECT_EQ(PathSegments("/v1//jobs/x?y"),
            (std::vector<std::string>{"v1", "jobs", "x"}));
}

}  // namespace
}  // namespace boragecroft
