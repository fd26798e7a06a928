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
// Weight of a task in the mean square of the error, and of a job in the
// variance among tasks. It is less than kKindWeight: the tasks of one job share
// most of their error, so that a few jobs would decide.
constexpr double kErrorWeight = 0.005;
// Deviations that are expected until enough has been observed.
constexpr double kFirstDeviation = 0.4;
constexpr double kFirstDeviationAmongTasks = 0.15;
constexpr uint32_t kMinErrorObservations = 30;
constexpr uint32_t kMinJobsCompared = 10;
// Lower bound of a learned deviation. Messages alone cause as much.
constexpr double kMinDeviation = 0.03;
// Lower bound of run times before their logarithm is taken; a declared run time
// of 0 carries no information.
constexpr microseconds kMinRunTime{1000};

// Observations that are needed before the estimated slope is used.
constexpr uint32_t kMinSlopeObservations = 30;
// A declared run time further from the mean than this many standard deviations
// belongs to an exceptional job, not to an error of the declaration: the part
// beyond is expected in full.
constexpr double kTrustedDeviations = 2;
// Share of the mean bias of declared run times that each observation removes.
constexpr double kAnchorShare = 0.1;
constexpr uint32_t kMinBiasObservations = 30;
// Number of own observations that the estimate from a worker's kind counts for.
constexpr uint32_t kKindPriorObservations = 2;
// Observations of a kind of worker that are needed before it serves as an
// estimate for one of its workers.
constexpr uint32_t kMinWorkerKindObservations = 10;

auto Logarithm(microseconds time) -> double {
  return std::log(static_cast<double>(std::max(time, kMinRunTime).count()));
}

// Returns the part of a declared run time that lies beyond the usual deviations
// from the mean; 0 for most jobs.
auto ExceptionalPart(const KindRegression& line, double declared) -> double {
  if (line.observations < kMinSlopeObservations) {
    return 0;
  }
  const auto usual = kTrustedDeviations * std::sqrt(line.declared_variance);
  const auto off = declared - line.mean_declared;
  return std::max(0.0, off - usual);
}

auto AddObservation(KindRegression& line, double declared, double run) -> void {
  // A few exceptional jobs must not decide the slope for the others.
  const auto exceptional = ExceptionalPart(line, declared);
  declared -= exceptional;
  run -= exceptional;
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
  const auto exceptional = ExceptionalPart(line, declared);
  const auto usual = declared - exceptional - line.mean_declared;
  return line.mean_run + SlopeOf(line) * usual + exceptional;
}

// Records the error of the expected run time before the run itself is learned
// from. Exceptional jobs are left out: they have the deviation of a
// declaration.
auto RecordError(KindRegression& line, double declared, double run) -> void {
  if (line.observations == 0 || ExceptionalPart(line, declared) > 0) {
    return;
  }
  const auto error = run - PredictedLogarithm(line, declared);
  const auto share = std::max(kErrorWeight, 1.0 / line.observations);
  line.residual_square += share * (error * error - line.residual_square);
}

// Returns the history of the workers of this one's kind; null while it is too
// short.
auto FindWorkerKind(const RunTimes& times, const WorkerEntry& worker)
    -> const LogMean* {
  const auto it = times.worker_kinds.find(worker.kind);
  const auto enough = it != times.worker_kinds.end() &&
                      it->second.observations >= kMinWorkerKindObservations;
  return enough ? &it->second : nullptr;
}

auto HistoryOf(RunTimes& times, const WorkerEntry& worker) -> LogMean& {
  const auto [it, is_new] = times.workers.try_emplace(worker.id);
  const auto* kind = FindWorkerKind(times, worker);
  if (is_new && kind != nullptr) {
    it->second = {.value = kind->value, .observations = kKindPriorObservations};
  }
  return it->second;
}

