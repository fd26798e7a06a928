#include "bench/replay/workload.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace boragecroft::bench {
namespace {

// Spreads of the users' load descriptions, as the standard deviation of the
// logarithm.
constexpr double kWidthSpread = 0.4;
constexpr double kWorkSpread = 0.4;
constexpr double kTaskSpread = 0.15;  // of the tasks of one job
constexpr double kNeedsSpread = 0.2;
constexpr int64_t kMemoryMb = 64;
// The objective is kSlackFactor times the run time of the longest task plus
// kTarget.
constexpr double kSlackFactor = 1.6;
constexpr milliseconds kTarget{60};
constexpr milliseconds kWaitBeyondObjectives{1500};
// A job's worth is kFlatWorth of its kind's worth plus a part in proportion to
// its work, and at most kMaxWorthFactor times the kind's worth.
constexpr double kFlatWorth = 0.3;
constexpr double kMaxWorthFactor = 4;

auto SecondsOf(microseconds time) -> double {
  return std::chrono::duration<double>(time).count();
}

auto DrawUnit(Random& random) -> double {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

// Draws a number with the mean `mean` whose logarithm has this standard
// deviation.
auto DrawAround(Random& random, double mean, double spread) -> double {
  const auto drawn = std::normal_distribution<double>(0, spread)(random);
  return mean * std::exp(drawn - spread * spread / 2);
}

auto Scaled(microseconds time, double factor) -> microseconds {
  return microseconds(
      static_cast<int64_t>(static_cast<double>(time.count()) * factor));
}

// Returns the arrival rate of a kind in a zone at a time, in jobs per second.
auto RateAt(const WorkloadShape& shape,
            const ZoneShape& zone,
            const KindShape& kind,
            microseconds at) -> double {
  double shares = 0;
  for (const auto& it : shape.kinds) {
    shares += it.share;
  }
  const auto turns = SecondsOf(at) / SecondsOf(shape.wave_period) + zone.phase;
  auto rate =
      zone.jobs_per_second * kind.share / shares *
      (1 + shape.wave_amplitude * std::sin(2 * std::numbers::pi * turns));
  for (const auto& it : shape.bursts) {
    const auto within = at >= it.from && at < it.from + it.time;
    if (within && (it.kind.empty() || it.kind == kind.name)) {
      rate *= it.factor;
    }
  }
  return rate;
}

auto MeanCoreWork(const WorkloadShape& shape, const KindShape& kind) -> double {
  return kind.mean_width * static_cast<double>(kind.mean_work.count()) *
         shape.mean_cpu_millis / 1000;
}

auto DrawTasks(Random& random, const KindShape& kind)
    -> std::vector<WorkloadTask> {
  const auto width = std::clamp<double>(
      std::round(DrawAround(random, kind.mean_width, kWidthSpread)), 1,
      kind.max_width);
  const auto most = microseconds(kind.max_work);
  auto work =
      Scaled(microseconds(kind.mean_work), DrawAround(random, 1, kWorkSpread));
  if (kind.tail_share > 0 && DrawUnit(random) < kind.tail_share) {
    work = Scaled(work, kind.tail_factor);
  }
  std::vector<WorkloadTask> out(static_cast<size_t>(width));
  for (auto& it : out) {
    it.work = std::min(most, Scaled(work, DrawAround(random, 1, kTaskSpread)));
  }
  return out;
}

auto DrawJob(Random& random, const WorkloadShape& shape, size_t kind)
    -> WorkloadJob {
  const auto& of_kind = shape.kinds[kind];
  WorkloadJob job;
  job.kind = kind;
  job.tasks = DrawTasks(random, of_kind);
  job.needs = {.cpu_millis = static_cast<int64_t>(std::min(
                   shape.max_cpu_millis,
                   DrawAround(random, shape.mean_cpu_millis, kNeedsSpread))),
               .memory_mb = kMemoryMb};
  const auto longest = LongestWork(job);
  job.objective = Scaled(longest, kSlackFactor) + kTarget;
  const auto declared =
      Scaled(longest, DrawAround(random, 1, shape.declared_spread));
  job.declared = std::max(milliseconds{1},
                          std::chrono::duration_cast<milliseconds>(declared));
  job.worth =
      of_kind.worth * std::min(kMaxWorthFactor,
                               kFlatWorth + (1 - kFlatWorth) * CoreWorkOf(job) /
                                                MeanCoreWork(shape, of_kind));
  job.stated_wait =
      job.objective * shape.wait_in_objectives + kWaitBeyondObjectives;
  job.leaves_after = job.stated_wait;
  if (DrawUnit(random) < shape.leaving_share) {
    job.counted = false;
    job.leaves_after = Scaled(job.objective, DrawUnit(random) / 2);
  }
  return job;
}

// Draws the arrivals of one kind in one zone by thinning a Poisson process of
// `most` arrivals per second.
auto DrawArrivals(Random& random,
                  const WorkloadShape& shape,
                  size_t zone,
                  size_t kind,
                  std::vector<WorkloadJob>& out) -> void {
  auto most = shape.zones[zone].jobs_per_second;
  for (const auto& it : shape.bursts) {
    most *= std::max(1.0, it.factor);
  }
  most *= 1 + shape.wave_amplitude;
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

auto MakeWorkers(const WorkloadShape& shape) -> std::vector<WorkloadWorker> {
  std::vector<WorkloadWorker> out;
  for (size_t zone = 0; zone < shape.zones.size(); ++zone) {
    for (uint32_t i = 0; i < shape.workers_per_zone; ++i) {
      const auto n = out.size();
      WorkloadWorker worker;
      worker.id = std::string("w").append(std::to_string(1000 + n));
      worker.zone = zone;
      const auto big = n % 3 == 2;
      worker.kind = big ? "big" : "small";
      worker.speed = shape.workers.speeds.at(n % 3);
      worker.capacity = {.cpu_millis = big ? shape.workers.big_cpu_millis
                                           : shape.workers.small_cpu_millis,
                         .memory_mb = 131'072};
      out.push_back(std::move(worker));
    }
  }
  return out;
}

auto DrawFaultPeriods(Random& random,
                      const WorkloadShape& shape,
                      size_t workers) -> std::vector<FaultPeriod> {
  std::vector<FaultPeriod> out;
  for (const auto& it : shape.faults) {
    std::vector<size_t> order(workers);
    for (size_t i = 0; i < workers; ++i) {
      order[i] = i;
    }
    std::shuffle(order.begin(), order.end(), random);
    const auto count = static_cast<size_t>(
        std::round(it.share * static_cast<double>(workers)));
    for (size_t i = 0; i < count; ++i) {
      out.push_back({.worker = order[i],
                     .fault = it.fault,
                     .factor = it.factor,
                     .from = it.from,
                     .until = it.from + it.time});
    }
  }
  return out;
}

}  // namespace

auto DrawWorkload(const WorkloadShape& shape, uint64_t seed) -> Workload {
  Random random(seed);
  Workload workload;
  workload.shape = shape;
  for (size_t zone = 0; zone < shape.zones.size(); ++zone) {
    for (size_t kind = 0; kind < shape.kinds.size(); ++kind) {
      DrawArrivals(random, shape, zone, kind, workload.jobs);
    }
  }
  std::stable_sort(workload.jobs.begin(), workload.jobs.end(),
                   [](const WorkloadJob& a, const WorkloadJob& b) {
                     return a.arrives < b.arrives;
                   });
  uint64_t n = 0;
  for (auto& it : workload.jobs) {
    it.name = JobName{++n};
  }
  workload.workers = MakeWorkers(shape);
  workload.fault_periods =
      DrawFaultPeriods(random, shape, workload.workers.size());
  return workload;
}

auto LongestWork(const WorkloadJob& job) -> microseconds {
  microseconds longest{0};
  for (const auto& it : job.tasks) {
    longest = std::max(longest, it.work);
  }
  return longest;
}

auto CoreWorkOf(const WorkloadJob& job) -> double {
  double sum = 0;
  for (const auto& it : job.tasks) {
    sum += std::chrono::duration<double, std::milli>(it.work).count() *
           static_cast<double>(job.needs.cpu_millis) / 1000;
  }
  return sum;
}

auto SlownessAt(const Workload& workload, size_t worker, microseconds at)
    -> double {
  auto factor = 1.0;
  for (const auto& it : workload.fault_periods) {
    const auto within = it.worker == worker && it.from <= at && at < it.until;
    if (within && it.fault == WorkerFault::kSlow) {
      factor *= it.factor;
    }
  }
  return factor;
}

auto HasFault(const Workload& workload,
              size_t worker,
              WorkerFault fault,
              microseconds at) -> bool {
  return std::any_of(workload.fault_periods.begin(),
                     workload.fault_periods.end(), [&](const FaultPeriod& it) {
                       return it.worker == worker && it.fault == fault &&
                              it.from <= at && at < it.until;
                     });
}

}  // namespace boragecroft::bench
