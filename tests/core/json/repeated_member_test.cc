#include "core/json/repeated_member.h"

#include <gtest/gtest.h>

#include "core/json/text.h"
// RapidCheck's header must follow GoogleTest's.
#include <rapidcheck/gtest.h>

namespace boragecroft {
namespace {

TEST(RepeatedMemberTest, ReturnsPathOfRepeatedMember) {
  EXPECT_EQ(FindRepeatedMember(R"({"a":1,"b":2,"a":3})"), "a");
  EXPECT_EQ(FindRepeatedMember(R"({"needs":{"m":1,"m":1}})"), "needs.m");
  EXPECT_EQ(FindRepeatedMember(R"({"t":[1,"x",{"a":[],"b":{"c":1,"c":2}}]})"),
            "t[2].b.c");
  EXPECT_EQ(FindRepeatedMember(R"([[0],[{"a":1,"\u0061":1}]])"), "[1][0].a");
}

TEST(RepeatedMemberTest, ReturnsNothingForDistinctObjectsOrInvalidText) {
  EXPECT_FALSE(FindRepeatedMember(R"({"a":{"a":1},"b":[{"a":1},{"a":1}]})"));
  EXPECT_FALSE(FindRepeatedMember(R"({"a":1,"b)"));
}

auto GenerateValue(int depth) -> json::value {
  const auto kind = *rc::gen::inRange(0, depth > 0 ? 6 : 4);
  if (kind < 4) {
    const json::value scalars[] = {nullptr, true, -1.5, "a"};
    return scalars[kind];
  }
  json::array array;
  json::object object;
  for (auto n = *rc::gen::inRange(0, 4); n > 0; --n) {
    array.push_back(GenerateValue(depth - 1));
    object[*rc::gen::element<std::string>("a", "b", "\n")] = array.back();
  }
  return kind == 4 ? json::value(array) : json::value(object);
}

RC_GTEST_PROP(RepeatedMemberTest, ReturnsNothingForSerializedValues, ()) {
  RC_ASSERT(!FindRepeatedMember(ToJsonText(GenerateValue(4))));
}

}  // namespace
}  // namespace boragecroft
