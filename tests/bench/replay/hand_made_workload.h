// Builds workloads of a few jobs and workers for tests.
#ifndef TESTS_BENCH_REPLAY_HAND_MADE_WORKLOAD_H_
#define TESTS_BENCH_REPLAY_HAND_MADE_WORKLOAD_H_

#include "bench/replay/workload.h"

namespace boragecroft::bench {

// Returns a workload with one zone, one instance, one kind of job, and one
// worker of speed 1 that fits one task.
inline auto MakeHandMadeWorkload() -> Workload {
  Workload workload;
  workload.shape.kinds = {{.name = "letter", .share = 1, .worth = 1}};
  workload.shape.zones = {{.name = "a", .instances = 1, .jobs_per_second = 1}};
  workload.shape.length = seconds{5};
  workload.shape.zone_hop = microseconds{200};
  workload.shape.total_weight = 1;
  WorkloadWorker worker;
  worker.id = "w0";
  worker.capacity = {.cpu_millis = 10'000, .memory_mb = 1'000};
  workload.workers = {worker};
  return workload;
}

// Adds a job of `tasks` tasks, each of which needs the whole worker for `work`.
inline auto AddHandMadeJob(Workload& workload,
                           milliseconds arrives,
                           milliseconds work,
                           double worth,
                           size_t tasks = 1) -> WorkloadJob& {
  WorkloadJob job;
  job.name = JobName{workload.jobs.size() + 1};
  job.arrives = arrives;
  job.stated_wait = milliseconds{1500};
  job.leaves_after = job.stated_wait;
  job.tasks.resize(tasks, WorkloadTask{.work = work});
  job.needs = {.cpu_millis = 10'000, .memory_mb = 10};
  job.declared = work;
  job.objective = microseconds(work) * 8 / 5 + milliseconds{60};
  job.worth = worth;
  workload.jobs.push_back(job);
  return workload.jobs.back();
}

}  // namespace boragecroft::bench

#endif  // TESTS_BENCH_REPLAY_HAND_MADE_WORKLOAD_H_
