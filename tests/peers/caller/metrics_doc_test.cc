// Checks that docs/operators/metrics.md lists every counter and every reason of
// refusals.
#include <gtest/gtest.h>

#include "servers/dispatcher/counters.h"
#include "tests/main/source_files.h"

namespace boragecroft {
namespace {

TEST(MetricsDocTest, ListsEveryCounter) {
  const auto page = ReadSource("docs/operators/metrics.md");
  VisitCounters(Counters(), [&](const CounterInfo& info, uint64_t) {
    std::string row = "| `boragecroft_";
    row.append(info.name).append("_total` |");
    EXPECT_NE(page.find(row), std::string::npos) << row;
  });
}

TEST(MetricsDocTest, ListsEveryRefusalReason) {
  const auto page = ReadSource("docs/operators/metrics.md");
  for (size_t i = 0; i < kRefusalKinds; ++i) {
    const auto reason = ToString(static_cast<Refusal>(i));
    std::string name = "`";
    name.append(reason).append("`");
    EXPECT_NE(page.find(name), std::string::npos) << name;
  }
}

}  // namespace
}  // namespace boragecroft
