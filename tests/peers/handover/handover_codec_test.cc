#include "peers/handover/handover_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>

namespace boragecroft {
namespace {

// Encodes the message and decodes the result.
auto RoundTrip(const HandoverMessage& message) -> HandoverMessage {
  auto decoded = DecodeHandover(EncodeHandover(message));
  EXPECT_TRUE(decoded);
  return decoded.value_or(HandoverMessage());
}

TEST(HandoverCodecTest, OfferSurvivesRoundTrip) {
  OfferMessage message;
  message.group = "north";
  message.offer = JobOffer{.name = JobName{0xffffffffffffffffULL},
                           .spec = std::string(3, '\0'),
                           .kind = "k",
                           .service = "v",
                           .count = 8,
                           .needs = {1, 2, 3},
                           .run_estimate = milliseconds{60},
                           .target = milliseconds{61},
                           .slack_factor = 1.6,
                           .max_attempts = 3,
                           .age = milliseconds{4},
                           .remaining = milliseconds{1500},
                           .submission = 2,
                           .may_run_elsewhere = true,
                           .immediate_only = true,
                           .priority = 2};
  const auto read = std::get<OfferMessage>(RoundTrip(message));
  EXPECT_EQ(read.group, message.group);
  EXPECT_EQ(read.offer.name, message.offer.name);
  EXPECT_EQ(read.offer.needs, message.offer.needs);
  EXPECT_EQ(read.offer.slack_factor, 1.6);
  EXPECT_EQ(read.offer.submission, 2);
  EXPECT_TRUE(read.offer.may_run_elsewhere);
  EXPECT_TRUE(read.offer.immediate_only);
  EXPECT_EQ(read.offer.priority, 2);
}

TEST(HandoverCodecTest, CancelRequestAndReplySurviveRoundTrip) {
  const auto request = std::get<CancelRequest>(
      RoundTrip(CancelRequest{.job = JobName{1ULL << 63U}, .number = 7}));
  EXPECT_EQ(request.job, JobName{1ULL << 63U});
  EXPECT_EQ(request.number, 7U);
  const auto reply =
      std::get<CancelReply>(RoundTrip(CancelReply{.number = 7, .found = true}));
  EXPECT_EQ(reply.number, 7U);
  EXPECT_TRUE(reply.found);
}

TEST(HandoverCodecTest, HeartbeatCarriesGroupsOfSender) {
  HeartbeatMessage message;
  message.configuration_version = 9;
  message.reply = true;
  message.groups.push_back(GroupStatus{.group = "north",
                                       .token = 5,
                                       .leaving = true,
                                       .ready = true,
                                       .load = {1, 2, 3, 4}});
  const auto read = std::get<HeartbeatMessage>(RoundTrip(message));
  EXPECT_EQ(read.configuration_version, 9);
  ASSERT_EQ(read.groups.size(), 1);
  EXPECT_EQ(read.groups[0].token, 5);
  EXPECT_EQ(read.groups[0].load.waiting, 3);
}

TEST(HandoverCodecTest, EvacuationsSurviveRoundTrip) {
  HeartbeatMessage message;
  message.evacuations = {{.zone = "north", .version = 1ULL << 40U},
                         {.zone = "south", .version = 7, .active = true}};
  const auto read = std::get<HeartbeatMessage>(RoundTrip(message));
  EXPECT_EQ(read.evacuations, message.evacuations);
  ResultMessage result;
  result.result.evacuated = true;
  EXPECT_TRUE(std::get<ResultMessage>(RoundTrip(result)).result.evacuated);
}

// Guards against bytes that deployments without evacuations would pay for. The
// texts are what the version before evacuations encodes.
TEST(HandoverCodecTest, MessagesWithoutEvacuationsKeepTheirBytes) {
  using std::string_literals::operator""s;
  HeartbeatMessage heartbeat;
  heartbeat.configuration_version = 9;
  heartbeat.reply = true;
  heartbeat.groups.push_back(GroupStatus{.group = "north",
                                         .token = 5,
                                         .leaving = true,
                                         .ready = true,
                                         .load = {1, 2, 3, 4}});
  EXPECT_EQ(EncodeHandover(heartbeat),
            "\x2c\x16\x12\x19\x1c\x18\x05north\x16\x0a\x11\x15\x02\x15\x06"
            "\x15\x08\x11\x15\x04\x00\x11\x00\x00"s);
  ResultMessage result;
  result.result = {.name = JobName{7},
                   .outcome = JobOutcome::kRefused,
                   .retry_after = milliseconds{1000},
                   .submission = 1};
  result.status.group = "north";
  EXPECT_EQ(EncodeHandover(result),
            "\x5c\x16\x0e\x13\x02\x16\xd0\x0f\x1c\x18\x05north\x16\x00\x12"
            "\x15\x00\x15\x00\x15\x00\x12\x15\x00\x00\x15\x02\x00\x00"s);
}

TEST(HandoverCodecTest, RejectsEvacuationWithoutZoneOrVersion) {
  HeartbeatMessage message;
  message.evacuations = {{.zone = "", .version = 7}};
  EXPECT_FALSE(DecodeHandover(EncodeHandover(message)));
  message.evacuations = {{.zone = "north", .version = 0}};
  EXPECT_FALSE(DecodeHandover(EncodeHandover(message)));
}

TEST(HandoverCodecTest, RejectsResultWhenOutcomeIsOutOfRange) {
  ResultMessage message;
  message.result.outcome = static_cast<JobOutcome>(9);
  EXPECT_FALSE(DecodeHandover(EncodeHandover(message)));
}

// Guards against memory taken for a count that no caller may ask for, and
// against sums that overflow.
TEST(HandoverCodecTest, RejectsOfferOutOfRange) {
  const auto is_read = [](const JobOffer& offer) {
    return DecodeHandover(EncodeHandover(OfferMessage{"north", offer}))
        .has_value();
  };
  JobOffer offer;
  offer.count = 8;
  EXPECT_TRUE(is_read(offer));
  for (auto* amount : {&offer.needs.cpu_millis, &offer.needs.memory_mb,
                       &offer.needs.accelerators}) {
    for (const auto odd : {std::numeric_limits<int64_t>::max(), int64_t{-1}}) {
      *amount = odd;
      EXPECT_FALSE(is_read(offer));
    }
    *amount = 1;
  }
  // Guards against a negative priority, which would count as the least one.
  offer.priority = std::numeric_limits<uint32_t>::max();
  EXPECT_FALSE(is_read(offer));
  offer.priority = 1'000'000;
  EXPECT_TRUE(is_read(offer));
  offer.count = 2'000'000'000;
  EXPECT_FALSE(is_read(offer));
}

TEST(HandoverCodecTest, RejectsTokenOutOfRange) {
  HolderAnnouncement message;
  message.group = "north";
  message.holder.instance.address = {.ip = "10.0.0.1", .port = 7};
  message.holder.token = 5;
  EXPECT_TRUE(DecodeHandover(EncodeHandover(message)));
  message.holder.token = std::numeric_limits<uint64_t>::max();
  EXPECT_FALSE(DecodeHandover(EncodeHandover(message)));
}

TEST(HandoverCodecTest, HelloCarriesProcessorShare) {
  HelloMessage message;
  message.sender.address = {.ip = "10.0.0.1", .port = 7};
  message.sender.processor_millis = 90;
  const auto read = std::get<HelloMessage>(RoundTrip(message));
  EXPECT_EQ(read.sender, message.sender);
}

RC_GTEST_PROP(HandoverCodecTest,
              HandlesRandomBytes,
              (const std::string& bytes)) {
  (void)DecodeHandover(bytes);
}

RC_GTEST_PROP(HandoverCodecTest, HandlesTruncatedMessage, ()) {
  HolderAnnouncement message;
  message.group = "north";
  message.holder.instance.address = {.ip = "10.0.0.1", .port = 7};
  const auto bytes = EncodeHandover(message);
  const auto n = *rc::gen::inRange<size_t>(0, bytes.size());
  (void)DecodeHandover(std::string_view(bytes).substr(0, n));
}

}  // namespace
}  // namespace boragecroft
