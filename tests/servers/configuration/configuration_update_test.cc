#include "servers/configuration/configuration_update.h"

#include <gtest/gtest.h>

#include "servers/configuration/configuration_diff.h"
#include "tests/servers/configuration/documents.h"

namespace boragecroft {
namespace {

// A client of schema version 1 rewrites the document that it was shown, while a
// configuration with teams and with members of a newer writer is in force. The
// rewrite must not remove what the client could not see.
class OlderClientTest : public testing::Test {
 protected:
  OlderClientTest() {
    in_force_ = ParseConfiguration(kCurrentDocument).value();
    in_force_.partners[0].unknown["colour"] = "red";
    shown_ = ToJson(ParseConfiguration(kCurrentDocument).value(), 1);
  }

  auto Changes() -> std::vector<ConfigurationChange> {
    const auto update = PrepareUpdate(&in_force_, shown_);
    EXPECT_TRUE(update.has_value());
    return DiffConfigurations(in_force_, update.value());
  }

  auto Partner(size_t i) -> json::object& {
    return shown_.at("partners").at(i).as_object();
  }

  Configuration in_force_;
  json::value shown_;
};

TEST_F(OlderClientTest, UnchangedRewriteKeepsConfiguration) {
  EXPECT_TRUE(Changes().empty());
}

TEST_F(OlderClientTest, QuotaOfOnlyPartnerChangesTeam) {
  Partner(2)["quota_tasks"] = 7;
  const auto changes = Changes();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(ToString(changes[0]), "changed teams[water].quota_tasks: 100 -> 7");
}

TEST_F(OlderClientTest, RejectsChangeOfQuotaSharedWithOtherPartners) {
  Partner(1)["quota_tasks"] = 7;
  const auto update = PrepareUpdate(&in_force_, shown_);
  ASSERT_TRUE(update.has_error());
  EXPECT_EQ(update.error().front().field, "partners[1].quota_tasks");
}

TEST_F(OlderClientTest, NewPartnerGetsTeamAndRemovedPartnerLosesTeam) {
  Partner(2)["name"] = "gas";
  const auto update = PrepareUpdate(&in_force_, shown_).value();
  EXPECT_EQ(FindTeam(update, "water"), nullptr);
  ASSERT_NE(FindTeam(update, "gas"), nullptr);
  EXPECT_EQ(FindTeam(update, "gas")->quota_tasks, 100U);
}

TEST_F(OlderClientTest, AcceptsFirstDocumentWithoutOneInForce) {
  const auto update = PrepareUpdate(nullptr, shown_);
  ASSERT_TRUE(update.has_value());
  EXPECT_EQ(update.value().schema_version, kCurrentSchemaVersion);
}

}  // namespace
}  // namespace boragecroft
