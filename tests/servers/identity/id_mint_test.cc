#include "servers/identity/id_mint.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <set>
#include <tuple>
#include <unordered_map>

#include "servers/identity/record_clock.h"
#include "servers/identity/unused_ids.h"

namespace boragecroft {
namespace {

constexpr milliseconds kTerm = seconds(10);
constexpr milliseconds kRetention = seconds(30);

auto MakeMint() -> IdMint {
  return IdMint{.incarnation = {7},
                .started = Now{.boot = Instant(seconds(5)),
                               .wall = WallTime(seconds(1000))},
                .term = kTerm,
                .retention = kRetention};
}

auto At(const IdMint& mint, milliseconds after) -> Now {
  return Now{.boot = mint.started.boot + after,
             .wall = mint.started.wall + after};
}

TEST(SequenceRangesTest, MergesAdjacentRanges) {
  SequenceRanges ranges;
  EXPECT_EQ(Insert(ranges, {1, 2}), 2U);
  EXPECT_EQ(Insert(ranges, {5, 6}), 2U);
  EXPECT_EQ(Insert(ranges, {2, 4}), 2U);
  EXPECT_EQ(ranges, (SequenceRanges{{1, 6}}));
}

RC_GTEST_PROP(SequenceRangesTest,
              ContainsSameNumbersAsSet,
              (const std::vector<std::pair<uint8_t, uint8_t>>& added)) {
  SequenceRanges ranges;
  std::set<uint64_t> model;
  for (const auto& [first, length] : added) {
    const SequenceRange it{first, first + uint64_t{length} % 8};
    const auto before = model.size();
    for (auto n = it.first; n <= it.last; ++n) {
      model.insert(n);
    }
    RC_ASSERT(Insert(ranges, it) == model.size() - before);
  }
  RC_ASSERT(CountOf(ranges) == model.size());
  for (uint64_t n = 0; n < 270; ++n) {
    RC_ASSERT(Contains(ranges, n) == model.contains(n));
  }
  for (size_t i = 1; i < ranges.size(); ++i) {
    RC_ASSERT(ranges[i].first > ranges[i - 1].last + 1);
  }
}

// An id fetched by a partner.
class FetchedIdTest : public testing::Test {
 protected:
  IdMint mint_ = MakeMint();
  JobId id_ = Mint(mint_, "bank", 10, At(mint_, seconds(1)));
};

TEST_F(FetchedIdTest, IsFreshUntilUsed) {
  const auto now = At(mint_, seconds(2));
  EXPECT_EQ(CheckId(mint_, id_, "bank", now), IdStatus::kFresh);
  EXPECT_TRUE(MarkUsed(mint_, id_, now));
  EXPECT_EQ(CheckId(mint_, id_, "bank", now), IdStatus::kUsed);
  EXPECT_FALSE(MarkUsed(mint_, id_, now));
}

TEST_F(FetchedIdTest, IsRejectedForAnotherPartner) {
  EXPECT_EQ(CheckId(mint_, id_, "utility", At(mint_, seconds(2))),
            IdStatus::kWrongPartner);
}

TEST_F(FetchedIdTest, IsNotMintedWhenAnyPartDiffers) {
  const auto now = At(mint_, seconds(2));
  auto other_time = id_;
  other_time.minted += milliseconds(1);
  auto beyond = id_;
  beyond.sequence += 10;
  auto elsewhere = id_;
  elsewhere.incarnation.value = 8;
  for (const auto& it : {other_time, beyond, elsewhere}) {
    EXPECT_EQ(CheckId(mint_, it, "bank", now), IdStatus::kNotMinted);
    EXPECT_FALSE(MarkUsed(mint_, it, now));
  }
}

TEST_F(FetchedIdTest, StaysExpiredWhenWallTimeStepsBackOrTermIsRaised) {
  auto late = At(mint_, seconds(1) + kTerm + milliseconds(1));
  late.wall = mint_.started.wall;
  mint_.term = kTerm * 2;
  EXPECT_EQ(CheckId(mint_, id_, "bank", late), IdStatus::kExpired);
  EXPECT_FALSE(MarkUsed(mint_, id_, late));
}

TEST_F(FetchedIdTest, IsDroppedOnlyWhenRecordsAreDurable) {
  const auto late = At(mint_, seconds(1) + kTerm + kRetention + seconds(1));
  EXPECT_EQ(DropSettled(mint_, id_.minted, late), 0U);
  EXPECT_EQ(CheckId(mint_, id_, "bank", late), IdStatus::kExpired);
  EXPECT_EQ(DropSettled(mint_, RecordTime(mint_.started, late), late), 1U);
  EXPECT_EQ(CheckId(mint_, id_, "bank", late), IdStatus::kBelowRetained);
  EXPECT_FALSE(MarkUsed(mint_, id_, late));
}

RC_GTEST_PROP(IdMintTest, MarksEachIdUsedAtMostOnce, ()) {
  using Steps = std::vector<std::tuple<uint8_t, uint8_t, uint8_t>>;
  const auto steps = *rc::gen::resize(400, rc::gen::arbitrary<Steps>());
  auto mint = MakeMint();
  mint.retention = seconds(*rc::gen::element(3, 30));
  milliseconds time{};
  std::vector<JobId> ids;
  std::unordered_map<JobId, IdStatus>
      settled;  // statuses that must never become fresh again
  for (const auto& [kind, a, b] : steps) {
    const auto now = At(mint, time);
    if (kind % 4 == 0) {
      time += milliseconds(a * 40);
    } else if (kind % 4 == 1) {
      auto id = Mint(mint, "bank", 1 + a % 5, now);
      for (auto n = 0; n < 1 + a % 5; ++n, ++id.sequence) {
        ids.push_back(id);
      }
    } else if (kind % 4 == 2) {
      DropSettled(mint, RecordTime(mint.started, now), now);
    } else if (!ids.empty()) {
      const auto& id = ids[(a * 256 + b) % ids.size()];
      const auto status = CheckId(mint, id, "bank", now);
      RC_ASSERT(status != IdStatus::kNotMinted);
      const auto before = settled.find(id);
      RC_ASSERT((before == settled.end() || status == before->second ||
                 status == IdStatus::kBelowRetained));
      RC_ASSERT((before != settled.end() ||
                 (status == IdStatus::kFresh) ==
                     (RecordTime(mint.started, now) <= id.minted + kTerm)));
      if (status != IdStatus::kFresh) {
        RC_ASSERT(!MarkUsed(mint, id, now));
        settled.try_emplace(id, status);
        continue;
      }
      RC_ASSERT(!settled.contains(id));
      RC_ASSERT(MarkUsed(mint, id, now));
      settled.emplace(id, IdStatus::kUsed);
    }
  }
}

// A successor that decided differently from the mint could start a job a second
// time or refuse a valid id. Its status for an id must agree with the mint's.
RC_GTEST_PROP(UnusedIdsTest, AgreeWithMint, ()) {
  auto mint = MakeMint();
  std::vector<JobId> ids;
  const auto batches = *rc::gen::inRange(0, 12);
  for (auto n = 0; n < batches; ++n) {
    const auto partner = *rc::gen::element<std::string>("bank", "utility");
    const auto now = At(mint, milliseconds(n * *rc::gen::inRange(0, 2000)));
    auto id = Mint(mint, partner, *rc::gen::inRange<uint64_t>(1, 6), now);
    for (; id.sequence < mint.next_sequence; ++id.sequence) {
      ids.push_back(id);
      if (*rc::gen::arbitrary<bool>()) {
        RC_ASSERT(MarkUsed(mint, id, now));
      }
    }
  }
  const auto now = At(mint, milliseconds(*rc::gen::inRange(20000, 40000)));
  const auto unused = CollectUnused(mint, now);
  for (const auto& it : ids) {
    for (const auto* partner : {"bank", "utility"}) {
      const auto status_by_mint = CheckId(mint, it, partner, now);
      const auto status_by_successor =
          CheckUnused(unused, it, partner, RecordTime(mint.started, now));
      RC_ASSERT((status_by_mint == IdStatus::kFresh) ==
                (status_by_successor == IdStatus::kFresh));
      if (status_by_successor == IdStatus::kWrongPartner) {
        RC_ASSERT(status_by_mint == IdStatus::kWrongPartner);
      }
    }
  }
}

TEST(UnusedIdsTest, OmittedRangesAreNeverFresh) {
  auto mint = MakeMint();
  std::vector<JobId> ids;
  for (size_t n = 0; n < kMaxUnusedRanges + 2; ++n) {
    ids.push_back(Mint(mint, "bank", 1, At(mint, milliseconds(n))));
  }
  const auto now = At(mint, seconds(5));
  const auto unused = CollectUnused(mint, now);
  const auto time = RecordTime(mint.started, now);
  EXPECT_EQ(unused.ranges.size(), kMaxUnusedRanges);
  EXPECT_EQ(CheckUnused(unused, ids[1], "bank", time), IdStatus::kExpired);
  EXPECT_EQ(CheckUnused(unused, ids[2], "bank", time), IdStatus::kFresh);
  ids[2].sequence = mint.next_sequence;
  EXPECT_EQ(CheckUnused(unused, ids[2], "bank", time), IdStatus::kNotMinted);
}

}  // namespace
}  // namespace boragecroft
