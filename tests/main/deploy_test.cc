#include <gtest/gtest.h>

#include "main/settings/daemon_settings.h"
#include "servers/configuration/configuration.h"
#include "tests/main/source_files.h"

namespace boragecroft {
namespace {

class DeploymentTest : public testing::TestWithParam<std::string> {
 protected:
  auto Declarations() -> Configuration {
    const auto result = ParseConfiguration(
        ReadSource("deploy/" + GetParam() + "/declarations.jsonc"));
    if (result.has_error()) {
      ADD_FAILURE() << ToString(result.error().front());
      return {};
    }
    return result.value();
  }

  auto Settings() -> DaemonSettings {
    const auto file = "deploy/" + GetParam() + "/daemon.jsonc";
    const auto result = ParseSettings(ReadSource(file), file);
    if (result.has_error()) {
      ADD_FAILURE() << ToString(result.error().front());
      return {};
    }
    return result.value();
  }
};

TEST_P(DeploymentTest, DeclaresThreeZonesOfOneRegionAndItsService) {
  const auto it = Declarations();
  EXPECT_EQ(it.deployment, GetParam());
  ASSERT_EQ(it.zones.size(), 3U);
  EXPECT_EQ(it.zones[0].region, it.zones[2].region);
  ASSERT_NE(FindService(it, GetParam()), nullptr);
  EXPECT_EQ(FindService(it, GetParam())->slots_per_worker, 8U);
  EXPECT_EQ(FindService(it, GetParam())->connections_per_worker, 64U);
}

TEST_P(DeploymentTest, EveryClassHasAFloor) {
  for (const auto& it : Declarations().classes) {
    EXPECT_GT(it.floor_percent, 0U) << it.name;
  }
}

TEST_P(DeploymentTest, SettingsNameADeclaredZone) {
  const auto settings = Settings();
  const auto declarations = Declarations();
  EXPECT_EQ(settings.deployment, GetParam());
  EXPECT_TRUE(std::any_of(
      declarations.zones.begin(), declarations.zones.end(),
      [&](const auto& it) { return it.name == settings.availability_zone; }));
}

INSTANTIATE_TEST_SUITE_P(Both,
                         DeploymentTest,
                         testing::Values("cartas", "logbook"));

TEST(CartasTest, RecordsJobsBeforeStartAndBeforeAnswer) {
  const auto it =
      ParseConfiguration(ReadSource("deploy/cartas/declarations.jsonc"))
          .value();
  for (const auto* name : {"demands", "bulk"}) {
    EXPECT_TRUE(FindClass(it, name)->record_before_start) << name;
    EXPECT_TRUE(FindClass(it, name)->record_before_answer) << name;
  }
}

TEST(LogbookTest, OnlyCrewDispatchRequiresARecord) {
  const auto it =
      ParseConfiguration(ReadSource("deploy/logbook/declarations.jsonc"))
          .value();
  EXPECT_TRUE(FindClass(it, "crew-dispatch")->record_before_start);
  for (const auto* name : {"damage-notes", "fault-summaries"}) {
    EXPECT_FALSE(FindClass(it, name)->record_before_start) << name;
    EXPECT_FALSE(FindClass(it, name)->record_before_answer) << name;
  }
}

}  // namespace
}  // namespace boragecroft
