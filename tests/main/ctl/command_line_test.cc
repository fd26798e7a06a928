#include "main/ctl/command_line.h"

#include <gtest/gtest.h>

#include <sstream>

namespace boragecroft {
namespace {

constexpr auto kJob = "00000000000000ab-18c0-1";

auto Parse(const std::string& words) -> Result<CommandLine, CommandLineExit> {
  std::istringstream in("boragecroftctl " + words);
  return ParseCommandLine({std::istream_iterator<std::string>(in), {}});
}

TEST(CommandLineTest, AcceptsOptionsInAnyOrder) {
  const auto apply = Parse(
      "-i 10.0.0.1:82 --instance 10.0.0.2:82 apply f.jsonc "
      "--expected-version 7 --timeout-ms 90 -o json");
  ASSERT_TRUE(apply.has_value());
  EXPECT_EQ(apply.value().command, Command::kApply);
  EXPECT_EQ(apply.value().operand, "f.jsonc");
  EXPECT_EQ(apply.value().instances.size(), 2U);
  EXPECT_EQ(apply.value().expected_version, 7);
  EXPECT_EQ(apply.value().timeout, milliseconds(90));
  EXPECT_EQ(apply.value().output, OutputFormat::kJson);

  const auto jobs = Parse(std::string("jobs show -i 10.0.0.1:82 ") + kJob);
  ASSERT_TRUE(jobs.has_value());
  EXPECT_EQ(jobs.value().command, Command::kJobsShow);
  EXPECT_EQ(jobs.value().operand, kJob);

  const auto account =
      Parse("account --partner banco --from 5 --to 9 -i [::1]:82");
  ASSERT_TRUE(account.has_value());
  EXPECT_EQ(account.value().from_ms, 5);
  EXPECT_EQ(account.value().to_ms, 9);
}

TEST(CommandLineTest, OfflineCommandsRequireNoInstance) {
  EXPECT_TRUE(Parse("check f.jsonc").has_value());
  EXPECT_TRUE(Parse("settings").has_value());
}

TEST(CommandLineTest, HelpIsNotAnError) {
  const auto help = Parse("--help");
  ASSERT_TRUE(help.has_error());
  EXPECT_FALSE(help.error().is_error);
  EXPECT_NE(help.error().text.find("jobs cancel ID"), std::string::npos);
}

class InvalidUsageTest : public testing::TestWithParam<const char*> {};

TEST_P(InvalidUsageTest, IsRejectedWithReferenceToHelp) {
  const auto result = Parse(GetParam());
  ASSERT_TRUE(result.has_error());
  EXPECT_TRUE(result.error().is_error);
  EXPECT_NE(result.error().text.find("--help"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    InvalidUsageTest,
    testing::Values("",
                    "jobs",
                    "jobs list extra -i 10.0.0.1:82",
                    "check",
                    "check f.jsonc --limit 3",
                    "apply f.jsonc -i 10.0.0.1:82 --operation-id 12",
                    "show",
                    "show -i host:82",
                    "show -i 10.0.0.1:0",
                    "show -i 10.0.0.1:82 --schema-version 3",
                    "show -i 10.0.0.1:82 --from 3",
                    "show -i 10.0.0.1:82 --typo",
                    "show -i 10.0.0.1:82 -o xml",
                    "show -i 10.0.0.1:82 --timeout-ms 0",
                    "show -i 10.0.0.1:82 --timeout-ms soon",
                    "drain -i 10.0.0.1:82 -i 10.0.0.2:82",
                    "jobs cancel x -i 10.0.0.1:82",
                    "jobs list --partner a&b -i 10.0.0.1:82",
                    "account --from 9 --to 5 -i 10.0.0.1:82"));

}  // namespace
}  // namespace boragecroft
