#include "main/entry/suspension.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <utility>

#include "main/entry/entry_instance.h"
#include "tests/main/entry/entry_settings.h"

namespace boragecroft {
namespace {

// An instance that has just started and has one peer.
class StartedInstance : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(StartEntry(state).has_value());
    HandoverLinkCallbacks callbacks;
    callbacks.on_open = [](LinkId, const InstanceRef&, bool) {};
    callbacks.on_message = [](LinkId, const HandoverMessage&) {};
    callbacks.on_end = [](LinkId, LinkEnd, Instant) {};
    callbacks.on_connect_failed = [](const Address&, ConnectFailure) {};
    peer = HandoverLink::Listen(
               context,
               InstanceRef{
                   .name = "north-2", .zone = "north", .address = Loopback()},
               std::move(callbacks))
               .value();
    peer->Connect(state.self.address);
    while (state.peers.empty() && context.run_one_for(seconds(5)) > 0) {
    }
    ASSERT_EQ(state.peers.size(), 1U);
  }

  boost::asio::io_context context;
  EntryState state{context, MakeEntrySettings(), 0};
  std::unique_ptr<HandoverLink> peer;
};

// Guards against two runs of one task: an instance that was suspended before
// its first heartbeat did not notice it, and acted on the jobs that waited in
// its connections although their callers had sent them again.
TEST_F(StartedInstance, EndsConnectionsWhenSuspendedBeforeFirstHeartbeat) {
  HandleSuspension(state, BootClock::now() + seconds(3));
  EXPECT_TRUE(state.peers.empty());
}

// Guards against the same fault after a shorter suspension, in which the peers
// gave the connections up but which did not count as one.
TEST_F(StartedInstance, EndsConnectionsWhenPeersMayHaveGivenThemUp) {
  HandleSuspension(state, state.last_heartbeat + kHeartbeatTimeout);
  EXPECT_TRUE(state.peers.empty());
}

TEST_F(StartedInstance, KeepsConnectionsWhenNotSuspended) {
  HandleSuspension(state, state.last_heartbeat + kHeartbeatInterval);
  EXPECT_EQ(state.peers.size(), 1U);
}

}  // namespace
}  // namespace boragecroft
