#include "servers/quota/team_quota.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>

#include "core/base/random.h"
#include "servers/quota/quota_usage.h"

namespace boragecroft {
namespace {

constexpr auto kTick = milliseconds(250);
constexpr RosterDelays kDelays;
constexpr QuotaTimes kTimes;

auto Total(const std::vector<uint32_t>& parts) -> uint64_t {
  return std::accumulate(parts.begin(), parts.end(), uint64_t{0});
}

RC_GTEST_PROP(PlanLeasesTest,
              NoMemberLendsMoreThanItClaimsAndEveryMemberReachesFairShare,
              (uint64_t seed)) {
  Random random(seed);
  std::vector<uint32_t> claims(1 + DrawBelow(random, 16));
  std::vector<uint32_t> demands(claims.size());
  for (size_t i = 0; i < claims.size(); ++i) {
    claims[i] = static_cast<uint32_t>(DrawBelow(random, 50));
    demands[i] = static_cast<uint32_t>(DrawBelow(random, 200));
  }
  const auto lent = PlanLeases(claims, demands, seed);
  const auto fair = static_cast<uint32_t>(Total(claims) / claims.size());
  for (size_t i = 0; i < claims.size(); ++i) {
    auto held = uint64_t{claims[i]};
    RC_ASSERT(Total(lent[i]) <= claims[i]);
    for (size_t j = 0; j < claims.size(); ++j) {
      held += lent[j][i];
    }
    RC_ASSERT(held - Total(lent[i]) >= std::min(demands[i], fair));
  }
}

RC_GTEST_PROP(ZoneTasksTest, AddsUpToTheQuotaOverAllZones, (uint32_t quota)) {
  QuotaPlan plan{.zone_weights = {16, 16, 16, 16, 16, 18}};
  uint64_t sum = 0;
  for (plan.zone = 0; plan.zone < plan.zone_weights.size(); ++plan.zone) {
    sum += ZoneTasks(plan, {"team", quota});
  }
  RC_ASSERT(sum == quota);
}

struct Message {
  size_t to = 0;
  QuotaReport report;
  Instant echoed_sent;  // by the receiver's clock
  Instant arrives;      // by the time of the simulation
};

struct Peer {
  bool alive = true;
  microseconds clock_offset{};
  QuotaState state;
  // Time by the sender's clock at which its latest report was sent.
  std::map<size_t, Instant> received_sent;
};

// Simulates the instances of one zone, each with its own clock. Messages are
// lost, delayed and reordered; lists lag; instances start and terminate.
class Zone {
 public:
  Zone(size_t count, uint64_t seed) : random_(seed) {
    plan_.quotas = {{"cartas", 7}, {"avisos", 100}, {"pagos", 1}};
    plan_.zone_weights = {1};
    for (size_t i = 0; i < count; ++i) {
      Add();
    }
  }

  auto Add() -> void {
    Peer peer{.clock_offset = microseconds(DrawBelow(random_, 1U << 30U))};
    peer.state.roster.self = IdOf(peers_.size());
    peers_.push_back(std::move(peer));
    DrawDemands(peers_.back());
  }

  auto Kill(size_t i) -> void { peers_[i].alive = false; }
  auto Count() const -> size_t { return peers_.size(); }

  auto Alive() const -> size_t {
    return std::count_if(peers_.begin(), peers_.end(),
                         [](const Peer& it) { return it.alive; });
  }

  // Draws which pairs of instances are partitioned, and which instances cannot
  // read the platform's list.
  auto DrawPartitions() -> void {
    partitions_.clear();
    for (size_t i = 0; i < peers_.size(); ++i) {
      if (DrawBelow(random_, 3) == 0) {
        partitions_.insert({i, i});
      }
      for (size_t j = 0; j < peers_.size(); ++j) {
        if (DrawBelow(random_, 3) == 0) {
          partitions_.insert({i, j});
        }
      }
    }
  }

  auto HealPartitions() -> void { partitions_.clear(); }

  auto DrawAllDemands() -> void {
    for (auto& it : peers_) {
      DrawDemands(it);
    }
  }

  auto AdvanceOneTick(bool orderly) -> void {
    now_ += kTick;
    for (size_t i = 0; i < peers_.size(); ++i) {
      if (peers_[i].alive) {
        ReadList(i, orderly);
        Send(i, orderly);
      }
    }
    Deliver();
  }

  // Returns the number of tasks that all live instances together may have in
  // progress, for each team.
  auto Allocated() const -> std::vector<uint32_t> {
    std::vector<uint32_t> sums(plan_.quotas.size(), 0);
    for (const auto& it : peers_) {
      if (it.alive) {
        const auto shares =
            AllocateQuota(plan_, it.state, now_ + it.clock_offset);
        for (size_t t = 0; t < sums.size(); ++t) {
          sums[t] += shares[t].tasks;
        }
      }
    }
    return sums;
  }

