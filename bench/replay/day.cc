#include "bench/replay/day.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace boragecroft::bench {
namespace {

// Spread of the users' sheets, as the standard deviation of the logarithm.
constexpr double kWidthSpread = 0.4;
constexpr double kWorkSpread = 0.4;
constexpr double kUneven = 0.15;  // tasks of one job among each other
constexpr double kNeedsSpread = 0.2;
constexpr double kMeanCpuMillis = 14'000;
constexpr double kMostCpuMillis = 20'000;
constexpr int64_t kMemoryMb = 64;
// The objective: so many times the run time of the longest task, and more.
constexpr double kSlackFactor = 1.6;
constexpr milliseconds kTarget{60};
constexpr milliseconds kPatience{1500};
// A job is worth this part of its kind's worth and the rest by its work, at
// most so many times the kind's worth.
constexpr double kFlatWorth = 0.3;
constexpr double kMostWorth = 4;
constexpr double kWaveSwing = 0.15;
constexpr microseconds kWavePeriod = seconds{11};
constexpr int64_t kSmallWorker = 32'000;
constexpr int64_t kBigWorker = 48'000;

auto SecondsOf(microseconds time) -> double {
  return std::chrono::duration<double>(time).count();
}

auto DrawUnit(Random& random) -> double {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

// A number with the mean `mean` whose logarithm has this spread.
auto DrawAround(Random& random, double mean, double spread) -> double {
  const auto drawn = std::normal_distribution<double>(0, spread)(random);
  return mean * std::exp(drawn - spread * spread / 2);
}

auto Scaled(microseconds time, double factor) -> microseconds {
  return microseconds(
      static_cast<int64_t>(static_cast<double>(time.count()) * factor));
}

// Jobs of a kind and zone a second at a moment.
auto RateAt(const DayShape& shape,
            const ZoneShape& zone,
            const KindShape& kind,
            microseconds at) -> double {
  double shares = 0;
  for (const auto& it : shape.kinds) {
    shares += it.share;
  }
  const auto turns = SecondsOf(at) / SecondsOf(kWavePeriod) + zone.phase;
  auto rate = zone.jobs_per_second * kind.share / shares *
              (1 + kWaveSwing * std::sin(2 * std::numbers::pi * turns));
  for (const auto& it : shape.bursts) {
    const auto within = at >= it.from && at < it.from + it.time;
    if (within && (it.kind.empty() || it.kind == kind.name)) {
      rate *= it.factor;
    }
  }
  return rate;
}

auto MeanCoreWork(const KindShape& kind) -> double {
  return kind.mean_width * static_cast<double>(kind.mean_work.count()) *
         kMeanCpuMillis / 1000;
}

auto DrawTasks(Random& random, const KindShape& kind) -> std::vector<DayTask> {
  const auto width = std::clamp<double>(
      std::round(DrawAround(random, kind.mean_width, kWidthSpread)), 1,
      kind.most_width);
  const auto most = microseconds(kind.most_work);
  const auto work =
      Scaled(microseconds(kind.mean_work), DrawAround(random, 1, kWorkSpread));
  std::vector<DayTask> out(static_cast<size_t>(width));
  for (auto& it : out) {
    it.work = std::min(most, Scaled(work, DrawAround(random, 1, kUneven)));
  }
  return out;
}

auto DrawJob(Random& random, const DayShape& shape, size_t kind) -> DayJob {
  const auto& of_kind = shape.kinds[kind];
  DayJob job;
  job.kind = kind;
  job.tasks = DrawTasks(random, of_kind);
  job.needs = {
      .cpu_millis = static_cast<int64_t>(std::min(
          kMostCpuMillis, DrawAround(random, kMeanCpuMillis, kNeedsSpread))),
      .memory_mb = kMemoryMb};
  const auto longest = LongestWork(job);
  job.objective = Scaled(longest, kSlackFactor) + kTarget;
  const auto declared =
      Scaled(longest, DrawAround(random, 1, shape.declared_spread));
  job.declared = std::max(milliseconds{1},
                          std::chrono::duration_cast<milliseconds>(declared));
  job.worth =
      of_kind.worth *
      std::min(kMostWorth, kFlatWorth + (1 - kFlatWorth) * CoreWorkOf(job) /
                                            MeanCoreWork(of_kind));
  job.leaves_after = kPatience;
  if (DrawUnit(random) < shape.leaving_share) {
    job.owed = false;
    job.leaves_after = Scaled(job.objective, DrawUnit(random) / 2);
  }
  return job;
}

// Arrivals of one kind in one zone: at most `most` a second, thinned out.
auto DrawArrivals(Random& random,
                  const DayShape& shape,
                  size_t zone,
                  size_t kind,
                  std::vector<DayJob>& out) -> void {
  auto most = shape.zones[zone].jobs_per_second;
  for (const auto& it : shape.bursts) {
    most *= std::max(1.0, it.factor);
  }
  most *= 1 + kWaveSwing;
  microseconds at{0};
  while (true) {
    const auto gap = std::exponential_distribution<double>(most)(random);
    at += microseconds(static_cast<int64_t>(gap * 1e6) + 1);
    if (at >= shape.length) {
      return;
    }
    const auto rate = RateAt(shape, shape.zones[zone], shape.kinds[kind], at);
    if (DrawUnit(random) * most >= rate) {
      continue;
    }
    auto job = DrawJob(random, shape, kind);
    job.zone = zone;
    job.instance =
        static_cast<uint32_t>(DrawBelow(random, shape.zones[zone].instances));
    job.arrives = at;
    out.push_back(std::move(job));
  }
}

// One worker in three is bigger and faster, one is slower.
auto MakeWorkers(const DayShape& shape) -> std::vector<DayWorker> {
  constexpr double kSpeeds[] = {0.6, 1.0, 1.6};
  std::vector<DayWorker> out;
  for (size_t zone = 0; zone < shape.zones.size(); ++zone) {
    for (uint32_t i = 0; i < shape.workers_per_zone; ++i) {
      const auto n = out.size();
      DayWorker worker;
      worker.id = std::string("w").append(std::to_string(1000 + n));
      worker.zone = zone;
      worker.speed = kSpeeds[n % 3];
      worker.capacity = {.cpu_millis = n % 3 == 2 ? kBigWorker : kSmallWorker,
                         .memory_mb = 131'072};
      out.push_back(std::move(worker));
    }
  }
  return out;
}

auto DrawPeriods(Random& random, const DayShape& shape, size_t workers)
    -> std::vector<WorkerPeriod> {
  std::vector<WorkerPeriod> out;
  for (const auto& it : shape.spells) {
    std::vector<size_t> order(workers);
    for (size_t i = 0; i < workers; ++i) {
      order[i] = i;
    }
    std::shuffle(order.begin(), order.end(), random);
    const auto count = static_cast<size_t>(
        std::round(it.share * static_cast<double>(workers)));
    for (size_t i = 0; i < count; ++i) {
      out.push_back({.worker = order[i],
                     .trouble = it.trouble,
                     .factor = it.factor,
                     .from = it.from,
                     .until = it.from + it.time});
    }
  }
  return out;
}

}  // namespace

auto DrawDay(const DayShape& shape, uint64_t seed) -> Day {
  Random random(seed);
  Day day;
  day.shape = shape;
  for (size_t zone = 0; zone < shape.zones.size(); ++zone) {
    for (size_t kind = 0; kind < shape.kinds.size(); ++kind) {
      DrawArrivals(random, shape, zone, kind, day.jobs);
    }
  }
  std::stable_sort(
      day.jobs.begin(), day.jobs.end(),
      [](const DayJob& a, const DayJob& b) { return a.arrives < b.arrives; });
  uint64_t n = 0;
  for (auto& it : day.jobs) {
    it.name = JobName{++n};
  }
  day.workers = MakeWorkers(shape);
  day.periods = DrawPeriods(random, shape, day.workers.size());
  return day;
}

auto LongestWork(const DayJob& job) -> microseconds {
  microseconds longest{0};
  for (const auto& it : job.tasks) {
    longest = std::max(longest, it.work);
  }
  return longest;
}

auto CoreWorkOf(const DayJob& job) -> double {
  double sum = 0;
  for (const auto& it : job.tasks) {
    sum += std::chrono::duration<double, std::milli>(it.work).count() *
           static_cast<double>(job.needs.cpu_millis) / 1000;
  }
  return sum;
}

auto SlownessAt(const Day& day, size_t worker, microseconds at) -> double {
  auto factor = 1.0;
  for (const auto& it : day.periods) {
    const auto within = it.worker == worker && it.from <= at && at < it.until;
    if (within && it.trouble == WorkerTrouble::kSlow) {
      factor *= it.factor;
    }
  }
  return factor;
}

auto HasTrouble(const Day& day,
                size_t worker,
                WorkerTrouble trouble,
                microseconds at) -> bool {
  return std::any_of(day.periods.begin(), day.periods.end(),
                     [&](const WorkerPeriod& it) {
                       return it.worker == worker && it.trouble == trouble &&
                              it.from <= at && at < it.until;
                     });
}

}  // namespace boragecroft::bench
