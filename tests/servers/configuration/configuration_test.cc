#include "servers/configuration/configuration.h"

#include <gtest/gtest.h>

#include "servers/configuration/configuration_diff.h"
#include "tests/servers/configuration/documents.h"

namespace boragecroft {
namespace {

// Returns the current document with one piece of its text replaced.
auto Edited(const std::string& from, const std::string& to) -> std::string {
  std::string text = kCurrentDocument;
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

auto FaultsOf(const std::string& text) -> std::vector<std::string> {
  const auto result = ParseConfiguration(text);
  std::vector<std::string> out;
  if (result.has_error()) {
    for (const auto& it : result.error()) {
      out.push_back(ToString(it));
    }
  }
  return out;
}

struct FaultCase {
  std::string from;
  std::string to;
  std::string fault;
};

class FaultyDocumentTest : public testing::TestWithParam<FaultCase> {};

TEST_P(FaultyDocumentTest, ReportsFieldAndAllowedValues) {
  const auto& [from, to, fault] = GetParam();
  EXPECT_EQ(FaultsOf(Edited(from, to)), std::vector<std::string>{fault});
}

INSTANTIATE_TEST_SUITE_P(
    AllChecks,
    FaultyDocumentTest,
    testing::Values(
        FaultCase{"\"caja\"", "\"banco\"",
                  "partners[1].name: found \"banco\" a second time, allowed: a "
                  "name used once in this list"},
        FaultCase{"\"caja\"", "\"ca ja\"",
                  "partners[1].name: found \"ca ja\", allowed: 1 to 64 "
                  "letters, digits, dots, dashes or underscores"},
        FaultCase{"\"team\": \"water\"", "\"team\": \"gas\"",
                  "partners[2].team: found \"gas\", allowed: the name of a "
                  "declared team"},
        FaultCase{"\"floor_percent\": 40", "\"floor_percent\": 61",
                  "classes: found floor_percent 91 in all, allowed: at most 90 "
                  "in all; the rest is reserved"},
        FaultCase{"\"lease_ms\": 3000", "\"lease_ms\": 9001",
                  "services[0].lease_ms: found 9001, allowed: at most "
                  "task_timeout_ms 9000: a lease must not outlive the wait for "
                  "the answer"},
        FaultCase{"\"zones\": [{\"name\": \"bilbao\", \"region\": \"norte\"}]",
                  "\"zones\": []",
                  "zones: found nothing, allowed: at least one"},
        FaultCase{"\"floor_percent\": 30",
                  "\"floor_percent\": 30, \"default_deadline_ms\": 600001",
                  "classes[0].default_deadline_ms: found 600001, allowed: at "
                  "most limits.max_deadline_ms 600000"},
        FaultCase{"\"weight\": 3", "\"wieght\": 3",
                  "partners[0].wieght: found 3, allowed: no such key"},
        FaultCase{"\"teams\"", "\"limits\": {\"typo\": 1}, \"teams\"",
                  "limits.typo: found 1, allowed: no such key"},
        FaultCase{"\"teams\"", "\"typo\": 1, \"teams\"",
                  "typo: found 1, allowed: no such key"},
        FaultCase{"\"schema_version\": 2", "\"schema_version\": 3",
                  "schema_version: found 3, allowed: a whole number from 1 to "
                  "2"}));

TEST(ConfigurationTest, ReportsAllFaultsTogether) {
  // Missing: schema_version, deployment, zones, services, classes.
  EXPECT_EQ(FaultsOf("{}").size(), 5U);
  EXPECT_EQ(FaultsOf("[").size(), 1U);
}

TEST(SchemaVersionsTest, ConvertsVersion1ToCurrentShape) {
  const auto result = ParseConfiguration(kOlderDocument);
  ASSERT_TRUE(result.has_value());
  const auto& it = result.value();
  EXPECT_EQ(it.classes.front().name, "confirmations");
  ASSERT_NE(FindTeam(it, "banco"), nullptr);
  EXPECT_EQ(FindTeam(it, "banco")->quota_tasks, 500U);
  EXPECT_EQ(FindPartner(it, "banco")->team, "banco");
}

TEST(SchemaVersionsTest, RejectsVersion1WithMembersOfVersion2) {
  std::string text = kOlderDocument;
  text.replace(text.find("\"quota_tasks\""), 13, "\"team\": \"x\", \"quota\"");
  // Missing quota_tasks, unknown team, unknown quota.
  EXPECT_EQ(FaultsOf(text).size(), 3U);
}

TEST(SchemaVersionsTest, WritesAndReadsBackEachVersion) {
  const auto original = ParseConfiguration(kCurrentDocument).value();
  const auto current =
      ReadConfiguration(ToJson(original, 2), Strictness::kStrict);
  ASSERT_TRUE(current.has_value());
  EXPECT_TRUE(DiffConfigurations(original, current.value()).empty());

  const auto older = ToJson(original, 1);
  EXPECT_FALSE(older.as_object().contains("teams"));
  EXPECT_EQ(older.at("partners").at(1).at("quota_tasks"), 500);
  EXPECT_EQ(older.at("classes").at(1).at("priority"), 1);
  EXPECT_TRUE(ReadConfiguration(older, Strictness::kStrict).has_value());
}

TEST(SchemaVersionsTest, KeepsMembersOfNewerWriterOnRewrite) {
  auto document = ParseJsonWithComments(kCurrentDocument).value();
  document.as_object()["schema_version"] = 3;
  document.as_object()["added"] = json::array{1, "x"};
  document.at("partners").at(0).as_object()["colour"] = "red";
  EXPECT_FALSE(ReadConfiguration(document, Strictness::kStrict).has_value());

  const auto read = ReadConfiguration(document, Strictness::kLenient);
  ASSERT_TRUE(read.has_value());
  const auto rewritten = ToJson(read.value(), read.value().schema_version);
  EXPECT_EQ(rewritten.at("schema_version"), 3);
  EXPECT_EQ(rewritten.at("added"), document.at("added"));
  EXPECT_EQ(rewritten.at("partners").at(0).at("colour"), "red");
}

TEST(DiffTest, ListsEveryKindOfChange) {
  const auto before = ParseConfiguration(kCurrentDocument).value();
  auto after = before;
  std::swap(after.classes[0], after.classes[1]);
  after.teams[0].quota_tasks = 600;
  after.partners.pop_back();
  after.zones.push_back({.name = "oviedo", .region = "norte"});
  after.limits.max_tasks_per_job = 1000;
  after.policy = DispatchPolicy::kTwoChoices;

  std::vector<std::string> lines;
  for (const auto& it : DiffConfigurations(before, after)) {
    lines.push_back(ToString(it));
  }
  EXPECT_EQ(
      lines,
      (std::vector<std::string>{
          R"(added zones[oviedo]: {"name":"oviedo","region":"norte"})",
          "changed teams[banks].quota_tasks: 500 -> 600",
          R"(removed partners[aguas]: {"name":"aguas","team":"water","weight":1})",
          "moved classes[reminders]: 1 -> 0",
          "moved classes[confirmations]: 0 -> 1",
          "changed limits.max_tasks_per_job: 2000 -> 1000",
          R"(changed policy: "fair" -> "two_choices")"}));
}

}  // namespace
}  // namespace boragecroft
