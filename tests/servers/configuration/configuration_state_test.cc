#include "servers/configuration/configuration_state.h"

#include <gtest/gtest.h>
// RapidCheck's header must follow GoogleTest's.
#include <rapidcheck/gtest.h>

#include "tests/servers/configuration/documents.h"

namespace boragecroft {
namespace {

using Kind = ConfigurationSource::Kind;

auto Instance(const std::string& name) -> ConfigurationSource {
  return {.kind = Kind::kInstance, .instance = name};
}

// A process that has just started and whose zone has two other instances.
class FreshInstanceTest : public testing::Test {
 protected:
  auto Advance(milliseconds by) -> void {
    for (; by.count() > 0; by -= milliseconds(100)) {
      now_.boot += milliseconds(100);
      TickConfiguration(state_, zone_, now_);
    }
  }

  auto OfferVersion(int64_t version, const ConfigurationSource& source)
      -> OfferOutcome {
    const auto document = DocumentOfVersion(version);
    return Offer(state_, version, document, source, now_).outcome;
  }

  const std::vector<std::string> zone_ = {"b", "c"};
  Now now_{};
  ConfigurationState state_ = StartConfiguration({}, zone_, now_);
};

TEST_F(FreshInstanceTest, ServesOnceAllSourcesAnswered) {
  EXPECT_EQ(OfferVersion(3, Instance("b")), OfferOutcome::kAdopted);
  EXPECT_EQ(OfferVersion(4, {}), OfferOutcome::kAdopted);
  EXPECT_FALSE(ReadyToServe(state_, now_));
  RecordAnswer(state_, Instance("c"));
  EXPECT_TRUE(ReadyToServe(state_, now_));
  EXPECT_EQ(VersionInForce(state_), 4);
}

TEST_F(FreshInstanceTest, ServesAfterMaxWaitWhenPlatformIsUnavailable) {
  OfferVersion(3, Instance("b"));
  Advance(milliseconds(1900));
  EXPECT_FALSE(ReadyToServe(state_, now_));
  Advance(milliseconds(100));
  EXPECT_TRUE(ReadyToServe(state_, now_));
}

TEST_F(FreshInstanceTest, WaitsAgainWhenFirstAnswerComesAfterMaxWait) {
  Advance(seconds(5));
  EXPECT_FALSE(ReadyToServe(state_, now_));
  OfferVersion(3, Instance("b"));
  EXPECT_FALSE(ReadyToServe(state_, now_));
  OfferVersion(7, Instance("c"));
  Advance(seconds(2));
  EXPECT_TRUE(ReadyToServe(state_, now_));
  EXPECT_EQ(VersionInForce(state_), 7);
}

TEST_F(FreshInstanceTest, ReadsAgainAfterPause) {
  OfferVersion(3, {});
  RecordAnswer(state_, Instance("b"));
  RecordAnswer(state_, Instance("c"));
  ASSERT_TRUE(ReadyToServe(state_, now_));
  now_.boot += seconds(5);
  // Before the tick that detects the pause.
  EXPECT_FALSE(ReadyToServe(state_, now_));
  EXPECT_TRUE(TickConfiguration(state_, zone_, now_));
  EXPECT_FALSE(ReadyToServe(state_, now_));
  EXPECT_EQ(OfferVersion(2, Instance("b")), OfferOutcome::kOlder);
  EXPECT_EQ(OfferVersion(3, {}), OfferOutcome::kSame);
  EXPECT_EQ(OfferVersion(5, Instance("c")), OfferOutcome::kAdopted);
  EXPECT_TRUE(ReadyToServe(state_, now_));
}

TEST_F(FreshInstanceTest, KeepsDocumentInForceOnConflict) {
  OfferVersion(3, {});
  const auto result =
      Offer(state_, 3, DocumentNamed("other"), Instance("b"), now_);
  EXPECT_EQ(result.outcome, OfferOutcome::kConflict);
  EXPECT_EQ(state_.in_force->configuration.deployment, "v3");
  ASSERT_TRUE(state_.last_conflict.has_value());
  EXPECT_EQ(state_.last_conflict->source, Instance("b"));
}

TEST_F(FreshInstanceTest, RejectsInvalidDocumentAndDoesNotFetchItAgain) {
  OfferVersion(3, {});
  const auto result = Offer(state_, 4, json::object(), Instance("b"), now_);
  EXPECT_EQ(result.outcome, OfferOutcome::kInvalid);
  EXPECT_FALSE(result.errors.empty());
  EXPECT_FALSE(NeedsFetch(state_, 4));
  EXPECT_FALSE(NeedsFetch(state_, 3));
  EXPECT_TRUE(NeedsFetch(state_, 5));
}

// A zone of instances on a faulty network. Offers arrive late, twice or from
// table replicas that are behind, processes pause, and processes restart while
// the platform is unavailable.
class Zone {
 public:
  Zone() : states_(kInstances) {
    for (size_t i = 0; i < kInstances; ++i) {
      states_[i] = StartConfiguration({}, PeersOf(i), now_);
    }
  }

