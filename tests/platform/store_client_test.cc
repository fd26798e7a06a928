// Checks how the store's client uses its connections, with a store in the same
// process whose connections can go silent one by one.
#include "platform/store_client.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

namespace boragecroft::platform {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

struct StoreSession {
  explicit StoreSession(tcp::socket from) : socket(std::move(from)) {}

  tcp::socket socket;
  std::array<char, 4096> input{};
  bool silent = false;  // requests are received but not answered
};

class StoreConnections : public testing::Test {
 protected:
  void SetUp() override {
    Accept();
    client = std::make_unique<StoreClient>(
        context,
        Address{.ip = "127.0.0.1", .port = acceptor.local_endpoint().port()});
  }

  auto Accept() -> void {
    acceptor.async_accept([this](boost::system::error_code ec, tcp::socket in) {
      if (!ec) {
        sessions.push_back(std::make_shared<StoreSession>(std::move(in)));
        Answer(sessions.back());
        Accept();
      }
    });
  }

  // Answers each request that arrives in one piece with an empty page.
  auto Answer(const std::shared_ptr<StoreSession>& session) -> void {
    session->socket.async_read_some(
        asio::buffer(session->input),
        [this, session](boost::system::error_code ec, size_t) {
          if (ec || session->silent) {
            return;
          }
          const std::string body = R"({"rows":[],"ver":1})";
          asio::write(
              session->socket,
              asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body));
          Answer(session);
        });
  }

  // Begins to read a table and counts its answers.
  auto Read() -> void {
    client->Read(RowQuery{.table = "op"}, [this](const auto& page) {
      ++(page.has_value() ? answered : failed);
    });
  }

  auto RunFor(milliseconds time) -> void {
    context.restart();
    context.run_for(time);
  }

  asio::io_context context;
  tcp::acceptor acceptor{context,
                         {asio::ip::make_address("127.0.0.1"), uint16_t{0}}};
  std::vector<std::shared_ptr<StoreSession>> sessions;
  std::unique_ptr<StoreClient> client;
  int answered = 0;
  int failed = 0;
};

// Guards against a second time-out in a row: connections to the store go silent
// together, so the idle ones are as old as the one that timed out.
TEST_F(StoreConnections, AreReplacedAfterOneOfThemWentSilent) {
  Read();
  Read();
  RunFor(milliseconds{200});
  ASSERT_EQ(sessions.size(), 2);
  ASSERT_EQ(answered, 2);
  for (const auto& it : sessions) {
    it->silent = true;
  }
  Read();
  RunFor(milliseconds{1100});
  ASSERT_EQ(failed, 1);
  Read();
  RunFor(milliseconds{300});
  EXPECT_EQ(answered, 3);
  EXPECT_EQ(sessions.size(), 3);
}

}  // namespace
}  // namespace boragecroft::platform
