// A day of a few jobs and workers, made by hand.
#ifndef TESTS_BENCH_REPLAY_HAND_MADE_DAY_H_
#define TESTS_BENCH_REPLAY_HAND_MADE_DAY_H_

#include "bench/replay/day.h"

namespace boragecroft::bench {

// One zone, one instance, one kind of job and a worker of speed 1 with room for
// one task.
inline auto MakeHandMadeDay() -> Day {
  Day day;
  day.shape.kinds = {{.name = "letter", .share = 1, .worth = 1}};
  day.shape.zones = {{.name = "a", .instances = 1, .jobs_per_second = 1}};
  day.shape.length = seconds{5};
  day.shape.zone_hop = microseconds{200};
  day.shape.day_weight = 1;
  DayWorker worker;
  worker.id = "w0";
  worker.capacity = {.cpu_millis = 10'000, .memory_mb = 1'000};
  day.workers = {worker};
  return day;
}

// A job of `tasks` tasks that need the whole worker for `work`.
inline auto AddHandMadeJob(Day& day,
                           milliseconds arrives,
                           milliseconds work,
                           double worth,
                           size_t tasks = 1) -> DayJob& {
  DayJob job;
  job.name = JobName{day.jobs.size() + 1};
  job.arrives = arrives;
  job.leaves_after = milliseconds{1500};
  job.tasks.resize(tasks, DayTask{.work = work});
  job.needs = {.cpu_millis = 10'000, .memory_mb = 10};
  job.declared = work;
  job.objective = microseconds(work) * 8 / 5 + milliseconds{60};
  job.worth = worth;
  day.jobs.push_back(job);
  return day.jobs.back();
}

}  // namespace boragecroft::bench

#endif  // TESTS_BENCH_REPLAY_HAND_MADE_DAY_H_
