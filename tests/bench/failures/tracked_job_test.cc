// What the soak takes for a fault in the answers to one job.
#include "bench/failures/tracked_job.h"

#include <gtest/gtest.h>

#include <boost/json/array.hpp>

namespace boragecroft::bench {
namespace {

namespace json = boost::json;

constexpr Instant kSent{seconds(1)};

class AnswersToAJob : public testing::Test {
 protected:
  AnswersToAJob() {
    tracked.job.id = "9f3c2a1b4d5e6f70-19ae8bfe6b0-7";
    tracked.job.tasks = 2;
  }

  auto Answer(const std::string& state, bool recorded) const -> lab::JsonReply {
    lab::JsonReply reply;
    reply.status = state == "active" ? 202 : 200;
    reply.body = {
        {"id", tracked.job.id}, {"state", state}, {"recorded", recorded}};
    return reply;
  }

  // Done, with results of the given lengths.
  auto Done(const std::vector<size_t>& lengths) const -> lab::JsonReply {
    auto reply = Answer("done", true);
    json::array results;
    for (const auto it : lengths) {
      results.emplace_back(json::object{{"bytes", std::string(it, 'x')}});
    }
    reply.body.as_object()["results"] = std::move(results);
    return reply;
  }

  static auto Refused(int status, int64_t retry_after_ms) -> lab::JsonReply {
    lab::JsonReply reply;
    reply.status = status;
    reply.body = {{"state", "refused"}, {"retry_after_ms", retry_after_ms}};
    return reply;
  }

  TrackedJob tracked;
};

TEST_F(AnswersToAJob, OnlyAnUnavailableInstanceLeavesItsIdUnused) {
  Note(tracked, Refused(503, 200), kSent);
  EXPECT_FALSE(tracked.refused_for_good);
  EXPECT_EQ(tracked.refused, kSent);
  Note(tracked, Refused(429, 200), kSent);
  EXPECT_TRUE(tracked.refused_for_good);
}

TEST_F(AnswersToAJob, ANeverMintedIdIsRefusedForGood) {
  Note(tracked, Refused(410, 0), kSent);
  EXPECT_TRUE(tracked.refused_for_good);
}

TEST_F(AnswersToAJob, ARefusalAfterItsAcceptanceIsFalse) {
  Note(tracked, Answer("active", false), kSent);
  Note(tracked, Refused(503, 200), kSent);
  EXPECT_EQ(tracked.false_refusals, 1);
}

TEST_F(AnswersToAJob, ARecordedEndIsNeverContradicted) {
  Note(tracked, Answer("failed", true), kSent);
  EXPECT_TRUE(tracked.lasting);
  Note(tracked, Answer("active", false), kSent);
  Note(tracked,
       Done({ResultBytes(tracked.job, 0), ResultBytes(tracked.job, 1)}), kSent);
  EXPECT_EQ(tracked.contradictions, 2);
}

TEST_F(AnswersToAJob, EveryTaskHasItsOwnResult) {
  const auto first = ResultBytes(tracked.job, 0);
  const auto second = ResultBytes(tracked.job, 1);
  Note(tracked, Done({first, second}), kSent);
  EXPECT_EQ(tracked.partial, 0);
  Note(tracked, Done({second, first}), kSent);
  Note(tracked, Done({first}), kSent);
  EXPECT_EQ(tracked.partial, 2);
}

TEST_F(AnswersToAJob, AnotherJobsAnswerIsNotItsOwn) {
  auto answer = Answer("active", false);
  answer.body.as_object()["id"] = "9f3c2a1b4d5e6f70-19ae8bfe6b0-8";
  Note(tracked, answer, kSent);
  EXPECT_EQ(tracked.partial, 1);
}

}  // namespace
}  // namespace boragecroft::bench
