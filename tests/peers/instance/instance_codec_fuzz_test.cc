// Checks that the decoder of messages between instances survives random and
// damaged bytes, and that intact messages survive a round trip unchanged.
#include <gtest/gtest.h>

#include "peers/instance/instance_codec.h"
#include "tests/peers/mutation.h"

namespace boragecroft {
namespace {

const JobId kJob{.incarnation = Incarnation{0x9f3c},
                 .sequence = 7,
                 .minted = WallTime(milliseconds(1760000000000))};

auto MakeHeartbeat() -> Heartbeat {
  Heartbeat heartbeat;
  heartbeat.instance = "bilbao-1";
  heartbeat.zone = "bilbao";
  heartbeat.address = Address{.ip = "10.20.1.11", .port = 8081};
  heartbeat.sequence = 12;
  heartbeat.service_demands = {{.name = "cartas", .tasks = 30}};
  heartbeat.teams_digest = 0xFEDCBA98;
  heartbeat.team_tasks = {7, 0, 300};
  heartbeat.quota_leases = {{.name = "banks", .tasks = 4}};
  return heartbeat;
}

auto MakeRelay() -> RelayRequest {
  auto submission = std::make_shared<Submission>();
  submission->id = kJob;
  submission->partner = "agents";
  submission->service = "cartas";
  submission->payloads = {"{\"letter\":1}", "2"};
  return RelayRequest{.number = 3,
                      .call = SubmitRequest{.submission = submission,
                                            .caller_key = "",
                                            .wait = milliseconds(100)}};
}

auto MakeReply() -> RelayReply {
  auto answer = std::make_shared<CallerAnswer>();
  answer->id = kJob;
  answer->state = JobState::kFailed;
  answer->reason = "deadline";
  answer->tasks = {TaskState::kDone, TaskState::kNotRun};
  return RelayReply{.number = 3, .body = AnswerReply{.answer = answer}};
}

auto GenerateFrame() -> std::string {
  const std::vector<PeerMessageBody> bodies = {
      MakeHeartbeat(),
      MakeRelay(),
      RelayRequest{.number = 4,
                   .call = FetchRequest{.id = kJob, .partner = "agents"}},
      RelayRequest{.number = 5,
                   .call = CancelRequest{.id = kJob, .partner = "agents"}},
      MakeReply(),
      RelayReply{.number = 6,
                 .body = RefusalReply{.refusal = Refusal::kDeadline}},
      RelayReply{.number = 7, .body = UndecidedReply{.reason = "out of reach"}},
      ConfigurationRequest{.known_version = 2},
      ConfigurationTransfer{.version = 3, .document = "{}"}};
  const auto i = *rc::gen::inRange<size_t>(0, bodies.size());
  return EncodePeerMessage(
      PeerMessage{.from = Incarnation{1}, .body = bodies[i]});
}

// Checks that a message that can be decoded can also be encoded, and that
// decoding and encoding the result again gives the same bytes.
auto CheckFrame(const std::string& frame) -> void {
  const auto message = DecodePeerMessage(frame);
  if (!message) {
    return;
  }
  const auto bytes = EncodePeerMessage(*message);
  const auto again = DecodePeerMessage(bytes);
  RC_ASSERT(again.has_value());
  RC_ASSERT(EncodePeerMessage(*again) == bytes);
}

RC_GTEST_PROP(InstanceCodecFuzzTest, HandlesRandomBytes, ()) {
  CheckFrame(*rc::gen::arbitrary<std::string>());
}

RC_GTEST_PROP(InstanceCodecFuzzTest, PreservesIntactFrames, ()) {
  const auto frame = GenerateFrame();
  const auto message = DecodePeerMessage(frame);
  RC_ASSERT(message.has_value());
  RC_ASSERT(EncodePeerMessage(*message) == frame);
}

RC_GTEST_PROP(InstanceCodecFuzzTest, HandlesDamagedFrames, ()) {
  CheckFrame(Mutate(GenerateFrame()));
}

RC_GTEST_PROP(InstanceCodecFuzzTest, HandlesTruncatedFrames, ()) {
  const auto frame = GenerateFrame();
  CheckFrame(frame.substr(0, *rc::gen::inRange<size_t>(0, frame.size())));
}

}  // namespace
}  // namespace boragecroft
