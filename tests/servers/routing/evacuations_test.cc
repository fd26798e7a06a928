#include "servers/routing/evacuations.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <string>

namespace boragecroft {
namespace {

// Writes and deletions of the operator's rows in the order of the store, from
// the version 1 on, of zones named by numbers below `zones`.
auto DrawHistory(int zones, size_t longest) -> std::vector<Evacuation> {
  const auto size = *rc::gen::inRange<size_t>(0, longest);
  std::vector<Evacuation> out;
  for (size_t i = 0; i < size; ++i) {
    out.push_back({.zone = std::to_string(*rc::gen::inRange(0, zones)),
                   .version = i + 1,
                   .active = *rc::gen::arbitrary<bool>()});
  }
  return out;
}

// Returns the records in another order, some of them twice.
auto Shuffle(std::vector<Evacuation> records) -> std::vector<Evacuation> {
  const auto seed = *rc::gen::arbitrary<uint32_t>();
  std::minstd_rand random(seed);
  const auto size = records.size();
  for (size_t i = 0; i < size; i += 3) {
    records.push_back(records[i]);
  }
  std::shuffle(records.begin(), records.end(), random);
  return records;
}

auto AdoptAll(Evacuations& state, const std::vector<Evacuation>& records)
    -> void {
  for (const auto& it : records) {
    AdoptEvacuation(state, it, EvacuationSource::kPeer);
  }
}

auto CountEnded(const Evacuations& state) -> size_t {
  return static_cast<size_t>(
      std::count_if(state.zones.begin(), state.zones.end(),
                    [](const auto& it) { return !it.second.active; }));
}

// Guards against instances that disagree for ever about a zone, because their
// messages arrived in different orders.
RC_GTEST_PROP(EvacuationRecords, AgreeWhateverTheOrderOfMessages, ()) {
  const auto history = DrawHistory(6, 40);
  Evacuations in_order;
  AdoptAll(in_order, history);
  Evacuations shuffled;
  AdoptAll(shuffled, Shuffle(history));
  RC_ASSERT(in_order == shuffled);
}

// Guards against a zone that goes back to an earlier state, also when more
// evacuations have ended than are remembered.
RC_GTEST_PROP(EvacuationRecords, NeverGoBack, ()) {
  Evacuations state;
  std::map<std::string, Evacuation> newest;
  for (const auto& it : Shuffle(DrawHistory(150, 400))) {
    AdoptEvacuation(state, it, EvacuationSource::kPeer);
    auto& known = newest[it.zone];
    known = it.version > known.version ? it : known;
    RC_ASSERT(!IsEvacuated(state, it.zone) || known.active);
    RC_ASSERT(CountEnded(state) <= kMaxEndedEvacuations);
  }
}

// An operator who evacuates a zone and later deletes the row.
class EvacuationEndsFirst : public testing::Test {
 protected:
  auto Adopt(const std::string& zone,
             uint64_t version,
             bool active,
             EvacuationSource source = EvacuationSource::kPeer) -> bool {
    return AdoptEvacuation(
        state, {.zone = zone, .version = version, .active = active}, source);
  }

  Evacuations state;
};

// Guards against an evacuation without end: the own connection to the store
// still shows the row whose deletion a peer has reported.
TEST_F(EvacuationEndsFirst, WhenPeerKnowsMoreThanStoreConnection) {
  EXPECT_TRUE(Adopt("north", 30, false));
  EXPECT_FALSE(Adopt("north", 20, true, EvacuationSource::kStore));
  EXPECT_FALSE(IsEvacuated(state, "north"));
}

// Guards against the reverse: the store reports the deletion while a peer still
// sends the record of the row.
TEST_F(EvacuationEndsFirst, WhenStoreKnowsMoreThanPeer) {
  EXPECT_TRUE(Adopt("north", 20, true));
  EXPECT_TRUE(Adopt("north", 30, false, EvacuationSource::kStore));
  EXPECT_FALSE(Adopt("north", 20, true));
  EXPECT_FALSE(IsEvacuated(state, "north"));
  EXPECT_TRUE(Adopt("north", 31, true));
  EXPECT_EQ(EvacuatedZones(state), std::set<std::string>{"north"});
}

TEST_F(EvacuationEndsFirst, AndStaysEndedWhenItIsNotRememberedAnyMore) {
  for (uint64_t n = 1; n <= kMaxEndedEvacuations + 2; ++n) {
    Adopt("zone-" + std::to_string(n), 10 * n, false);
  }
  EXPECT_EQ(state.dropped_version, 20U);
  EXPECT_FALSE(Adopt("zone-1", 5, true));
  EXPECT_FALSE(Adopt("zone-other", 20, true));
  // The store itself lists only rows that exist.
  EXPECT_TRUE(Adopt("zone-other", 20, true, EvacuationSource::kStore));
  EXPECT_TRUE(Adopt("zone-1", 21, true));
}

TEST_F(EvacuationEndsFirst, ButHasNoEffectWithoutZone) {
  EXPECT_FALSE(Adopt("", 7, true, EvacuationSource::kStore));
  EXPECT_TRUE(state.zones.empty());
}

// A complete read of the operator's rows, after changes that were not reported
// one by one.
class CompleteRead : public EvacuationEndsFirst {};

// Guards against an evacuation without end: it was learned from a peer, and its
// row was deleted before this instance read the table.
TEST_F(CompleteRead, EndsEvacuationsThatStoreNoLongerLists) {
  Adopt("north", 20, true);
  Adopt("south", 21, true);
  const auto ended = UnlistedEvacuations(state, {"south"}, 40);
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended[0], (Evacuation{"north", 40, false}));
}

// Guards against starts in an evacuated zone: the row was written after the
// read began, and a peer was faster than the feed.
TEST_F(CompleteRead, KeepsEvacuationsThatAreNewerThanIt) {
  Adopt("north", 41, true);
  EXPECT_TRUE(UnlistedEvacuations(state, {}, 40).empty());
}

TEST(GraceForStartedJobs, IsQuarterOfBoundAndAtMostOneSecond) {
  EXPECT_EQ(GraceForStartedJobs(milliseconds{5000}), milliseconds{1000});
  EXPECT_EQ(GraceForStartedJobs(milliseconds{1000}), milliseconds{250});
  EXPECT_EQ(GraceForStartedJobs(milliseconds{0}), milliseconds{0});
}

}  // namespace
}  // namespace boragecroft
