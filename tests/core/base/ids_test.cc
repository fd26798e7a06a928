#include "core/base/ids.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace boragecroft {
namespace {

RC_GTEST_PROP(IdsTest,
              TaskIdSurvivesRoundTripThroughText,
              (uint64_t incarnation, uint64_t sequence, uint32_t index)) {
  const auto minted = *rc::gen::inRange<int64_t>(0, INT64_MAX);
  const TaskId id{.job = {.incarnation = {incarnation},
                          .sequence = sequence,
                          .minted = WallTime(milliseconds(minted))},
                  .index = index};
  RC_ASSERT(ParseTaskId(ToString(id)) == id);
}

RC_GTEST_PROP(IdsTest,
              ArbitraryTextIsRejectedOrSurvivesRoundTrip,
              (const std::string& text)) {
  const auto id = ParseJobId(text);
  RC_ASSERT(!id || ParseJobId(ToString(*id)) == id);
}

}  // namespace
}  // namespace boragecroft
