// Checks which incarnation of a worker receives orders that grant a lease, with
// a worker in the same process that can restart.
#include "platform/worker_client.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/standins/fleet/fleet_worker.h"

namespace boragecroft::platform {
namespace {

// Guards against two runs of one task: a worker that was cut off restarted
// unseen, the next start carried a lease on the clock of the earlier
// incarnation, and the run went on after its holder had taken that lease for
// expired.
class RestartedWorker : public testing::Test {
 protected:
  static constexpr milliseconds kLease{60'000};

  void SetUp() override {
    worker.id = "w1";
    worker.run_time = seconds(10);
    standins::ListenAsWorker(worker);
    first = milliseconds(worker.started_at);
    standins::RestartWorker(worker);
    second = milliseconds(worker.started_at);
  }

  auto TargetOf(milliseconds incarnation) const -> OrderTarget {
    return {.worker = worker.id,
            .address = {.ip = "127.0.0.1", .port = worker.server->Port()},
            .token = 7,
            .incarnation = incarnation};
  }

  auto Start(milliseconds incarnation, uint32_t index = 0) -> OrderAnswer {
    answer.reset();
    client.Send(StartCommand{.target = TargetOf(incarnation),
                             .task = {.job = JobName{1}, .index = index},
                             .attempt = 1,
                             .spec = std::make_shared<std::string>("spec"),
                             .lease = kLease});
    return AwaitAnswer();
  }

  auto Renew(milliseconds incarnation, milliseconds lease) -> OrderAnswer {
    answer.reset();
    client.Send(RenewCommand{.target = TargetOf(incarnation), .lease = lease});
    return AwaitAnswer();
  }

  auto AwaitAnswer() -> OrderAnswer {
    while (!answer && context.run_one_for(seconds(5)) > 0) {
    }
    return answer.value_or(OrderAnswer::kInvalid);
  }

  boost::asio::io_context context;
  standins::RunStatistics statistics;
  standins::FleetWorker worker{context, statistics};
  milliseconds first{};  // starts of the two incarnations
  milliseconds second{};
  std::optional<OrderAnswer> answer;
  WorkerClient client{
      context,
      {.on_start = [this](const StartCommand&, OrderAnswer it) { answer = it; },
       .on_stop = [this](const StopCommand&, OrderAnswer it) { answer = it; },
       .on_renew = [this](const RenewCommand&,
                          OrderAnswer it,
                          const RunReport*,
                          Instant) { answer = it; }}};
};

TEST_F(RestartedWorker, GetsNoStartThatIsMeantForEarlierIncarnation) {
  EXPECT_EQ(Start(first), OrderAnswer::kRestarted);
  EXPECT_EQ(statistics.starts, 0U);
  {
    SCOPED_TRACE("nor on the connection that has shown the restart");
    EXPECT_EQ(Start(first), OrderAnswer::kRestarted);
    EXPECT_EQ(statistics.starts, 0U);
  }
}

TEST_F(RestartedWorker, GetsNoLeaseThatIsMeantForEarlierIncarnation) {
  EXPECT_EQ(Renew(first, kLease), OrderAnswer::kRestarted);
  EXPECT_EQ(worker.lease_expires, 0);
  {
    SCOPED_TRACE("a renewal that extends nothing finds out about the restart");
    EXPECT_EQ(Renew(first, milliseconds{0}), OrderAnswer::kAccepted);
  }
}

TEST_F(RestartedWorker, IsAskedOnceForEachConnection) {
  EXPECT_EQ(Start(second, 0), OrderAnswer::kAccepted);
  EXPECT_EQ(Start(second, 1), OrderAnswer::kAccepted);
  EXPECT_EQ(statistics.starts, 2U);
  EXPECT_EQ(client.Confirmations(), 1U);
  {
    SCOPED_TRACE("and again after the next restart");
    standins::RestartWorker(worker);
    EXPECT_EQ(Start(milliseconds(worker.started_at), 2),
              OrderAnswer::kAccepted);
    EXPECT_EQ(client.Confirmations(), 2U);
  }
}

TEST_F(RestartedWorker, GetsNoStartWhileItDoesNotAnswer) {
  worker.mode = standins::WorkerMode::kNoResponse;
  EXPECT_EQ(Start(second), OrderAnswer::kUnconfirmed);
  EXPECT_EQ(Renew(second, kLease), OrderAnswer::kNoAnswer);
  worker.mode = standins::WorkerMode::kUp;
  EXPECT_EQ(Start(second), OrderAnswer::kAccepted);
  EXPECT_EQ(statistics.starts, 1U);
}

TEST_F(RestartedWorker, KeepsEarlierRefusalsOfOrders) {
  EXPECT_EQ(Renew(second, milliseconds{0}), OrderAnswer::kAccepted);
  worker.token = 8;
  EXPECT_EQ(Start(second), OrderAnswer::kFenced);
  EXPECT_EQ(statistics.starts, 0U);
}

// A worker that ends each connection with its first answer.
class WorkerThatClosesConnections : public testing::Test {
 protected:
  void SetUp() override { Accept(); }

  auto Accept() -> void {
    acceptor.async_accept(
        [this](boost::system::error_code ec, boost::asio::ip::tcp::socket in) {
          if (!ec) {
            sockets.push_back(std::move(in));
            Answer(sockets.back());
            Accept();
          }
        });
  }

  auto Answer(boost::asio::ip::tcp::socket& socket) -> void {
    socket.async_read_some(
        boost::asio::buffer(buf),
        [this, &socket](boost::system::error_code ec, size_t n) {
          if (ec) {
            return;
          }
          requests.emplace_back(buf.data(), n);
          const std::string body =
              R"({"clock_ms":5,"born":1000,"running":[],"finished":[]})";
          boost::asio::write(
              socket,
              boost::asio::buffer(
                  "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body),
              ec);
          socket.close(ec);
        });
  }

  std::array<char, 4096> buf{};
  std::list<boost::asio::ip::tcp::socket> sockets;
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor{
      context,
      {boost::asio::ip::make_address("127.0.0.1"), uint16_t{0}}};
  std::vector<std::string> requests;
};

// Guards against a start on a connection that was opened again, which may lead
// to another incarnation than the one that answered on it before.
TEST_F(WorkerThatClosesConnections, GetsNoStartOnConnectionThatIsOpenedAgain) {
  std::optional<OrderAnswer> answer;
  WorkerClient client(
      context,
      {.on_start = [&](const StartCommand&, OrderAnswer it) { answer = it; },
       .on_stop = [](const StopCommand&, OrderAnswer) {},
       .on_renew = [](const RenewCommand&, OrderAnswer, const RunReport*,
                      Instant) {}});
  client.Send(StartCommand{
      .target = {.worker = "w1",
                 .address = {.ip = "127.0.0.1",
                             .port = acceptor.local_endpoint().port()},
                 .token = 7,
                 .incarnation = milliseconds{1000}},
      .task = {.job = JobName{1}},
      .attempt = 1,
      .spec = std::make_shared<std::string>("spec"),
      .lease = milliseconds{500}});
  while (!answer && context.run_one_for(seconds(5)) > 0) {
  }
  EXPECT_EQ(answer, OrderAnswer::kUnconfirmed);
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_TRUE(requests[0].starts_with("POST /hold"));
}

}  // namespace
}  // namespace boragecroft::platform
