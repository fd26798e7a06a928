#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <utility>

#include "main/entry/entry_instance.h"
#include "tests/main/entry/entry_settings.h"

namespace boragecroft {
namespace {

// An instance to which one process of a peer opens two connections, the second
// one before this instance knows that the first one is lost.
class ReconnectedPeer : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(StartEntry(state).has_value());
    first = Connect();
    Await([this] { return state.peers.size() == 1; });
    second = Connect();
    Await([this] { return state.peers.size() == 2; });
  }

  auto Connect() -> std::unique_ptr<HandoverLink> {
    HandoverLinkCallbacks callbacks;
    callbacks.on_open = [](LinkId, const InstanceRef&, bool) {};
    callbacks.on_message = [](LinkId, const HandoverMessage&) {};
    callbacks.on_end = [](LinkId, LinkEnd, Instant) {};
    callbacks.on_connect_failed = [](const Address&, ConnectFailure) {};
    auto link = HandoverLink::Listen(context,
                                     InstanceRef{.name = "north-2",
                                                 .zone = "north",
                                                 .address = Loopback(),
                                                 .incarnation = {7}},
                                     std::move(callbacks), Loopback(9))
                    .value();
    link->Connect(state.self.address);
    return link;
  }

  template <class Condition>
  auto Await(Condition condition) -> void {
    while (!condition() && context.run_one_for(seconds(5)) > 0) {
    }
    ASSERT_TRUE(condition());
  }

  boost::asio::io_context context;
  EntryState state{context, MakeEntrySettings(), 0};
  std::unique_ptr<HandoverLink> first;
  std::unique_ptr<HandoverLink> second;
};

// Guards against a holder without successors: the end of a peer's old
// connection removed the peer although it had a new one, so that no token was
// reserved for it as long as that connection lasted.
TEST_F(ReconnectedPeer, StaysCandidateWhenOldConnectionEnds) {
  first->EndAll();
  Await([this] { return state.peers.size() == 1; });
  EXPECT_EQ(state.succession.connected.size(), 1U);
  second->EndAll();
  Await([this] { return state.peers.empty(); });
  EXPECT_TRUE(state.succession.connected.empty());
}

}  // namespace
}  // namespace boragecroft
