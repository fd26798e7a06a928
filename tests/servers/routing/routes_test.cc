#include "servers/routing/routes.h"

#include <gtest/gtest.h>

namespace boragecroft {
namespace {

auto MakeTable() -> RouteTable {
  RouteTable table;
  table.version = 7;
  table.routes.push_back(
      {.name = "short", .host = "a.example", .prefix = "/x/"});
  table.routes.push_back(
      {.name = "long", .host = "a.example", .prefix = "/x/y/"});
  return table;
}

class RouteLookup : public testing::Test {
 protected:
  RouteTable table = MakeTable();
};

TEST_F(RouteLookup, PrefersLongestPrefix) {
  const auto found = FindRoute(table, "a.example", "/x/y/0123");
  ASSERT_TRUE(found);
  EXPECT_EQ(found->route->name, "long");
  EXPECT_EQ(found->rest, "0123");
}

TEST_F(RouteLookup, IgnoresHostCaseAndPort) {
  const auto found = FindRoute(table, "A.Example:8080", "/x/0123");
  ASSERT_TRUE(found);
  EXPECT_EQ(found->route->name, "short");
}

TEST_F(RouteLookup, FindsNothingForOtherHostOrPath) {
  EXPECT_FALSE(FindRoute(table, "b.example", "/x/0123"));
  EXPECT_FALSE(FindRoute(table, "a.example", "/z/0123"));
}

TEST_F(RouteLookup, NeverRevertsToOlderVersion) {
  RouteTable older;
  older.version = 6;
  EXPECT_FALSE(AdoptRoutes(table, older));
  EXPECT_EQ(table.version, 7);
  RouteTable newer;
  newer.version = 9;
  EXPECT_TRUE(AdoptRoutes(table, newer));
  EXPECT_TRUE(table.routes.empty());
}

}  // namespace
}  // namespace boragecroft
