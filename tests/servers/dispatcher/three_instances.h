// Defines the fixture for scenarios with one fault each.
#ifndef TESTS_SERVERS_DISPATCHER_THREE_INSTANCES_H_
#define TESTS_SERVERS_DISPATCHER_THREE_INSTANCES_H_

#include <gtest/gtest.h>

#include <memory>

#include "tests/servers/dispatcher/promise_checks.h"
#include "tests/servers/dispatcher/virtual_callers.h"

namespace boragecroft {

// Three instances of one zone. Each scenario ends with a check of what callers
// were told and what ran.
struct ThreeInstances : testing::Test {
  std::unique_ptr<VirtualFleet> fleet = MakeFleet(3, 1);

  auto TearDown() -> void override { EXPECT_EQ(CheckAll(*fleet), ""); }

  auto TotalStarts(const JobId& id, uint32_t tasks) const -> uint32_t {
    uint32_t sum = 0;
    for (uint32_t i = 0; i < tasks; ++i) {
      sum += Starts(*fleet, {.job = id, .index = i});
    }
    return sum;
  }

  // Submits a job to an instance and returns its last reply within 5 s, or
  // UndecidedReply when there is none.
  auto SubmitAndWait(size_t node, const std::shared_ptr<const Submission>& job)
      -> CallerReplyBody {
    const auto number =
        Ask(*fleet, node, SubmitRequest{.submission = job, .wait = seconds(4)});
    Elapse(*fleet, seconds(5));
    const auto& replies = fleet->requests.at(number).replies;
    return replies.empty() ? CallerReplyBody(UndecidedReply()) : replies.back();
  }

  auto ExpectRefused(const std::shared_ptr<const Submission>& job,
                     Refusal refusal) -> void {
    for (const size_t node : {0, 1}) {
      const auto reply = SubmitAndWait(node, job);
      const auto* it = std::get_if<RefusalReply>(&reply);
      ASSERT_NE(it, nullptr);
      EXPECT_EQ(it->refusal, refusal);
    }
  }
};

}  // namespace boragecroft

#endif  // TESTS_SERVERS_DISPATCHER_THREE_INSTANCES_H_
