#include "servers/scheduling/forecast.h"

#include <algorithm>
#include <cmath>

namespace boragecroft {
namespace {

// A run of more than this multiple of the expected run time, and this slack, is
// overdue: its worker is slow or its report was late.
constexpr int kOverdueRatio = 2;
constexpr milliseconds kOverdueSlack{60};

auto Until(Instant from, Instant to) -> microseconds {
  return std::chrono::duration_cast<microseconds>(to - from);
}

auto WorkUntil(const RunProgress& run, Instant latest) -> double {
  return static_cast<double>(Until(run.started_at, latest).count()) * run.speed;
}

auto Update(JobForecast& forecast, uint32_t started) -> void {
  forecast.task = TaskRunTime(forecast.log_median, forecast.errors,
                              forecast.ended, started);
  forecast.median =
      microseconds(static_cast<int64_t>(std::exp(forecast.task.log_median)));
  forecast.shortest = RunTimeOfChance(forecast.task, 1, kMinChanceToContinue);
}

// Returns the distribution of the longest of `tasks` further tasks.
auto LongestOf(const JobForecast& forecast, uint32_t tasks)
    -> RunTimeDistribution {
  const auto among = SlowestOf(
      {.log_median = 0, .log_deviation = forecast.errors.among_tasks}, tasks);
  const auto common = std::max(
      0.0, forecast.task.log_deviation * forecast.task.log_deviation -
               forecast.errors.among_tasks * forecast.errors.among_tasks);
  return {.log_median = forecast.task.log_median + among.log_median,
          .log_deviation =
              std::sqrt(common + among.log_deviation * among.log_deviation)};
}

}  // namespace

auto MakeForecast(const RunTimes& times,
                  const std::string& kind,
                  microseconds declared,
                  double fastest) -> JobForecast {
  JobForecast out;
  const auto expected = ExpectedRunTime(times, kind, declared);
  out.log_median = std::log(static_cast<double>(expected.count()));
  out.errors = RunTimeErrorsOf(times, kind, declared);
  out.fastest = fastest;
  Update(out, 0);
  return out;
}

auto AddEndedTask(JobForecast& forecast,
                  microseconds run_time,
                  uint32_t started) -> void {
  if (forecast.ended.count > 0 &&
      run_time > forecast.median * kOverdueRatio + kOverdueSlack) {
    return;
  }
  AddEndedTask(forecast.ended, run_time);
  Update(forecast, started);
}

auto ChanceToStart(const JobForecast& forecast,
                   uint32_t tasks,
                   Instant now,
                   Instant latest) -> double {
  return forecast.fastest <= 0
             ? 1
             : ChanceOfEnd(LongestOf(forecast, tasks), forecast.fastest,
                           microseconds{0}, Until(now, latest));
}

auto LatestStart(const JobForecast& forecast,
                 uint32_t tasks,
                 double chance,
                 Instant latest) -> Instant {
  return forecast.fastest <= 0
             ? latest
             : latest - RunTimeOfChance(LongestOf(forecast, tasks),
                                        forecast.fastest, chance);
}

auto IsTighter(const RunProgress& a, const RunProgress& b, Instant latest)
    -> bool {
  return WorkUntil(a, latest) < WorkUntil(b, latest);
}

auto ChanceToContinue(const JobForecast& forecast,
                      const std::optional<RunProgress>& tightest,
                      uint32_t waiting,
                      Instant now,
                      Instant latest) -> double {
  const auto again =
      ChanceToStart(forecast, std::max(waiting, 1U), now, latest);
  if (waiting > 0 || !tightest) {
    return again;
  }
  const auto run = ChanceOfEnd(forecast.task, tightest->speed,
                               Until(tightest->started_at, now),
                               Until(tightest->started_at, latest));
  return std::max(run, again);
}

auto LatestContinue(const JobForecast& forecast,
                    const std::optional<RunProgress>& tightest,
                    uint32_t waiting,
                    Instant latest) -> Instant {
  const auto again = LatestStart(forecast, std::max(waiting, 1U),
                                 kMinChanceToContinue, latest);
  if (waiting > 0 || !tightest) {
    return again;
  }
  const auto elapsed = ElapsedOfChance(forecast.task, tightest->speed,
                                       Until(tightest->started_at, latest),
                                       kMinChanceToContinue);
  return std::max(again, tightest->started_at + elapsed);
}

}  // namespace boragecroft
