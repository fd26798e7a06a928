#include "servers/succession/succession.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace boragecroft {
namespace {

auto MakeInstance(const std::string& name,
                  const std::string& zone,
                  uint16_t number) -> InstanceRef {
  return InstanceRef{.name = name,
                     .zone = zone,
                     .address = {.ip = "10.0.0.1", .port = number},
                     .incarnation = Incarnation{number}};
}

template <class Command>
auto Take(SuccessionCommands& out) -> std::vector<Command> {
  std::vector<Command> taken;
  for (const auto& it : out) {
    if (const auto* command = std::get_if<Command>(&it)) {
      taken.push_back(*command);
    }
  }
  out.clear();
  return taken;
}

class SuccessionFixture : public testing::Test {
 protected:
  void SetUp() override {
    state.self = self;
    state.rows_known = true;
    state.started = now;
    state.groups["north"];
  }

  auto Row(uint64_t version,
           const InstanceRef& holder,
           uint64_t token,
           std::vector<Successor> successors) const -> GroupRow {
    return GroupRow{.group = "north",
                    .holder = holder,
                    .token = token,
                    .successors = std::move(successors),
                    .version = version};
  }

  auto AdvanceTime(milliseconds time) -> void {
    now += time;
    OnTime(state, now, out);
  }

