// Checks which peers exist, are reachable or have ended according to heartbeats
// and lists.
#include "servers/membership/membership.h"

#include <gtest/gtest.h>

namespace boragecroft {
namespace {

constexpr Instant kStart{seconds(1000)};
constexpr Incarnation kFirst{11};
constexpr Incarnation kSecond{12};

struct MemberTest : testing::Test {
  Membership membership;
  Address peer_address{.ip = "127.0.0.1", .port = 7001};

  MemberTest() {
    membership.name = "bilbao-1";
    membership.zone = "bilbao";
    membership.address = Address{.ip = "127.0.0.1", .port = 7000};
    membership.self = Incarnation{1};
    membership.started = kStart;
  }

  // Applies a heartbeat of the peer in another zone, whose process started at
  // `started`.
  auto ReceiveHeartbeat(Incarnation from,
                        uint64_t sequence,
                        seconds started,
                        Instant now,
                        bool stopped = false) -> std::optional<Incarnation> {
    Heartbeat heartbeat;
    heartbeat.instance = "santander-1";
    heartbeat.zone = "santander";
    heartbeat.address = peer_address;
    heartbeat.started = WallTime(started);
    heartbeat.sequence = sequence;
    heartbeat.stopped = stopped;
    return ApplyHeartbeat(membership, from, heartbeat, now);
  }

  auto IsPeerReachable(Incarnation incarnation, Instant now) const -> bool {
    const auto* peer = FindPeer(membership, incarnation);
    return peer != nullptr && IsReachable(membership, *peer, now);
  }

  auto HasEnded(Incarnation incarnation, Instant now) const -> bool {
    const RecordedInstance recorded{
        .name = "santander-1",
        .address = peer_address,
        .started = WallTime(seconds(incarnation == kFirst ? 1 : 2))};
    return IsTerminated(membership, incarnation, recorded,
                        Now{.boot = now, .wall = WallTime(seconds(100))});
  }
};

TEST_F(MemberTest, AnswersFirstHeartbeatOfProcessImmediately) {
  ReceiveHeartbeat(kFirst, 1, seconds(1), kStart);
  EXPECT_EQ(TakeDueHeartbeats(membership, kStart).size(), 1U);
  ReceiveHeartbeat(kFirst, 2, seconds(1), kStart + milliseconds(100));
  EXPECT_TRUE(
      TakeDueHeartbeats(membership, kStart + milliseconds(100)).empty());

  ReceiveHeartbeat(kSecond, 1, seconds(2), kStart + milliseconds(200));
  EXPECT_EQ(TakeDueHeartbeats(membership, kStart + milliseconds(200)).size(),
            1U);
}

struct AfterReplacement : MemberTest {
  AfterReplacement() {
    ReceiveHeartbeat(kFirst, 1, seconds(1), kStart);
    ReceiveHeartbeat(kSecond, 1, seconds(2), kStart);
  }
};

TEST_F(AfterReplacement, OldProcessHasEnded) {
  EXPECT_TRUE(HasEnded(kFirst, kStart));
  EXPECT_FALSE(HasEnded(kSecond, kStart));
  EXPECT_TRUE(IsPeerReachable(kSecond, kStart));
}

TEST_F(AfterReplacement, LateHeartbeatDoesNotReplaceLivingProcess) {
  EXPECT_EQ(ReceiveHeartbeat(kFirst, 2, seconds(1), kStart), std::nullopt);
  EXPECT_EQ(ReceiveHeartbeat(Incarnation{10}, 9, seconds(0), kStart),
            std::nullopt);
  EXPECT_TRUE(IsPeerReachable(kSecond, kStart));
  EXPECT_FALSE(HasEnded(kSecond, kStart));
}

struct AfterFinalHeartbeat : MemberTest {
  AfterFinalHeartbeat() {
    ReceiveHeartbeat(kFirst, 1, seconds(1), kStart);
    ReceiveHeartbeat(kFirst, 2, seconds(1), kStart, /*stopped=*/true);
  }
};

TEST_F(AfterFinalHeartbeat, ProcessHasEnded) {
  EXPECT_TRUE(HasEnded(kFirst, kStart));
  EXPECT_FALSE(IsPeerReachable(kFirst, kStart));
}

TEST_F(AfterFinalHeartbeat, OvertakenHeartbeatDoesNotReviveProcess) {
  ReceiveHeartbeat(kFirst, 3, seconds(1), kStart);
  EXPECT_TRUE(HasEnded(kFirst, kStart));
  EXPECT_FALSE(IsPeerReachable(kFirst, kStart));
}

TEST_F(AfterFinalHeartbeat, ConnectionIsNotReportedAsUnresponsive) {
  EXPECT_TRUE(
      TakeUnresponsiveConnections(membership, kStart + std::chrono::minutes(1))
          .empty());
}

TEST_F(AfterFinalHeartbeat, NewProcessAtSameAddressIsReachable) {
  ReceiveHeartbeat(kSecond, 1, seconds(2), kStart);
  EXPECT_TRUE(IsPeerReachable(kSecond, kStart));
  EXPECT_FALSE(HasEnded(kSecond, kStart));
}

}  // namespace
}  // namespace boragecroft
