#include "servers/scheduling/run_times.h"

#include <algorithm>
#include <cmath>

namespace boragecroft {
namespace {

// Weights of a new observation once enough have been made. The mean covers the
// last few dozen observations, so that a worker that becomes slow is detected
// within a second of its load.
constexpr double kKindWeight = 0.02;
constexpr double kWorkerWeight = 0.1;
// Logarithm that is recorded immediately for the worker of a run that is far
// overdue: the run takes at least three times its expected run time.
constexpr double kOverdueLogRatio = 1.1;
constexpr double kOverdueWeight = 0.5;
constexpr uint32_t kMaxObservations = 1000;
// Lower bound of run times before their logarithm is taken; a declared run time
// of 0 carries no information.
constexpr microseconds kMinRunTime{1000};

// Observations that are needed before the estimated slope is used.
constexpr uint32_t kMinSlopeObservations = 30;

auto Logarithm(microseconds time) -> double {
  return std::log(static_cast<double>(std::max(time, kMinRunTime).count()));
}

auto AddObservation(KindRegression& line, double declared, double run) -> void {
  line.observations = std::min(line.observations + 1, kMaxObservations);
  const auto share = std::max(kKindWeight, 1.0 / line.observations);
  const auto off = declared - line.mean_declared;
  line.mean_declared += share * off;
  line.declared_variance +=
      share * (off * (declared - line.mean_declared) - line.declared_variance);
  line.covariance +=
      share * (off * (run - line.mean_run) * (1 - share) - line.covariance);
  line.mean_run += share * (run - line.mean_run);
}

auto SlopeOf(const KindRegression& line) -> double {
  if (line.observations < kMinSlopeObservations ||
      line.declared_variance <= 0) {
    return 1;
  }
  return std::clamp(line.covariance / line.declared_variance, 0.0, 1.0);
}

auto PredictedLogarithm(const KindRegression& line, double declared) -> double {
  return line.mean_run + SlopeOf(line) * (declared - line.mean_declared);
}

auto AddObservation(LogMean& mean, double value, double weight) -> void {
  mean.observations = std::min(mean.observations + 1, kMaxObservations);
  const auto share = std::max(weight, 1.0 / mean.observations);
  mean.value += share * (value - mean.value);
}

}  // namespace

auto RecordRunTime(RunTimes& times,
                   const std::string& kind,
                   const std::string& worker,
                   microseconds declared,
                   microseconds run_time) -> void {
  const auto asked = Logarithm(declared);
  const auto ran = Logarithm(run_time);
  auto& of_kind = times.kinds[kind];
  auto& of_worker = times.workers[worker];
  // The kind is updated first, so that a worker is compared with what its peers
  // show.
  AddObservation(of_kind, asked, ran - of_worker.value);
  AddObservation(of_worker, ran - PredictedLogarithm(of_kind, asked),
                 kWorkerWeight);
}

auto RecordOverdue(RunTimes& times, const std::string& worker) -> void {
  AddObservation(times.workers[worker], kOverdueLogRatio, kOverdueWeight);
}

auto RemoveWorker(RunTimes& times, const std::string& worker) -> void {
  times.workers.erase(worker);
}

auto ExpectedRunTime(const RunTimes& times,
                     const std::string& kind,
                     microseconds declared) -> microseconds {
  const auto it = times.kinds.find(kind);
  if (it == times.kinds.end()) {
    return std::max(declared, kMinRunTime);
  }
  return microseconds(static_cast<int64_t>(
      std::exp(PredictedLogarithm(it->second, Logarithm(declared)))));
}

auto SpeedOf(const RunTimes& times, const std::string& worker) -> double {
  const auto it = times.workers.find(worker);
  return it == times.workers.end() ? 1.0 : std::exp(-it->second.value);
}

}  // namespace boragecroft
