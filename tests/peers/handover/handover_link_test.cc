// Checks the connections between instances, with two instances in one process,
// each with its own event loop so that one can stand still.
#include "peers/handover/handover_link.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace boragecroft {
namespace {

struct LinkedInstance {
  explicit LinkedInstance(const std::string& name) {
    HandoverLinkCallbacks callbacks;
    callbacks.on_open = [this](LinkId id, const InstanceRef& /*peer*/,
                               bool /*opened*/) { open.push_back(id); };
    callbacks.on_message = [this](LinkId /*id*/, const HandoverMessage&) {
      ++messages;
    };
    callbacks.on_end = [this](LinkId id, LinkEnd /*end*/, Instant lost_at) {
      std::erase(open, id);
      last_lost_at = lost_at;
    };
    callbacks.on_connect_failed = [](const Address&, ConnectFailure) {};
    link = HandoverLink::Listen(
               context,
               InstanceRef{.name = name,
                           .zone = "north",
                           .address = {.ip = "127.0.0.1", .port = 0}},
               std::move(callbacks))
               .value();
  }

  auto RunFor(milliseconds time) -> void {
    context.restart();
    context.run_for(time);
  }

  boost::asio::io_context context;
  std::unique_ptr<HandoverLink> link;
  std::vector<LinkId> open;
  int messages = 0;
  Instant last_lost_at;
};

class SuspendedInstance : public testing::Test {
 protected:
  // Connects the origin to the holder, which then stands still while the origin
  // sends it a message.
  void SetUp() override {
    origin.link->Connect(holder.link->Self().address);
    for (auto i = 0; i < 5; ++i) {
      origin.RunFor(milliseconds{20});
      holder.RunFor(milliseconds{20});
    }
    ASSERT_EQ(origin.open.size(), 1);
    ASSERT_EQ(holder.open.size(), 1);
    origin.link->Send(origin.open[0],
                      CancelMessage{.group = "north", .job = JobName{1}});
    origin.RunFor(milliseconds{50});
  }

  LinkedInstance origin{"origin"};
  LinkedInstance holder{"holder"};
};

TEST_F(SuspendedInstance, ReceivesWaitingMessagesWhenItsConnectionsStayOpen) {
  holder.RunFor(milliseconds{50});
  EXPECT_EQ(holder.messages, 1);
}

// Guards against two runs of one task: a holder that was suspended accepted the
// jobs that waited in its sockets, although their callers had left.
TEST_F(SuspendedInstance, DropsWaitingMessagesWhenItEndsItsConnections) {
  holder.link->EndAll();
  EXPECT_TRUE(holder.open.empty());
  holder.RunFor(milliseconds{50});
  EXPECT_EQ(holder.messages, 0);
}

// Guards against runs that outlast the connection to their origin: the loss
// counted from the next heartbeat, so that the runs could last 200 ms too long.
TEST_F(SuspendedInstance, CountsAsLostSinceEndOfHeartbeatTimeout) {
  const auto id = holder.open.at(0);
  holder.RunFor(milliseconds{20});
  const auto last_heard = holder.link->LastHeard(id).value();
  while (BootClock::now() - last_heard < kHeartbeatTimeout + milliseconds{50}) {
    holder.RunFor(milliseconds{20});
  }
  holder.link->SendHeartbeats(HeartbeatMessage());
  EXPECT_TRUE(holder.open.empty());
  EXPECT_EQ(holder.last_lost_at, last_heard + kHeartbeatTimeout);
}

}  // namespace
}  // namespace boragecroft
