#include "servers/dispatcher/team_demands.h"

#include <gtest/gtest.h>

namespace boragecroft {
namespace {

auto WithTeams(const std::vector<std::string>& names) -> Configuration {
  Configuration configuration;
  for (const auto& it : names) {
    configuration.teams.push_back(TeamDeclaration{.name = it});
  }
  return configuration;
}

struct TeamDemandsInHeartbeat : testing::Test {
  Configuration sender = WithTeams({"banks", "portal", "utilities"});
  std::vector<TeamTasks> demands = {{.team = "banks", .tasks = 7},
                                    {.team = "utilities", .tasks = 300}};

  auto SentTo(uint32_t receiver_digest) const -> Heartbeat {
    Heartbeat heartbeat;
    EncodeTeamDemands(sender, demands, receiver_digest, heartbeat);
    return heartbeat;
  }

  static auto Tasks(const std::vector<TeamTasks>& demands,
                    const std::string& team) -> uint32_t {
    for (const auto& it : demands) {
      if (it.team == team) {
        return it.tasks;
      }
    }
    return 0;
  }
};

TEST_F(TeamDemandsInHeartbeat, UseNumbersWhenReceiverKnowsSameTeams) {
  const auto heartbeat = SentTo(TeamsDigest(sender));
  EXPECT_TRUE(heartbeat.team_demands.empty());
  const auto decoded = DecodeTeamDemands(sender, heartbeat);
  EXPECT_EQ(Tasks(decoded, "banks"), 7U);
  EXPECT_EQ(Tasks(decoded, "portal"), 0U);
  EXPECT_EQ(Tasks(decoded, "utilities"), 300U);
}

TEST_F(TeamDemandsInHeartbeat, UseNamesWhenReceiverKnowsOtherTeams) {
  const auto receiver = WithTeams({"utilities", "banks"});
  const auto decoded =
      DecodeTeamDemands(receiver, SentTo(TeamsDigest(receiver)));
  EXPECT_EQ(Tasks(decoded, "banks"), 7U);
  EXPECT_EQ(Tasks(decoded, "utilities"), 300U);
}

TEST_F(TeamDemandsInHeartbeat, AreIgnoredWhenNumbersAreOfOtherTeams) {
  const auto receiver = WithTeams({"utilities", "portal", "banks"});
  EXPECT_TRUE(DecodeTeamDemands(receiver, SentTo(TeamsDigest(sender))).empty());
}

}  // namespace
}  // namespace boragecroft