  InstanceRef self = MakeInstance("self", "north", 1);
  InstanceRef other = MakeInstance("other", "north", 2);
  InstanceRef third = MakeInstance("third", "north", 3);
  Succession state;
  Instant now = Instant() + seconds(100);
  SuccessionCommands out;
};

class LostSuccessor : public SuccessionFixture {};

// Guards against two holders with one token: the row that a holder wrote after
// it had lost its successor did not say which token was reserved for that
// successor, and the holder used it when it took the group back.
TEST_F(LostSuccessor, LeavesReservedTokenUnused) {
  OnGroupRow(state, Row(5, self, 1, {{other, 2}}), now, out);
  AdvanceTime(milliseconds{1});
  const auto without_successor = Take<WriteGroupRow>(out).at(0).row;
  ASSERT_TRUE(without_successor.successors.empty());
  OnRowWritten(state, without_successor, RowWrite::kWritten, 6, now, out);
  // The successor has taken over without the store.
  OnFenced(state, "north", now, out);
  AdvanceTime(seconds(4));
  EXPECT_GT(Take<WriteGroupRow>(out).at(0).row.token, 2U);
}

// The instance holds the group, and another process uses the same token.
class SharedToken : public SuccessionFixture {
 protected:
  void SetUp() override {
    SuccessionFixture::SetUp();
    OnGroupRow(state, Row(5, self, 10, {}), now, out);
    out.clear();
  }
};

// Guards against a token that two processes use unnoticed: their orders look
// the same to the workers, which then get tasks beyond their capacity.
TEST_F(SharedToken, IsReportedOnceAndReplacedByHigherOne) {
  OnAnnounced(state, "north", {other, 10}, now, out);
  ASSERT_EQ(Take<ReportSharedToken>(out).size(), 1);
  OnAnnounced(state, "north", {other, 10}, now, out);
  EXPECT_TRUE(out.empty());
  AdvanceTime(milliseconds{0});
  const auto write = Take<WriteGroupRow>(out).at(0);
  EXPECT_EQ(write.row.version, 5);
  EXPECT_GT(write.row.token, 10);
  OnRowWritten(state, write.row, RowWrite::kWritten, 6, now, out);
  const auto begun = Take<BeginHolding>(out);
  ASSERT_EQ(begun.size(), 1);
  EXPECT_EQ(begun[0].token, write.row.token);
  AdvanceTime(seconds(2));
  EXPECT_TRUE(out.empty());
}

TEST_F(SharedToken, IsReplacedAtOnceWhenNoticedDuringWrite) {
  state.connected[third.address] = third;
  AdvanceTime(seconds(2));
  const auto earlier = Take<WriteGroupRow>(out).at(0).row;
  OnAnnounced(state, "north", {other, 10}, now, out);
  OnRowWritten(state, earlier, RowWrite::kWritten, 6, now, out);
  out.clear();
  AdvanceTime(milliseconds{0});
  EXPECT_GT(Take<WriteGroupRow>(out).at(0).row.token, 10);
}

TEST_F(SharedToken, IsNoticedInRow) {
  OnGroupRow(state, Row(6, other, 10, {}), now, out);
  EXPECT_EQ(Take<ReportSharedToken>(out).size(), 1);
}

TEST_F(SharedToken, IsReportedByInstanceThatDoesNotHoldGroup) {
  OnAnnounced(state, "north", {other, 11}, now, out);
  out.clear();
  OnAnnounced(state, "north", {third, 11}, now, out);
  EXPECT_EQ(Take<ReportSharedToken>(out).size(), 1);
  AdvanceTime(seconds(2));
  EXPECT_TRUE(out.empty());
}

TEST_F(SharedToken, IsGivenUpByLowerIncarnationWithoutStore) {
  OnAnnounced(state, "north", {other, 10}, now, out);
  AdvanceTime(milliseconds{0});
  const auto write = Take<WriteGroupRow>(out).at(0);
  OnRowWritten(state, write.row, RowWrite::kUnknown, 0, now, out);
  EXPECT_EQ(Take<EndHolding>(out).size(), 1);
}

TEST_F(SharedToken, IsKeptByHigherIncarnationWithoutStore) {
  state.self.incarnation = Incarnation{99};
  OnGroupRow(state, Row(6, state.self, 11, {}), now, out);
  OnAnnounced(state, "north", {other, 11}, now, out);
  out.clear();
  AdvanceTime(milliseconds{0});
  const auto write = Take<WriteGroupRow>(out).at(0);
  OnRowWritten(state, write.row, RowWrite::kUnknown, 0, now, out);
  EXPECT_TRUE(Take<EndHolding>(out).empty());
}

class DeletedRow : public SuccessionFixture {};

// Guards against a group that can't change hands any more: each conditional
// write named the version of a row that the store no longer had.
TEST_F(DeletedRow, IsWrittenAgainByHolder) {
  OnGroupRow(state, Row(5, self, 10, {{other, 11}}), now, out);
  state.connected[other.address] = other;
  out.clear();
  OnGroupRowDeleted(state, "north", 6);
  AdvanceTime(milliseconds{0});
  const auto write = Take<WriteGroupRow>(out).at(0);
  EXPECT_EQ(write.row.version, 0);
  EXPECT_EQ(write.row.token, 10);
  EXPECT_GT(write.row.successors.at(0).token, 11);
  OnRowWritten(state, write.row, RowWrite::kWritten, 8, now, out);
  AdvanceTime(seconds(2));
  EXPECT_TRUE(Take<WriteGroupRow>(out).empty());
}

TEST_F(DeletedRow, IsLeftToHolderThatIsReachable) {
  OnGroupRow(state, Row(5, other, 10, {{self, 11}}), now, out);
  OnHolderStatus(state, other.address, HolderStatus::kReachable, now);
  OnGroupRowDeleted(state, "north", 6);
  AdvanceTime(seconds(10));
  EXPECT_TRUE(out.empty());
  OnHolderStatus(state, other.address, HolderStatus::kTerminated, now);
  AdvanceTime(milliseconds{0});
  EXPECT_EQ(Take<WriteGroupRow>(out).at(0).row.version, 0);
}

// Guards against answers that arrive after newer news.
TEST_F(DeletedRow, StaysDeletedWhenOlderWriteIsAnswered) {
  OnGroupRow(state, Row(5, self, 10, {}), now, out);
  OnGroupRowDeleted(state, "north", 8);
  OnRowWritten(state, Row(5, self, 10, {}), RowWrite::kWritten, 7, now, out);
  AdvanceTime(seconds(2));
  EXPECT_EQ(Take<WriteGroupRow>(out).at(0).row.version, 0);
}

class GroupWithoutRow : public SuccessionFixture {};

TEST_F(GroupWithoutRow, IsClaimedByInstanceOfItsZone) {
  AdvanceTime(milliseconds{100});
  const auto writes = Take<WriteGroupRow>(out);
  ASSERT_EQ(writes.size(), 1);
  EXPECT_EQ(writes[0].row.version, 0);
  EXPECT_EQ(writes[0].row.holder, self);
  OnRowWritten(state, writes[0].row, RowWrite::kWritten, 5, now, out);
  EXPECT_EQ(Take<BeginHolding>(out).size(), 1);
}

TEST_F(GroupWithoutRow, IsNotClaimedUntilRowsAreKnown) {
  state.rows_known = false;
  AdvanceTime(seconds(10));
  EXPECT_TRUE(out.empty());
}

TEST_F(GroupWithoutRow, IsNotClaimedFromOtherZoneAtFirst) {
  state.self.zone = "south";
  AdvanceTime(seconds(2));
  EXPECT_TRUE(out.empty());
}

TEST_F(GroupWithoutRow, IsLeftToStrongerInstanceAtFirst) {
  state.self.processor_millis = 90;
  AdvanceTime(milliseconds{100});
  EXPECT_TRUE(out.empty());
  AdvanceTime(milliseconds{300});
  EXPECT_EQ(Take<WriteGroupRow>(out).size(), 1);
}

class LostHolder : public SuccessionFixture {
 protected:
  void SetUp() override {
    SuccessionFixture::SetUp();
    OnGroupRow(state, Row(5, other, 10, {{self, 11}, {third, 12}}), now, out);
    OnHolderStatus(state, other.address, HolderStatus::kReachable, now);
    out.clear();
  }
};

TEST_F(LostHolder, IsReplacedImmediatelyWhenItsProcessTerminated) {
  OnHolderStatus(state, other.address, HolderStatus::kTerminated, now);
  AdvanceTime(milliseconds{0});
  const auto writes = Take<WriteGroupRow>(out);
  ASSERT_EQ(writes.size(), 1);
  EXPECT_EQ(writes[0].row.version, 5);
  // The token is higher than every token that is reserved for others.
  EXPECT_GT(writes[0].row.token, 12);
}

TEST_F(LostHolder, IsReplacedAfterGracePeriodWhenUnresponsive) {
  OnHolderStatus(state, other.address, HolderStatus::kUnresponsive, now);
  AdvanceTime(milliseconds{100});
  EXPECT_TRUE(out.empty());
  AdvanceTime(milliseconds{100});
  EXPECT_EQ(Take<WriteGroupRow>(out).size(), 1);
}

TEST_F(LostHolder, IsReplacedWithReservedTokenWhenStoreIsUnreachable) {
  OnHolderStatus(state, other.address, HolderStatus::kTerminated, now);
  AdvanceTime(milliseconds{0});
  const auto write = Take<WriteGroupRow>(out).at(0);
  OnRowWritten(state, write.row, RowWrite::kUnknown, 0, now, out);
  const auto begun = Take<BeginHolding>(out);
  ASSERT_EQ(begun.size(), 1);
  EXPECT_EQ(begun[0].token, 11);
}

TEST_F(LostHolder, IsReplacedByFirstSuccessorFirst) {
  OnGroupRow(state, Row(6, other, 10, {{third, 11}, {self, 12}}), now, out);
  OnHolderStatus(state, other.address, HolderStatus::kTerminated, now);
  AdvanceTime(milliseconds{100});
  EXPECT_TRUE(out.empty());
  AdvanceTime(milliseconds{200});
  EXPECT_EQ(Take<WriteGroupRow>(out).size(), 1);
}

// Guards against takeovers from another zone. During the network partition of a
// zone, its instances took over the groups of the other zones, and fenced their
// holders when the partition ended. Seen in a bench run.
TEST_F(LostHolder, IsNotReplacedFromOtherZoneDuringPartition) {
  state.self = MakeInstance("outside", "south", 9);
  OnHolderStatus(state, other.address, HolderStatus::kUnresponsive, now);
  AdvanceTime(milliseconds{6500});
  EXPECT_TRUE(out.empty());
}

TEST_F(LostHolder, IsNotReplacedByStoppingInstance) {
  state.leaving = true;
  OnHolderStatus(state, other.address, HolderStatus::kTerminated, now);
  AdvanceTime(seconds(10));
  EXPECT_TRUE(out.empty());
}

// The row names the former process of this instance as the holder.
class RestartedHolder : public SuccessionFixture {
 protected:
  auto Restart(std::vector<Successor> successors) -> void {
    auto former = self;
    former.incarnation = Incarnation{77};
    OnGroupRow(state, Row(5, former, 10, std::move(successors)), now, out);
    out.clear();
  }
};

// Guards against a group without a holder: the last instance was killed and
// started again, and waited for the end of its own former process.
TEST_F(RestartedHolder, TakesGroupBackWhenNoOtherInstanceIsLeft) {
  Restart({});
  AdvanceTime(milliseconds{100});
  const auto writes = Take<WriteGroupRow>(out);
  ASSERT_EQ(writes.size(), 1);
  EXPECT_EQ(writes[0].row.version, 5);
  EXPECT_GT(writes[0].row.token, 10);
}

TEST_F(RestartedHolder, LeavesGroupToSuccessorsFirst) {
  Restart({{other, 11}, {third, 12}});
  AdvanceTime(milliseconds{400});
  EXPECT_TRUE(out.empty());
  AdvanceTime(milliseconds{200});
  EXPECT_EQ(Take<WriteGroupRow>(out).size(), 1);
}

class CurrentHolder : public LostHolder {
 protected:
  void SetUp() override {
    LostHolder::SetUp();
    OnHolderStatus(state, other.address, HolderStatus::kTerminated, now);
    AdvanceTime(milliseconds{0});
    const auto write = Take<WriteGroupRow>(out).at(0);
    OnRowWritten(state, write.row, RowWrite::kWritten, 6, now, out);
    out.clear();
  }
};

TEST_F(CurrentHolder, GivesUpGroupWhenHigherTokenIsAnnounced) {
  OnAnnounced(state, "north", {third, 50}, now, out);
  EXPECT_EQ(Take<EndHolding>(out).size(), 1);
  EXPECT_FALSE(state.groups["north"].held);
}

TEST_F(CurrentHolder, IgnoresLowerToken) {
  OnAnnounced(state, "north", {third, 12}, now, out);
  EXPECT_TRUE(out.empty());
  EXPECT_TRUE(state.groups["north"].held);
}

TEST_F(CurrentHolder, DoesNotReacquireGroupWithinPlatformLease) {
  OnAnnounced(state, "north", {third, 50}, now, out);
  out.clear();
  OnHolderStatus(state, third.address, HolderStatus::kTerminated, now);
  AdvanceTime(milliseconds{3000});
  EXPECT_TRUE(out.empty());
}

// Guards against a group without a holder: the instance that fenced this one
// ended before it wrote the row, and no other instance is left.
TEST_F(CurrentHolder, TakesGroupBackWhenNoInstanceFollowsAfterFence) {
  OnFenced(state, "north", now, out);
  out.clear();
  AdvanceTime(milliseconds{3000});
  EXPECT_TRUE(out.empty());
  AdvanceTime(milliseconds{1000});
  EXPECT_EQ(Take<WriteGroupRow>(out).size(), 1);
}

// Guards against a group without a holder: the successor in whose favour the
// group was released ended at the same time.
TEST_F(CurrentHolder, TakesGroupBackWhenNoInstanceFollowsAfterRelease) {
  OnReleased(state, "north", now);
  AdvanceTime(milliseconds{3000});
  EXPECT_TRUE(out.empty());
  AdvanceTime(milliseconds{1000});
  EXPECT_EQ(Take<WriteGroupRow>(out).size(), 1);
}

TEST_F(CurrentHolder, ReservesTokensForInstancesOfItsZone) {
  state.connected[third.address] = third;
  const auto outside = MakeInstance("outside", "south", 9);
  state.connected[outside.address] = outside;
  AdvanceTime(seconds(2));
  const auto writes = Take<WriteGroupRow>(out);
  ASSERT_EQ(writes.size(), 1);
  ASSERT_EQ(writes[0].row.successors.size(), 1);
  EXPECT_EQ(writes[0].row.successors[0].instance, third);
  EXPECT_GT(writes[0].row.successors[0].token, writes[0].row.token);
}

// Guards against holders that can't carry their group: on hundreds of instances
// most have a tenth of a core, and some half a core.
TEST_F(CurrentHolder, YieldsGroupToMuchStrongerSuccessor) {
  state.self.processor_millis = 90;
  auto strong = MakeInstance("strong", "north", 8);
  strong.processor_millis = 500;
  auto weak = third;
  weak.processor_millis = 90;
  state.connected[weak.address] = weak;
  state.connected[strong.address] = strong;
  OnAnnounced(state, "north", {state.self, 12}, now, out);
  out.clear();
  AdvanceTime(seconds(2));
  const auto write = Take<WriteGroupRow>(out).at(0);
  ASSERT_EQ(write.row.successors.size(), 2);
  EXPECT_EQ(write.row.successors[0].instance, strong);
  OnRowWritten(state, write.row, RowWrite::kWritten, 8, now, out);
  out.clear();
  AdvanceTime(seconds(1));
  EXPECT_TRUE(Take<YieldGroup>(out).empty());
  AdvanceTime(seconds(3));
  EXPECT_EQ(Take<YieldGroup>(out).size(), 1);
  OnReleased(state, "north", now);
  EXPECT_FALSE(state.groups["north"].held);
  AdvanceTime(seconds(3));
  EXPECT_TRUE(out.empty());
}

TEST_F(CurrentHolder, KeepsGroupBesideEquallyStrongSuccessor) {
  state.self.processor_millis = 250;
  auto equal = third;
  equal.processor_millis = 260;
  state.connected[equal.address] = equal;
  OnAnnounced(state, "north", {state.self, 13}, now, out);
  out.clear();
  AdvanceTime(seconds(2));
  const auto write = Take<WriteGroupRow>(out).at(0);
  OnRowWritten(state, write.row, RowWrite::kWritten, 8, now, out);
  out.clear();
  AdvanceTime(seconds(10));
  EXPECT_TRUE(out.empty());
}

// Covers links of small instances: the table of 1,100 workers is read only
// where it is needed.
TEST_F(CurrentHolder, NeedsWorkersLikeItsFirstSuccessorsOnly) {
  EXPECT_TRUE(NeedsWorkers(state));
  const auto fourth = MakeInstance("fourth", "north", 4);
  const auto fifth = MakeInstance("fifth", "north", 5);
  const auto needed_by = [&](const InstanceRef& instance) {
    Succession at;
    at.self = instance;
    SuccessionCommands ignored;
    OnGroupRow(at, Row(9, other, 90, {{third, 91}, {fourth, 92}, {fifth, 93}}),
               now, ignored);
    return NeedsWorkers(at);
  };
  EXPECT_TRUE(needed_by(other));
  EXPECT_TRUE(needed_by(third));
  EXPECT_TRUE(needed_by(fourth));
  EXPECT_FALSE(needed_by(fifth));
  EXPECT_FALSE(needed_by(self));
}

TEST_F(CurrentHolder, IgnoresOlderRow) {
  OnGroupRow(state, Row(4, other, 99, {}), now, out);
  EXPECT_TRUE(out.empty());
}

}  // namespace
}  // namespace boragecroft
