#include "servers/dispatcher/operator_flow.h"

#include <gtest/gtest.h>

#include "servers/dispatcher/dispatcher.h"

namespace boragecroft {
namespace {

class DrainRequest : public testing::Test {
 protected:
  auto AskToDrain() -> OperatorReply {
    Outputs out;
    EventContext context{.dispatcher = *dispatcher, .now = now, .out = out};
    OnOperatorRequest(context, {.number = 7, .call = StartDrain()});
    return out.operators.at(0);
  }

  const Now now{.boot = Instant(seconds(1)), .wall = WallTime(seconds(2))};
  const std::unique_ptr<Dispatcher> dispatcher =
      MakeDispatcher({}, Incarnation{1}, 1, now);
};

TEST_F(DrainRequest, RepliesWithCurrentPhase) {
  for (const auto* state : {"leaving", "finishing", "flushing", "stopped"}) {
    const auto reply = AskToDrain();
    EXPECT_EQ(reply.status, 202);
    EXPECT_EQ(reply.body.at("state").as_string(), state);
    dispatcher->drain =
        static_cast<DrainPhase>(static_cast<int>(dispatcher->drain) + 1);
  }
}

}  // namespace
}  // namespace boragecroft
