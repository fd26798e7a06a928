#include "servers/estimates/estimates.h"

#include <algorithm>
#include <cmath>

namespace boragecroft {

namespace {

constexpr auto kDefaultRunTime = milliseconds(500);
constexpr auto kShortestRunTimeUs = 100.0;
constexpr auto kBucketsPerOctave = 4.0;
constexpr auto kHighQuantile = 0.95;
// With few observations, the high quantile is assumed to be at least this
// multiple of the mean.
constexpr auto kFewObservationsSpread = 4.0;
// The counts of the histogram are halved when they reach this total; the means
// give a new value a weight of at least 1 / kMaxMeanObservations.
constexpr auto kHistogramHalvingTotal = 512.0F;
constexpr uint32_t kMaxMeanObservations = 64;
// An outlier changes a worker's speed by at most this factor, and no worker is
// considered faster or slower than the average by more than this factor.
constexpr auto kMaxSpeedRatio = 8.0;

auto BucketOf(double run_time_us) -> size_t {
  const auto octaves =
      std::log2(std::max(run_time_us, kShortestRunTimeUs) / kShortestRunTimeUs);
  return std::min(static_cast<size_t>(octaves * kBucketsPerOctave),
                  RunTimeHistogram::kBuckets - 1);
}

auto BucketUpperEdge(size_t bucket) -> double {
  return kShortestRunTimeUs *
         std::exp2(static_cast<double>(bucket + 1) / kBucketsPerOctave);
}

auto AddToHistogram(RunTimeHistogram& histogram, double run_time_us) -> void {
  histogram.counts[BucketOf(run_time_us)] += 1;
  histogram.total += 1;
  if (histogram.total < kHistogramHalvingTotal) {
    return;
  }
  for (auto& it : histogram.counts) {
    it /= 2;
  }
  histogram.total /= 2;
}

auto HighQuantile(const RunTimeHistogram& histogram) -> double {
  auto above = histogram.total * (1 - kHighQuantile);
  for (auto n = RunTimeHistogram::kBuckets; n-- > 0;) {
    above -= histogram.counts[n];
    if (above < 0) {
      return BucketUpperEdge(n);
    }
  }
  return BucketUpperEdge(0);
}

// Returns the weight of the newest of `observations` values in an exponentially
// weighted mean that starts as the arithmetic mean.
auto NewestWeight(uint32_t observations) -> double {
  return 1.0 / std::min(observations, kMaxMeanObservations);
}

auto Saturate(uint32_t observations) -> uint32_t {
  return std::min(observations, kMaxMeanObservations) + 1;
}

auto ToMicroseconds(double us) -> microseconds {
  return microseconds(static_cast<int64_t>(us));
}

}  // namespace

auto RecordRunTime(Estimates& estimates,
                   const WorkKind& kind,
                   WorkerId worker,
                   microseconds run_time) -> void {
  const auto us =
      std::max(static_cast<double>(run_time.count()), kShortestRunTimeUs);
  auto& history = estimates.kinds.Touch(kind);
  // The value is compared before it is added to the mean, so that a worker is
  // not compared with itself alone.
  if (history.observations >= kHintObservations) {
    auto& speed = estimates.workers.Touch(worker);
    const auto ratio =
        std::clamp(us / history.mean_us, 1 / kMaxSpeedRatio, kMaxSpeedRatio);
    speed.observations = Saturate(speed.observations);
    speed.log_slowness += NewestWeight(speed.observations) *
                          (std::log(ratio) - speed.log_slowness);
  }
  history.observations = Saturate(history.observations);
  history.mean_us +=
      NewestWeight(history.observations) * (us - history.mean_us);
  AddToHistogram(history.histogram, us);
}

auto EstimateRunTime(const Estimates& estimates,
                     const WorkKind& kind,
                     milliseconds hint) -> RunTimeEstimate {
  const auto prior = hint > milliseconds(0) ? hint : kDefaultRunTime;
  const auto prior_us = static_cast<double>(microseconds(prior).count());
  const auto* history = estimates.kinds.Find(kind);
  if (history == nullptr) {
    return {prior, ToMicroseconds(prior_us * kFewObservationsSpread), 0};
  }
  const auto n = std::min(history->observations, kHintObservations);
  const auto learned = static_cast<double>(n) / kHintObservations;
  // The hint and the mean are combined as logarithms, so that a hint that is
  // wrong by a factor of a thousand does not outweigh the first observations.
  const auto mean_us = std::exp(learned * std::log(history->mean_us) +
                                (1 - learned) * std::log(prior_us));
  auto high_us = HighQuantile(history->histogram);
  if (history->observations < kHedgeObservations) {
    high_us = std::max(high_us, mean_us * kFewObservationsSpread);
  }
  return {ToMicroseconds(mean_us), ToMicroseconds(high_us),
          history->observations};
}

auto WorkerSpeed(const Estimates& estimates, WorkerId worker) -> double {
  const auto* history = estimates.workers.Find(worker);
  // Few values of a worker depend more on the tasks than on the worker.
  if (history == nullptr || history->observations < kHintObservations) {
    return 1;
  }
  return std::exp(-history->log_slowness);
}

}  // namespace boragecroft
