#include "servers/scheduling/retry_advice.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace boragecroft {
namespace {

class RetryAdviceTest : public testing::Test {
 protected:
  auto Refuse(microseconds work) -> milliseconds {
    return AdviseRetry(advice, work, 100, now);
  }

  RetryAdvice advice;
  Instant now = Instant() + seconds(100);
};

TEST_F(RetryAdviceTest, SpreadsRetriesFromOneToThreeSeconds) {
  std::vector<milliseconds> waits;
  waits.reserve(100);
  for (auto n = 0; n < 100; ++n) {
    waits.push_back(Refuse(milliseconds{1}));
  }
  const auto [least, most] = std::minmax_element(waits.begin(), waits.end());
  EXPECT_GE(*least, milliseconds{1000});
  EXPECT_LT(*least, milliseconds{1100});
  EXPECT_LT(*most, milliseconds{3000});
  EXPECT_GT(*most, milliseconds{2900});
}

TEST_F(RetryAdviceTest, KeepsConsecutiveRetriesApart) {
  auto last = Refuse(milliseconds{1});
  for (auto n = 0; n < 20; ++n) {
    const auto next = Refuse(milliseconds{1});
    EXPECT_GT(std::max(next, last) - std::min(next, last), milliseconds{500});
    last = next;
  }
}

TEST_F(RetryAdviceTest, WidensSpreadWithRefusedWork) {
  milliseconds most{0};
  // 20 s of work on 5 of 100 slots take 4 s.
  for (auto n = 0; n < 100; ++n) {
    most = std::max(most, Refuse(milliseconds{200}));
  }
  EXPECT_GT(most, milliseconds{4500});
  EXPECT_LT(most, milliseconds{5000});
}

TEST_F(RetryAdviceTest, ResetsAfterReservedTimeHasPassed) {
  for (auto n = 0; n < 100; ++n) {
    Refuse(milliseconds{200});
  }
  now += seconds{20};
  for (auto n = 0; n < 100; ++n) {
    EXPECT_LT(Refuse(milliseconds{1}), milliseconds{3000});
  }
}

TEST_F(RetryAdviceTest, NeverAdvisesMoreThanFifteenSeconds) {
  for (auto n = 0; n < 1000; ++n) {
    EXPECT_LE(Refuse(seconds{100}), milliseconds{15'000});
  }
  EXPECT_LE(AdviseRetry(advice, seconds{1}, 0, now), milliseconds{15'000});
}

}  // namespace
}  // namespace boragecroft