  // Runs one random event, selected by the four numbers.
  auto Step(int event, uint32_t who, uint32_t whom, uint32_t choice) -> void {
    const auto a = who % kInstances;
    const auto b = whom % kInstances;
    Tick();
    switch (event) {
      case 0:
        ++newest_;
        return;
      case 1:  // a read of a table replica, which may be behind
        Deliver(a, newest_ == 0 ? 0 : 1 + choice % newest_, {});
        return;
      case 2:  // a transfer between instances; it may arrive again at any time
        transfers_.push_back({a, VersionInForce(states_[b]), b});
        Deliver(a, VersionInForce(states_[b]), Instance(Name(b)));
        return;
      case 3:
        if (!transfers_.empty()) {
          const auto& it = transfers_[choice % transfers_.size()];
          Deliver(it.to, it.version, Instance(Name(it.from)));
        }
        return;
      case 4:
        now_.boot += seconds(5);
        return;
      default:
        RestartInOutage(a, choice);
    }
  }

  // Delivers the newest version to every instance.
  auto DeliverNewest() -> void {
    for (size_t i = 0; i < kInstances; ++i) {
      Deliver(i, newest_, {});
      RC_ASSERT(VersionInForce(states_[i]) == newest_);
    }
  }

 private:
  struct Transfer {
    size_t to;
    int64_t version;
    size_t from;
  };

  static auto Name(size_t i) -> std::string { return std::to_string(i); }

  static auto PeersOf(size_t i) -> std::vector<std::string> {
    std::vector<std::string> out;
    for (size_t k = 0; k < kInstances; ++k) {
      if (k != i) {
        out.push_back(Name(k));
      }
    }
    return out;
  }

  auto Tick() -> void {
    now_.boot += milliseconds(100);
    for (size_t i = 0; i < kInstances; ++i) {
      TickConfiguration(states_[i], PeersOf(i), now_);
    }
  }

  auto Deliver(size_t to, int64_t version, const ConfigurationSource& source)
      -> void {
    if (version == 0) {
      return;
    }
    const auto before = VersionInForce(states_[to]);
    Offer(states_[to], version, DocumentOfVersion(version), source, now_);
    RC_ASSERT(VersionInForce(states_[to]) == std::max(before, version));
    RC_ASSERT(!states_[to].last_conflict.has_value());
  }

  // Replaces instance `i` by a new process while the platform is unavailable.
  // It reaches those of its peers whose bit is set.
  auto RestartInOutage(size_t i, uint32_t reachable) -> void {
    states_[i] = StartConfiguration({}, PeersOf(i), now_);
    int64_t newest = 0;
    for (size_t k = 0; k < kInstances; ++k) {
      if (k == i || ((reachable >> k) & 1U) == 0) {
        continue;
      }
      newest = std::max(newest, VersionInForce(states_[k]));
      Deliver(i, VersionInForce(states_[k]), Instance(Name(k)));
      RC_ASSERT(!ReadyToServe(states_[i], now_));
    }
    for (auto waited = 0; waited < 20; ++waited) {
      Tick();
    }
    RC_ASSERT(VersionInForce(states_[i]) == newest);
    RC_ASSERT(ReadyToServe(states_[i], now_) == (newest > 0));
  }

  static constexpr size_t kInstances = 4;

  Now now_{};
  int64_t newest_ = 0;
  std::vector<ConfigurationState> states_;
  std::vector<Transfer> transfers_;
};

RC_GTEST_PROP(ZoneTest,
              VersionsNeverDecreaseAndReachableInstancesConverge,
              ()) {
  const auto n = *rc::gen::inRange(1, 120);
  Zone zone;
  for (auto i = 0; i < n; ++i) {
    zone.Step(*rc::gen::inRange(0, 6), *rc::gen::arbitrary<uint32_t>(),
              *rc::gen::arbitrary<uint32_t>(), *rc::gen::arbitrary<uint32_t>());
  }
  zone.DeliverNewest();
}

RC_GTEST_PROP(PollTurnTest, ExactlyOneInstanceOfZoneReadsInEachRound, ()) {
  const auto names = *rc::gen::unique<std::vector<std::string>>(
      rc::gen::arbitrary<std::string>());
  RC_PRE(!names.empty());
  const auto round = *rc::gen::inRange(0, 1'000'000);
  const auto interval = milliseconds(1000);
  Now now{};
  now.wall = WallTime(round * interval);
  auto readers = 0;
  for (const auto& self : names) {
    auto reachable = names;
    std::erase(reachable, self);
    readers += IsPollTurn(self, reachable, interval, now);
    RC_ASSERT(IsPollTurn(self, {}, interval, now));
  }
  RC_ASSERT(readers == 1);
}

}  // namespace
}  // namespace boragecroft
