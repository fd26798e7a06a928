// Which faults the soak test counts in the answers about one job.
#include "bench/failures/tracked_job.h"

#include <gtest/gtest.h>

#include <boost/json/array.hpp>

namespace boragecroft::bench {
namespace {

namespace json = boost::json;

constexpr Instant kSent{seconds(1)};

class TrackedJobAnswers : public testing::Test {
 protected:
  TrackedJobAnswers() {
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

  // Returns a recorded answer "done" with results of the given lengths in
  // bytes.
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

TEST_F(TrackedJobAnswers, LeavesIdUnusedOnlyWhenInstanceIsUnavailable) {
  RecordAnswer(tracked, Refused(503, 200), kSent);
  EXPECT_FALSE(tracked.refused_permanently);
  EXPECT_EQ(tracked.refused_request_sent_at, kSent);
  RecordAnswer(tracked, Refused(429, 200), kSent);
  EXPECT_TRUE(tracked.refused_permanently);
}

TEST_F(TrackedJobAnswers, TreatsRefusalOfNeverMintedIdAsPermanent) {
  RecordAnswer(tracked, Refused(410, 0), kSent);
  EXPECT_TRUE(tracked.refused_permanently);
}

TEST_F(TrackedJobAnswers, CountsRefusalAfterAcceptance) {
  RecordAnswer(tracked, Answer("active", false), kSent);
  RecordAnswer(tracked, Refused(503, 200), kSent);
  EXPECT_EQ(tracked.refusals_after_acceptance, 1);
}

TEST_F(TrackedJobAnswers, CountsContradictionsOfRecordedEnd) {
  RecordAnswer(tracked, Answer("failed", true), kSent);
  EXPECT_TRUE(tracked.durable);
  RecordAnswer(tracked, Answer("active", false), kSent);
  RecordAnswer(tracked,
               Done({ResultBytes(tracked.job, 0), ResultBytes(tracked.job, 1)}),
               kSent);
  EXPECT_EQ(tracked.contradictions, 2);
}

TEST_F(TrackedJobAnswers, CountsSwappedOrMissingResultsAsPartial) {
  const auto first = ResultBytes(tracked.job, 0);
  const auto second = ResultBytes(tracked.job, 1);
  RecordAnswer(tracked, Done({first, second}), kSent);
  EXPECT_EQ(tracked.partial, 0);
  RecordAnswer(tracked, Done({second, first}), kSent);
  RecordAnswer(tracked, Done({first}), kSent);
  EXPECT_EQ(tracked.partial, 2);
}

TEST_F(TrackedJobAnswers, CountsAnswerOfAnotherJobAsPartial) {
  auto answer = Answer("active", false);
  answer.body.as_object()["id"] = "9f3c2a1b4d5e6f70-19ae8bfe6b0-8";
  RecordAnswer(tracked, answer, kSent);
  EXPECT_EQ(tracked.partial, 1);
}

}  // namespace
}  // namespace boragecroft::bench
