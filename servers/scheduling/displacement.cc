#include "servers/scheduling/displacement.h"

#include <algorithm>
#include <cmath>

namespace boragecroft {
namespace {

constexpr uint32_t kMaxPrioritySteps = 30;
constexpr milliseconds kSumPart{250};
// Share of its offered work that a kind, or its largest jobs, must get.
constexpr double kFloorShare = 0.25;
// Share of the jobs of a kind that are not among its largest.
constexpr double kUsualSizeShare = 0.9;
// Step of the estimate of the largest size, as a share of the estimate, for
// each job.
constexpr double kSizeStep = 0.05;
// Rest of a run that takes longer than expected, as a divisor of the time that
// it has taken. Run times spread by 40 %.
constexpr int kOverdueRestDivisor = 4;

auto Bounded(double work) -> double {
  return std::isfinite(work) ? std::clamp(work, kMinJobWork, kMaxJobWork)
                             : kMinJobWork;
}

auto PartNumber(Instant now) -> int64_t {
  return now.time_since_epoch() / kSumPart;
}

auto IsBelowFloor(const ServedWork& work, Instant now) -> bool {
  return ValueOf(work.started, now) < ValueOf(work.offered, now) * kFloorShare;
}

auto IsOfLargest(const KindFloor& floor, double work) -> bool {
  return floor.large_work > 0 && work > floor.large_work;
}

// Moves the estimate of the size up for a larger job and down for a smaller
// one, so that it rests where one job of ten is larger.
auto LearnSize(KindFloor& floor, double work) -> void {
  if (floor.large_work <= 0) {
    floor.large_work = work;
    return;
  }
  const auto up = IsOfLargest(floor, work) ? 1.0 : 0.0;
  floor.large_work *= std::exp(kSizeStep * (up - (1 - kUsualSizeShare)));
}

}  // namespace

auto CostOfTurningAway(uint32_t priority, double work) -> double {
  const auto steps = std::min(priority, kMaxPrioritySteps);
  return std::exp2(-static_cast<double>(steps)) / Bounded(work);
}

auto AddTo(RecentSum& sum, double amount, Instant now) -> void {
  const auto part = std::max(PartNumber(now), sum.last_part);
  const auto n = static_cast<int64_t>(sum.parts.size());
  for (auto i = std::max(sum.last_part + 1, part - n + 1); i <= part; ++i) {
    sum.parts.at(static_cast<size_t>(i % n)) = 0;
  }
  sum.last_part = part;
  sum.parts.at(static_cast<size_t>(part % n)) += amount;
}

auto ValueOf(const RecentSum& sum, Instant now) -> double {
  const auto n = static_cast<int64_t>(sum.parts.size());
  const auto oldest = PartNumber(now) - n + 1;
  double value = 0;
  for (auto i = std::max(oldest, sum.last_part - n + 1); i <= sum.last_part;
       ++i) {
    value += i < 0 ? 0 : sum.parts.at(static_cast<size_t>(i % n));
  }
  return value;
}

auto RecordOffered(Floors& floors,
                   const std::string& kind,
                   double work,
                   Instant now) -> FloorShare {
  const auto bounded = Bounded(work);
  const auto [it, is_new] = floors.index.try_emplace(kind, floors.kinds.size());
  if (is_new) {
    floors.kinds.emplace_back();
  }
  auto& floor = floors.kinds[it->second];
  const FloorShare share{.kind = it->second,
                         .largest = IsOfLargest(floor, bounded)};
  LearnSize(floor, bounded);
  AddTo(floor.all.offered, bounded, now);
  if (share.largest) {
    AddTo(floor.largest.offered, bounded, now);
  }
  return share;
}

auto RecordStarted(Floors& floors, FloorShare share, double work, Instant now)
    -> void {
  if (share.kind >= floors.kinds.size()) {
    return;
  }
  auto& floor = floors.kinds[share.kind];
  AddTo(floor.all.started, Bounded(work), now);
  if (share.largest) {
    AddTo(floor.largest.started, Bounded(work), now);
  }
}

auto IsBelowFloor(const Floors& floors, FloorShare share, Instant now) -> bool {
  if (share.kind >= floors.kinds.size()) {
    return false;
  }
  const auto& floor = floors.kinds[share.kind];
  return IsBelowFloor(floor.all, now) ||
         (share.largest && IsBelowFloor(floor.largest, now));
}

auto AddRelease(RoomForecast& forecast,
                double cores,
                microseconds elapsed,
                microseconds expected) -> void {
  const auto rest = std::max(expected - elapsed, elapsed / kOverdueRestDivisor);
  const auto last = static_cast<int64_t>(forecast.released.size()) - 1;
  const auto part = std::clamp<int64_t>(rest / kForecastPart, 0, last);
  forecast.released.at(static_cast<size_t>(part)) += std::max(0.0, cores);
}

auto PredictStarts(RoomForecast forecast,
                   const std::vector<WaitingClaim>& claims)
    -> std::vector<microseconds> {
  const auto parts = forecast.released.size();
  std::vector<microseconds> out;
  out.reserve(claims.size());
  size_t part = 0;
  auto room = forecast.released.front();
  for (const auto& it : claims) {
    auto start_part = part;
    auto start_room = room;
    while (start_room < it.cores && start_part + 1 < parts) {
      ++start_part;
      start_room += forecast.released.at(start_part);
    }
    const auto cores = std::max(0.0, it.cores);
    const auto enough = start_room >= it.cores;
    const auto start =
        enough ? microseconds(kForecastPart) * static_cast<int64_t>(start_part)
               : microseconds(kForecastPart) * static_cast<int64_t>(parts);
    out.push_back(start);
    if (!enough || (!it.keep && start > it.start_within)) {
      continue;
    }
    part = start_part;
    room = start_room - cores;
    const auto end = start_part + static_cast<size_t>(std::max<int64_t>(
                                      1, it.run_time / kForecastPart));
    if (end < parts) {
      forecast.released.at(end) += cores;
    }
  }
  return out;
}

}  // namespace boragecroft
