#include "main/ctl/table.h"

#include <gtest/gtest.h>

namespace boragecroft {
namespace {

TEST(TableTest, AlignsTextLeftAndNumbersRight) {
  const auto list = ParseJson(R"([{"partner":"banco","tasks":7},
                    {"partner":"a","tasks":1200,"extra":1},
                    {"tasks":null}])")
                        .value();
  EXPECT_EQ(ToTable(list.get_array(), {"partner", "tasks"}),
            "partner  tasks\n"
            "banco        7\n"
            "a         1200\n"
            "-        -\n");
}

TEST(TableTest, ReplacesControlCharacters) {
  const auto list = ParseJson(R"([{"name":"a\u001b[2J\n"}])").value();
  EXPECT_EQ(ToTable(list.get_array(), {"name"}), "name\na?[2J?\n");
}

TEST(TableTest, PrintsOnlyHeaderForEmptyList) {
  EXPECT_EQ(ToTable({}, {"id", "state"}), "id  state\n");
}

}  // namespace
}  // namespace boragecroft