  auto IsWithinQuota() const -> bool {
    const auto sums = Allocated();
    for (size_t t = 0; t < sums.size(); ++t) {
      if (sums[t] > plan_.quotas[t].tasks) {
        return false;
      }
    }
    return true;
  }

  auto IsExactlyQuota() const -> bool {
    const auto sums = Allocated();
    for (size_t t = 0; t < sums.size(); ++t) {
      if (sums[t] != plan_.quotas[t].tasks) {
        return false;
      }
    }
    return true;
  }

  // Reports whether every instance has its demand or the equal share of each
  // team.
  auto IsFair() const -> bool {
    for (const auto& it : peers_) {
      const auto shares =
          AllocateQuota(plan_, it.state, now_ + it.clock_offset);
      for (size_t t = 0; it.alive && t < shares.size(); ++t) {
        const auto fair =
            static_cast<uint32_t>(plan_.quotas[t].tasks / Alive());
        if (shares[t].tasks < std::min(it.state.own_demands[t].tasks, fair)) {
          return false;
        }
      }
    }
    return true;
  }

 private:
  static auto IdOf(size_t i) -> Incarnation { return {MixHash(i, 77)}; }

  auto DrawDemands(Peer& peer) -> void {
    peer.state.own_demands.clear();
    for (const auto& it : plan_.quotas) {
      const auto demand =
          DrawBelow(random_, 2) == 0 ? 0 : DrawBelow(random_, 120);
      peer.state.own_demands.push_back(
          {it.team, static_cast<uint32_t>(demand)});
    }
  }

  // Applies the platform's list as one instance reads it. Members that the
  // instance knows may be missing from it.
  auto ReadList(size_t i, bool orderly) -> void {
    auto& peer = peers_[i];
    Members listed;
    Members terminated;
    for (size_t j = 0; j < peers_.size(); ++j) {
      const auto is_known = IsMember(peer.state.roster, IdOf(j));
      const auto omitted =
          !orderly && i != j && is_known && DrawBelow(random_, 8) == 0;
      if (peers_[j].alive && !omitted) {
        listed.push_back(IdOf(j));
      } else if (!peers_[j].alive && (orderly || DrawBelow(random_, 4) == 0)) {
        terminated.push_back(IdOf(j));
      }
    }
    std::ranges::sort(listed, {}, &Incarnation::value);
    std::ranges::sort(terminated, {}, &Incarnation::value);
    if (!partitions_.contains({i, i})) {
      UpdateRoster(peer.state.roster, listed, terminated,
                   now_ + peer.clock_offset, kDelays);
    }
  }

  auto Send(size_t i, bool orderly) -> void {
    auto& peer = peers_[i];
    const auto local = now_ + peer.clock_offset;
    for (auto& it : MakeReports(plan_, kTimes, peer.state, local)) {
      const auto to = IndexOf(it.receiver);
      if (partitions_.contains({i, to})) {
        continue;
      }
      const auto delay = orderly || DrawBelow(random_, 4) > 0
                             ? milliseconds(1)
                             : milliseconds(DrawBelow(random_, 8000));
      const auto received = peer.received_sent.find(to);
      messages_.push_back({.to = to,
                           .report = std::move(it.report),
                           .echoed_sent = received == peer.received_sent.end()
                                              ? Instant::min()
                                              : received->second,
                           .arrives = now_ + delay});
      sent_.push_back({i, local});
    }
  }

  auto Deliver() -> void {
    for (size_t m = 0; m < messages_.size();) {
      if (messages_[m].arrives > now_ + milliseconds(1)) {
        ++m;
        continue;
      }
      auto& receiver = peers_[messages_[m].to];
      if (receiver.alive) {
        ApplyReport(kTimes, receiver.state, messages_[m].report,
                    messages_[m].echoed_sent, now_ + receiver.clock_offset);
        auto& received = receiver.received_sent[sent_[m].first];
        received = std::max(received, sent_[m].second);
      }
      messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(m));
      sent_.erase(sent_.begin() + static_cast<std::ptrdiff_t>(m));
    }
  }

  auto IndexOf(Incarnation id) const -> size_t {
    size_t i = 0;
    while (IdOf(i) != id) {
      ++i;
    }
    return i;
  }

