#include <gtest/gtest.h>

#include "main/daemon/settings_map.h"
#include "main/settings/daemon_settings.h"
#include "main/settings/settings_reference.h"
#include "tests/main/source_files.h"

namespace boragecroft {
namespace {

constexpr auto kComplete = R"({
  // one instance
  "instance": "a1", "availability_zone": "bilbao", "deployment": "cartas",
  "listen_callers": "127.0.0.1:0", "listen_instances": "127.0.0.1:0",
  "listen_operators": "[::1]:0", "platform": "127.0.0.1:9000",
  "seed_instances": ["127.0.0.1:8081"]
})";

auto Edited(const std::string& from, const std::string& to) -> std::string {
  std::string text = kComplete;
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

auto ErrorsOf(const std::string& text) -> std::vector<std::string> {
  const auto result = ParseSettings(text, "d.jsonc");
  std::vector<std::string> out;
  if (result.has_error()) {
    for (const auto& it : result.error()) {
      out.push_back(ToString(it));
    }
  }
  return out;
}

TEST(SettingsTest, UsesDefaultsForAbsentKeys) {
  const auto result = ParseSettings(kComplete, "d.jsonc");
  ASSERT_TRUE(result.has_value());
  const auto& it = result.value();
  EXPECT_EQ(it.instance, "a1");
  EXPECT_EQ(it.listen_operators, (Address{.ip = "::1", .port = 0}));
  EXPECT_EQ(it.seed_instances.size(), 1U);
  EXPECT_EQ(it.heartbeat_interval, milliseconds(500));
  EXPECT_EQ(it.log_level, LogLevel::kInfo);
}

TEST(SettingsTest, ErrorNamesFileKeyFoundAndAllowedValue) {
  using Errors = std::vector<std::string>;
  EXPECT_EQ(
      ErrorsOf(Edited("\"127.0.0.1:9000\"", "\"platform:9000\"")),
      Errors{
          "d.jsonc: platform: found \"platform:9000\", allowed: an IP number "
          "and port other than 0, for example \"10.0.0.1:80\""});
  EXPECT_EQ(ErrorsOf(Edited("127.0.0.1:8081", "127.0.0.1:0")).size(), 1U);
  EXPECT_EQ(ErrorsOf(Edited("\"instance\": \"a1\"", "\"instance\": \"\"")),
            Errors{"d.jsonc: instance: found \"\", allowed: a name"});
  EXPECT_EQ(ErrorsOf(Edited("\"seed_instances\"", "\"sed_instances\"")),
            Errors{"d.jsonc: sed_instances: found [\"127.0.0.1:8081\"], "
                   "allowed: no such key"});
  EXPECT_EQ(ErrorsOf(Edited("\"platform\"",
                            "\"heartbeat_interval_ms\": 20000, \"platform\"")),
            Errors{"d.jsonc: dead_after_ms: found 30000, allowed: at least 3 "
                   "times heartbeat_interval_ms: 60000"});
  EXPECT_EQ(
      ErrorsOf(
          Edited("\"platform\"", "\"balancer_grace_ms\": 30000, \"platform\"")),
      Errors{"d.jsonc: balancer_grace_ms: found 30000, allowed: less than "
             "drain_timeout_ms 30000"});
  EXPECT_EQ(ErrorsOf(Edited("\"listen_instances\": \"127.0.0.1:0\"",
                            "\"listen_instances\": \"0.0.0.0:5\"")),
            Errors{"d.jsonc: listen_instances: found 0.0.0.0:5, allowed: an "
                   "address that other instances can connect to"});
  EXPECT_EQ(ErrorsOf(Edited("\"[::1]:0\"", "\"127.0.0.1:9000\"")),
            Errors{"d.jsonc: platform: found 127.0.0.1:9000, allowed: an "
                   "address that no other key names"});
}

TEST(SettingsTest, TimeoutsArePassedToDispatcher) {
  const auto text = Edited("\"platform\"",
                           "\"peer_timeout_ms\": 600, "
                           "\"query_timeout_ms\": 700, \"platform\"");
  const auto settings = ParseSettings(text, "d.jsonc");
  ASSERT_TRUE(settings.has_value());
  const auto dispatcher = ToDispatcherSettings(settings.value(), {});
  EXPECT_EQ(dispatcher.relay_timeout, milliseconds(600));
  EXPECT_EQ(dispatcher.query_timeout, milliseconds(700));
}

TEST(SettingsTest, ReportsAllErrorsTogether) {
  // Three names and four addresses are missing.
  EXPECT_EQ(ErrorsOf("{}").size(), 7U);
}

TEST(SettingsPageTest, ContainsTheTableOfAllKeys) {
  const auto page = ReadSource("docs/operators/settings.md");
  EXPECT_NE(page.find(SettingsReference()), std::string::npos)
      << "the page lacks this table:\n"
      << SettingsReference();
}

}  // namespace
}  // namespace boragecroft
