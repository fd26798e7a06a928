#include "core/http/request_budget.h"

#include <gtest/gtest.h>

namespace boragecroft {
namespace {

constexpr HttpRequestLimits kLimits{.max_head_bytes = 100,
                                    .max_body_bytes = 50};

// Guards against a request that is complete and inside the limits, but refused.
TEST(RequestBudget, AllowsRequestInsideLimits) {
  EXPECT_FALSE(CheckRequestSize(kLimits, {.pending = 100}));
  const auto in_bytes = 50 * 6;  // each byte a chunk of its own
  EXPECT_FALSE(CheckRequestSize(kLimits, {.head_complete = true,
                                          .head = 100,
                                          .after_head = in_bytes,
                                          .body = 50,
                                          .pending = 5}));
}

// Guards against header lines without end, of which the parser takes some and
// waits for more.
TEST(RequestBudget, BoundsHeaderAsAWhole) {
  EXPECT_EQ(CheckRequestSize(kLimits, {.head = 60, .pending = 41}),
            HttpFault::kHeadTooLarge);
  EXPECT_EQ(CheckRequestSize(kLimits, {.head_complete = true, .head = 101}),
            HttpFault::kHeadTooLarge);
}

TEST(RequestBudget, BoundsBody) {
  EXPECT_EQ(CheckRequestSize(
                kLimits, {.head_complete = true, .after_head = 51, .body = 51}),
            HttpFault::kBodyTooLarge);
}

// Guards against endless chunk extensions and trailers: in a line that never
// ends, and in many chunks of one byte.
TEST(RequestBudget, BoundsFraming) {
  EXPECT_EQ(CheckRequestSize(kLimits, {.head_complete = true, .pending = 101}),
            HttpFault::kFramingTooLarge);
  EXPECT_EQ(CheckRequestSize(kLimits, {.head_complete = true,
                                       .after_head = 100 + 9 * 10 + 1,
                                       .body = 10}),
            HttpFault::kFramingTooLarge);
  // A body does not allow for a line that is kept in memory.
  EXPECT_EQ(CheckRequestSize(kLimits, {.head_complete = true,
                                       .after_head = 50,
                                       .body = 50,
                                       .pending = 101}),
            HttpFault::kFramingTooLarge);
}

// Guards against a header of many short lines that takes far more memory than
// it has bytes.
TEST(RequestBudget, CountsMemoryOfHeaderLines) {
  EXPECT_GE(HeadMemory({.head = 4000}, 0), 64 * 1000);
  EXPECT_GE(HeadMemory({.head_complete = true, .head = 4000}, 1000),
            192 * 1000);
}

}  // namespace
}  // namespace boragecroft