  Random random_;
  QuotaPlan plan_;
  Instant now_ = Instant(seconds(100));
  std::vector<Peer> peers_;
  std::set<std::pair<size_t, size_t>> partitions_;
  std::vector<Message> messages_;
  std::vector<std::pair<size_t, Instant>> sent_;
};

RC_GTEST_PROP(QuotaOfAZone,
              IsNeverExceededUnderPartitionsLossDelayOrReplacement,
              (uint64_t seed)) {
  Random random(seed);
  Zone zone(1 + DrawBelow(random, 4), seed);
  for (auto i = 0; i < 400; ++i) {
    const auto event = DrawBelow(random, 40);
    if (event == 0 && zone.Count() < 7) {
      zone.Add();
    } else if (event == 1 && zone.Alive() > 1) {
      zone.Kill(DrawBelow(random, zone.Count()));
    } else if (event == 2) {
      zone.DrawPartitions();
    } else if (event == 3) {
      zone.HealPartitions();
    } else if (event < 8) {
      zone.DrawAllDemands();
    }
    zone.AdvanceOneTick(false);
    RC_ASSERT(zone.IsWithinQuota());
  }
}

RC_GTEST_PROP(QuotaOfAZone,
              IsFullyAndFairlyAllocatedOnceZoneIsStable,
              (uint64_t seed)) {
  Random random(seed);
  Zone zone(1 + DrawBelow(random, 6), seed);
  zone.DrawPartitions();
  for (auto i = 0; i < 100; ++i) {
    zone.AdvanceOneTick(false);
  }
  zone.Add();
  zone.HealPartitions();
  for (auto i = 0; i < 120; ++i) {
    zone.AdvanceOneTick(true);
    RC_ASSERT(zone.IsWithinQuota());
  }
  RC_ASSERT(zone.IsExactlyQuota());
  RC_ASSERT(zone.IsFair());
}

// Instance 1 of a zone with two instances. The tests supply the reports that it
// receives from instance 2.
class ZoneOfTwo : public testing::Test {
 protected:
  ZoneOfTwo() {
    state_.roster.self = {1};
    UpdateRoster(state_.roster, {{1}, {2}}, {}, At(0), kDelays);
  }

  static auto At(int64_t millis) -> Instant {
    return Instant(milliseconds(millis));
  }

  auto ApplyReportFrom(uint64_t sender, Instant echoed_sent) -> void {
    ApplyReport(kTimes, state_,
                {.sender = {sender},
                 .roster_digest = RosterDigest({{1}, {2}}),
                 .leased = {{"cartas", 3}},
                 .claims = true},
                echoed_sent, At(30));
  }

  auto Share() const -> uint32_t {
    return AllocateQuota(plan_, state_, At(40)).front().tasks;
  }

  QuotaPlan plan_{.quotas = {{"cartas", 10}}, .zone_weights = {1}};
  QuotaState state_;
};

TEST_F(ZoneOfTwo, ClaimsItsPartOnceOtherReceivedItsPromise) {
  MakeReports(plan_, kTimes, state_, At(10));
  ApplyReportFrom(2, At(9));
  EXPECT_EQ(Share(), 3U)
      << "only the lease counts, because the report may be outdated";
  ApplyReportFrom(2, At(10));
  EXPECT_EQ(Share(), 8U);
}

TEST_F(ZoneOfTwo, IgnoresLeaseFromUnknownInstance) {
  MakeReports(plan_, kTimes, state_, At(10));
  ApplyReportFrom(3, At(10));
  EXPECT_EQ(Share(), 0U);
}

TEST_F(ZoneOfTwo, DropsAbsentMemberSoonIfItNeverReported) {
  UpdateRoster(state_.roster, {{1}}, {}, At(1000), kDelays);
  EXPECT_TRUE(IsMember(state_.roster, {2}));
  UpdateRoster(state_.roster, {{1}}, {}, At(1000) + kDelays.terminated,
               kDelays);
  EXPECT_FALSE(IsMember(state_.roster, {2}));
}

TEST_F(ZoneOfTwo, KeepsAbsentMemberUntilDelayHasPassed) {
  ApplyReportFrom(2, At(0));
  const auto absent = At(1000);
  UpdateRoster(state_.roster, {{1}}, {}, absent, kDelays);
  UpdateRoster(state_.roster, {{1}}, {}, absent + kDelays.absent - kTick,
               kDelays);
  EXPECT_TRUE(IsMember(state_.roster, {2}));
  UpdateRoster(state_.roster, {}, {}, absent + 2 * kDelays.absent, kDelays);
  EXPECT_TRUE(IsMember(state_.roster, {2})) << "an empty list is ignored";
  UpdateRoster(state_.roster, {{1}}, {}, absent + kDelays.absent, kDelays);
  EXPECT_FALSE(IsMember(state_.roster, {2}));
}

TEST(QuotaUsageTest, ShrinkingShareStopsNewStartsOnly) {
  QuotaUsage usage;
  EXPECT_FALSE(MayStart(usage, "cartas"));
  SetShares(usage, {{"cartas", 2}});
  CountTaskStart(usage, "cartas");
  EXPECT_TRUE(MayStart(usage, "cartas"));
  CountTaskStart(usage, "cartas");
  EXPECT_FALSE(MayStart(usage, "cartas"));
  SetShares(usage, {});
  EXPECT_EQ(TasksInProgress(usage, "cartas"), 2U);
  CountTaskEnd(usage, "cartas");
  SetShares(usage, {{"cartas", 2}});
  EXPECT_TRUE(MayStart(usage, "cartas"));
}

}  // namespace
}  // namespace boragecroft
