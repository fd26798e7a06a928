#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/http/http_server.h"
#include "main/entry/entry_instance.h"
#include "main/entry/evacuation_flow.h"
#include "main/entry/group_flow.h"
#include "main/entry/peer_flow.h"
#include "main/entry/store_flow.h"
#include "tests/main/entry/entry_settings.h"

namespace boragecroft {
namespace {

// An instance that can't reach the store and holds the group of its zone, one
// of two. The connection 1 is that of a peer.
class InstanceWithoutStore : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(StartEntry(state).has_value());
    state.succession.groups["south"];
    state.peers[1] = PeerLink{};
    BeginGroup(state, "north", 1);
  }

  auto ReceiveHeartbeat(const Evacuation& record) -> void {
    HeartbeatMessage message;
    message.evacuations = {record};
    OnPeerMessage(state, 1, message);
  }

  auto IsWithheld(const std::string& group) const -> bool {
    return state.schedulers.at(group).evacuated_since.has_value();
  }

  boost::asio::io_context context;
  EntryState state{context, MakeSettings(), 0};

 private:
  static auto MakeSettings() -> platform::Settings {
    auto settings = MakeEntrySettings();
    settings.zones = {"north", "south"};
    settings.evacuation_bound = milliseconds{5000};
    return settings;
  }
};

TEST_F(InstanceWithoutStore, LearnsEvacuationAndItsEndFromPeer) {
  ReceiveHeartbeat({.zone = "north", .version = 7, .active = true});
  EXPECT_TRUE(IsWithheld("north"));
  EXPECT_TRUE(state.intake.evacuated.groups.contains("north"));
  EXPECT_FALSE(state.intake.evacuated.all);
  ReceiveHeartbeat({.zone = "south", .version = 8, .active = true});
  EXPECT_TRUE(state.intake.evacuated.all);
  ReceiveHeartbeat({.zone = "north", .version = 9, .active = false});
  EXPECT_FALSE(IsWithheld("north"));
  EXPECT_FALSE(state.intake.evacuated.all);
}

// Guards against a chain that ends here: other instances that can't reach the
// store learn the record through this one, which did not read it there either.
TEST_F(InstanceWithoutStore, PassesOnWhatItLearned) {
  const Evacuation record{.zone = "north", .version = 7, .active = true};
  ReceiveHeartbeat(record);
  EXPECT_EQ(MakeHeartbeat(state, false).evacuations,
            std::vector<Evacuation>{record});
  const auto snapshot = MakeSnapshot(state);
  ASSERT_EQ(snapshot.rows.size(), 1U);
  EXPECT_EQ(snapshot.rows[0].key, "evacuate/north");
  EXPECT_EQ(snapshot.rows[0].version, 7U);
}

// Guards against starts by a holder that takes over in the middle of an
// evacuation.
TEST_F(InstanceWithoutStore, WithholdsStartsOfGroupThatItTakesOver) {
  ReceiveHeartbeat({.zone = "south", .version = 7, .active = true});
  BeginGroup(state, "south", 1);
  EXPECT_TRUE(IsWithheld("south"));
  EXPECT_FALSE(IsWithheld("north"));
  EXPECT_EQ(state.schedulers.at("south").started_job_grace, seconds(1));
}

TEST_F(InstanceWithoutStore, StartsWithEvacuationsOfSnapshot) {
  SnapshotTransfer snapshot;
  snapshot.rows = {{.table = "op",
                    .part = "",
                    .key = "evacuate/north",
                    .value = "{}",
                    .version = 7}};
  ApplySnapshot(state, snapshot);
  EXPECT_TRUE(IsWithheld("north"));
}

// Guards against an evacuation without end: its row was deleted while this
// instance could not reach the store.
TEST_F(InstanceWithoutStore, EndsEvacuationThatStoreNoLongerHasOnItsReturn) {
  ReceiveHeartbeat({.zone = "north", .version = 7, .active = true});
  OnOperatorRowsRead(state, 6);
  EXPECT_TRUE(IsWithheld("north"));
  OnOperatorRowsRead(state, 12);
  EXPECT_FALSE(IsWithheld("north"));
}

// Guards against a group without workers that this instance claims because an
// operator mistyped the name of a zone.
TEST_F(InstanceWithoutStore, DoesNotTakeUnknownZoneForGroup) {
  ReceiveHeartbeat({.zone = "nroth", .version = 7, .active = true});
  EXPECT_FALSE(state.succession.groups.contains("nroth"));
  EXPECT_FALSE(IsWithheld("north"));
  EXPECT_FALSE(state.intake.evacuated.all);
}

// An instance whose store has the operator's row of its zone. The feeds of the
// store wait until the test answers them.
class InstanceWithStore : public testing::Test {
 protected:
  void SetUp() override {
    HttpServerCallbacks calls;
    calls.on_request = [this](const HttpRequest& request,
                              HttpResponder respond) {
      const auto of_operators =
          request.target.find("table=op") != std::string::npos;
      if (TargetPath(request.target) != "/rows-get") {
        (of_operators ? operator_feeds : other_feeds)
            .push_back(std::move(respond));
        return;
      }
      respond(Body(of_operators ? R"({"rows":[{"key":"evacuate/north",)"
                                  R"("value":"e30=","ver":3}],"ver":5})"
                                : R"({"rows":[],"ver":5})"));
    };
    HttpServerOptions options;
    options.listen = Loopback();
    store_server =
        HttpServer::Listen(context, options, std::move(calls)).value();
    auto settings = MakeEntrySettings();
    settings.store = Loopback(store_server->Port());
    state = std::make_unique<EntryState>(context, settings, uint16_t{0});
    ASSERT_TRUE(StartEntry(*state).has_value());
  }

  static auto Body(const std::string& text) -> HttpResponse {
    HttpResponse out;
    out.body = text;
    return out;
  }

  auto RunUntil(const std::function<bool()>& condition) -> void {
    while (!condition() && context.run_one_for(seconds(5)) > 0) {
    }
    ASSERT_TRUE(condition());
  }

  boost::asio::io_context context;
  std::vector<HttpResponder> operator_feeds;
  std::vector<HttpResponder> other_feeds;
  std::unique_ptr<HttpServer> store_server;
  std::unique_ptr<EntryState> state;
};

// Guards against rows that the instance reads and ignores, as it did with every
// key but that of the configuration.
TEST_F(InstanceWithStore, FollowsOperatorsRowAndItsDeletion) {
  RunUntil([this] { return !operator_feeds.empty(); });
  EXPECT_EQ(ListEvacuations(state->evacuations),
            (std::vector<Evacuation>{{"north", 3, true}}));
  EXPECT_TRUE(state->intake.evacuated.all);
  operator_feeds.front()(Body(
      R"({"rows":[{"key":"evacuate/north","ver":7,"deleted":true}],"ver":7})"));
  RunUntil([this] { return !state->intake.evacuated.all; });
  EXPECT_EQ(ListEvacuations(state->evacuations),
            (std::vector<Evacuation>{{"north", 7, false}}));
}

}  // namespace
}  // namespace boragecroft
