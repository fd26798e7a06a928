// Which peers exist, can be reached or have ended, as heartbeats and lists
// tell.
#include "servers/membership/membership.h"

#include <gtest/gtest.h>

namespace boragecroft {
namespace {

constexpr Instant kStart{seconds(1000)};
constexpr Incarnation kFirst{11};
constexpr Incarnation kSecond{12};

struct AMember : testing::Test {
  Membership membership;
  Address peer_address{.ip = "127.0.0.1", .port = 7001};

  AMember() {
    membership.name = "bilbao-1";
    membership.zone = "bilbao";
    membership.address = Address{.ip = "127.0.0.1", .port = 7000};
    membership.self = Incarnation{1};
    membership.started = kStart;
  }

  // A heartbeat of the peer in another zone, whose process started at
  // `started`.
  auto Hear(Incarnation from,
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
    return NoteHeartbeat(membership, from, heartbeat, now);
  }

  auto IsReached(Incarnation incarnation, Instant now) const -> bool {
    const auto* peer = FindPeer(membership, incarnation);
    return peer != nullptr && IsReachable(membership, *peer, now);
  }

  auto HasEnded(Incarnation incarnation, Instant now) const -> bool {
    const RecordedInstance recorded{
        .name = "santander-1",
        .address = peer_address,
        .started = WallTime(seconds(incarnation == kFirst ? 1 : 2))};
    return IsGone(membership, incarnation, recorded, now);
  }
};

TEST_F(AMember, AnswersTheFirstHeartbeatOfAProcessAtOnce) {
  Hear(kFirst, 1, seconds(1), kStart);
  EXPECT_EQ(TakeDueHeartbeats(membership, kStart).size(), 1U);
  Hear(kFirst, 2, seconds(1), kStart + milliseconds(100));
  EXPECT_TRUE(
      TakeDueHeartbeats(membership, kStart + milliseconds(100)).empty());

  Hear(kSecond, 1, seconds(2), kStart + milliseconds(200));
  EXPECT_EQ(TakeDueHeartbeats(membership, kStart + milliseconds(200)).size(),
            1U);
}

struct AfterAReplacement : AMember {
  AfterAReplacement() {
    Hear(kFirst, 1, seconds(1), kStart);
    Hear(kSecond, 1, seconds(2), kStart);
  }
};

TEST_F(AfterAReplacement, TheOldProcessHasEnded) {
  EXPECT_TRUE(HasEnded(kFirst, kStart));
  EXPECT_FALSE(HasEnded(kSecond, kStart));
  EXPECT_TRUE(IsReached(kSecond, kStart));
}

TEST_F(AfterAReplacement, ALateHeartbeatDoesNotDisplaceTheLivingProcess) {
  EXPECT_EQ(Hear(kFirst, 2, seconds(1), kStart), std::nullopt);
  EXPECT_EQ(Hear(Incarnation{10}, 9, seconds(0), kStart), std::nullopt);
  EXPECT_TRUE(IsReached(kSecond, kStart));
  EXPECT_FALSE(HasEnded(kSecond, kStart));
}

struct AfterALastHeartbeat : AMember {
  AfterALastHeartbeat() {
    Hear(kFirst, 1, seconds(1), kStart);
    Hear(kFirst, 2, seconds(1), kStart, /*stopped=*/true);
  }
};

TEST_F(AfterALastHeartbeat, TheProcessHasEnded) {
  EXPECT_TRUE(HasEnded(kFirst, kStart));
  EXPECT_FALSE(IsReached(kFirst, kStart));
}

TEST_F(AfterALastHeartbeat, AnOvertakenHeartbeatDoesNotReviveIt) {
  Hear(kFirst, 3, seconds(1), kStart);
  EXPECT_TRUE(HasEnded(kFirst, kStart));
  EXPECT_FALSE(IsReached(kFirst, kStart));
}

TEST_F(AfterALastHeartbeat, ItsConnectionIsNotTakenForSilent) {
  EXPECT_TRUE(
      TakeSilentConnections(membership, kStart + std::chrono::minutes(1))
          .empty());
}

TEST_F(AfterALastHeartbeat, ANewProcessAtItsAddressIsReached) {
  Hear(kSecond, 1, seconds(2), kStart);
  EXPECT_TRUE(IsReached(kSecond, kStart));
  EXPECT_FALSE(HasEnded(kSecond, kStart));
}

}  // namespace
}  // namespace boragecroft
