// Checks that the platform's list is transferred again only when it has
// changed: the tag of the known list is sent back, and the platform may answer
// 304.
#include <gtest/gtest.h>

#include "peers/platform/platform_codec.h"

namespace boragecroft {
namespace {

auto MakeListCommand(std::string tag) -> PlatformCommand {
  return {.token = 1,
          .call = ListInstances{.workers_zone = "bilbao",
                                .known_tag = std::move(tag)}};
}

auto MakeAnswer(int status, std::string tag) -> HttpResponse {
  return {.status = status,
          .headers = {{.name = "etag", .value = std::move(tag)}},
          .body = status == 200 ? R"({"instances":[]})" : ""};
}

TEST(PlatformListTest, SendsReceivedTagBack) {
  const auto outcome =
      DecodePlatformAnswer(MakeListCommand(""), MakeAnswer(200, "\"7\""));
  const auto list = std::get<InstanceList>(outcome.result);
  EXPECT_EQ(list.tag, "\"7\"");
  const auto request = EncodePlatformCall(MakeListCommand(list.tag));
  EXPECT_EQ(request.target, "/v1/instances?workers_zone=bilbao");
  EXPECT_EQ(FindHeader(request.headers, "If-None-Match"), "\"7\"");
  EXPECT_TRUE(EncodePlatformCall(MakeListCommand("")).headers.empty());
}

TEST(PlatformListTest, AcceptsNotModifiedOnlyWhenTagWasSent) {
  EXPECT_TRUE(std::holds_alternative<ListUnchanged>(
      DecodePlatformAnswer(MakeListCommand("\"7\""), MakeAnswer(304, ""))
          .result));
  EXPECT_TRUE(std::holds_alternative<PlatformError>(
      DecodePlatformAnswer(MakeListCommand(""), MakeAnswer(304, "")).result));
  const PlatformCommand row{.token = 1, .call = ReadRow{.key = "a"}};
  EXPECT_TRUE(std::holds_alternative<PlatformError>(
      DecodePlatformAnswer(row, MakeAnswer(304, "")).result));
}

TEST(PlatformListTest, DropsTagThatIsTooLong) {
  const auto outcome = DecodePlatformAnswer(
      MakeListCommand(""), MakeAnswer(200, std::string(200, '7')));
  EXPECT_EQ(std::get<InstanceList>(outcome.result).tag, "");
}

}  // namespace
}  // namespace boragecroft
