#include "core/json/object_reader.h"

#include <gtest/gtest.h>

namespace boragecroft {
namespace {

auto Read(std::string_view text) -> json::value {
  return ParseJsonWithComments(text).value();
}

TEST(ObjectReaderTest, ReportsAllErrorsOfDocument) {
  const auto document = Read(R"({ "name": 7, // a comment
    "size": 900, "typo": 1, "zones": [{"name": "bilbao"}, {}] })");
  std::vector<FieldError> errors;
  ObjectReader reader(document, "", errors);
  reader.Text("name");
  reader.Integer("size", {.low = 1, .high = 64});
  reader.Each("zones", [](ObjectReader& zone) { zone.Text("name"); });
  reader.RejectUnknown();

  ASSERT_EQ(errors.size(), 4U);
  EXPECT_EQ(ToString(errors[0]), "name: found 7, allowed: a string");
  EXPECT_EQ(ToString(errors[1]),
            "size: found 900, allowed: a whole number from 1 to 64");
  EXPECT_EQ(ToString(errors[2]),
            "zones[1].name: found nothing, allowed: a string");
  EXPECT_EQ(ToString(errors[3]), "typo: found 1, allowed: no such key");
}

TEST(ObjectReaderTest, ReturnsUnknownMembers) {
  const auto document = Read(R"({"name": "a", "added_later": [1]})");
  std::vector<FieldError> errors;
  ObjectReader reader(document, "", errors);
  reader.Text("name");
  EXPECT_EQ(ToJsonText(reader.Unknown()), R"({"added_later":[1]})");
}

TEST(ObjectReaderTest, TruncatesLongValueAtCharacterBoundary) {
  std::string letters;
  for (auto i = 0; i < 100; ++i) {
    letters += "\u00f1";
  }
  const auto document = Read("{\"size\": \"a" + letters + "\"}");
  std::vector<FieldError> errors;
  ObjectReader reader(document, "", errors);
  reader.Integer("size", {.low = 1, .high = 64});
  ASSERT_EQ(errors.size(), 1U);
  const auto found = ToJsonText(json::value(errors[0].found));
  EXPECT_TRUE(ParseJson(found).has_value()) << found;
}

TEST(JsonTextTest, ParsesBareNumber) {
  EXPECT_EQ(ParseJson("7").value(), json::value(7));
}

TEST(JsonTextTest, RejectsInvalidTextWithOffset) {
  EXPECT_FALSE(ParseJson("{\"a\":1").has_value());
  EXPECT_FALSE(ParseJson("{} {}").has_value());
  EXPECT_FALSE(ParseJson("{} // comment").has_value());
  EXPECT_EQ(ParseJson("{\"a\":1} x").error().offset, 8U);
}

}  // namespace
}  // namespace boragecroft