auto AddObservation(LogMean& mean, double value, double weight) -> void {
  mean.observations = std::min(mean.observations + 1, kMaxObservations);
  const auto share = std::max(weight, 1.0 / mean.observations);
  mean.value += share * (value - mean.value);
}

}  // namespace

auto RecordRunTime(RunTimes& times,
                   const std::string& kind,
                   const WorkerEntry& worker,
                   microseconds declared,
                   microseconds run_time) -> void {
  const auto asked = Logarithm(declared);
  const auto ran = Logarithm(run_time);
  auto& of_kind = times.kinds[kind];
  auto& of_worker = HistoryOf(times, worker);
  RecordError(of_kind, asked, ran - of_worker.value);
  // The kind is updated first, so that a worker is compared with what its peers
  // show.
  AddObservation(of_kind, asked, ran - of_worker.value);
  AddObservation(times.declared_bias, of_kind.mean_run - of_kind.mean_declared,
                 kKindWeight);
  if (times.declared_bias.observations >= kMinBiasObservations) {
    of_kind.mean_run -= kAnchorShare * times.declared_bias.value;
  }
  const auto ratio = ran - PredictedLogarithm(of_kind, asked);
  AddObservation(of_worker, ratio, kWorkerWeight);
  AddObservation(times.worker_kinds[worker.kind], ratio, kKindWeight);
}

auto RecordTasksOfJob(RunTimes& times,
                      const std::string& kind,
                      const EndedTasks& ended) -> void {
  if (ended.count < 2) {
    return;
  }
  auto& line = times.kinds[kind];
  line.jobs_compared = std::min(line.jobs_compared + 1, kMaxObservations);
  const auto share = std::max(kErrorWeight, 1.0 / line.jobs_compared);
  const auto variance = ended.squares / (ended.count - 1);
  line.variance_among_tasks += share * (variance - line.variance_among_tasks);
}

auto RecordWorkerRunTime(RunTimes& times,
                         const WorkerEntry& worker,
                         microseconds work,
                         microseconds run_time) -> void {
  AddObservation(HistoryOf(times, worker),
                 Logarithm(run_time) - Logarithm(work), kWorkerWeight);
}

auto SetSpeedFromRun(RunTimes& times,
                     const WorkerEntry& worker,
                     microseconds work,
                     microseconds run_time) -> void {
  times.workers[worker.id] = {.value = Logarithm(run_time) - Logarithm(work),
                              .observations = 1};
}

auto RecordOverdue(RunTimes& times, const WorkerEntry& worker) -> void {
  AddObservation(HistoryOf(times, worker), kOverdueLogRatio, kOverdueWeight);
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

auto RunTimeErrorsOf(const RunTimes& times,
                     const std::string& kind,
                     microseconds declared) -> RunTimeErrors {
  RunTimeErrors out{.log_deviation = kFirstDeviation,
                    .among_tasks = kFirstDeviationAmongTasks};
  const auto it = times.kinds.find(kind);
  if (it == times.kinds.end()) {
    return out;
  }
  const auto& line = it->second;
  if (line.observations >= kMinErrorObservations &&
      ExceptionalPart(line, Logarithm(declared)) <= 0) {
    out.log_deviation =
        std::max(std::sqrt(line.residual_square), kMinDeviation);
  }
  if (line.jobs_compared >= kMinJobsCompared) {
    out.among_tasks =
        std::max(std::sqrt(line.variance_among_tasks), kMinDeviation);
  }
  return out;
}

auto SpeedOf(const RunTimes& times, const WorkerEntry& worker) -> double {
  const auto own = times.workers.find(worker.id);
  if (own != times.workers.end()) {
    return std::exp(-own->second.value);
  }
  return SpeedOfKind(times, worker);
}

auto SpeedOfKind(const RunTimes& times, const WorkerEntry& worker) -> double {
  const auto* kind = FindWorkerKind(times, worker);
  return kind == nullptr ? 1.0 : std::exp(-kind->value);
}

}  // namespace boragecroft
