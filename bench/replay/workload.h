// A drawn day of load: who asks for what and when, what each task really takes,
// and which workers turn slow, silent or stuck. Every policy is played on the
// same days.
#ifndef BENCH_REPLAY_WORKLOAD_H_
#define BENCH_REPLAY_WORKLOAD_H_

#include <string>
#include <vector>

#include "core/base/clock.h"
#include "core/base/random.h"
#include "servers/scheduling/job.h"

namespace boragecroft::bench {

// A kind of job as the users' sheets describe it.
struct KindShape {
  std::string name;
  double share = 0;  // weight among the kinds
  double worth = 0;  // of a mean job that ends in time
  double mean_width = 0;
  uint32_t max_width = 0;
  milliseconds mean_work{};  // of a task on a worker of speed 1
  milliseconds max_work{};
};

struct ZoneShape {
  std::string name;
  uint32_t instances = 0;
  double jobs_per_second = 0;
  double phase = 0;  // of the wave, in turns
};

// Several times the traffic of a kind for a while; no kind: of all.
struct Burst {
  std::string kind;
  double factor = 1;
  microseconds from{};
  microseconds time{};
};

enum class WorkerFault : uint8_t {
  kSlow,          // tasks take several times as long
  kUnresponsive,  // orders get no answer and nothing runs
  kStuck,         // tasks that start do not end
};

struct FaultShape {
  WorkerFault fault = WorkerFault::kSlow;
  double share = 0;   // of the workers
  double factor = 1;  // of the run time, when slow
  microseconds from{};
  microseconds time{};
};

// What a day is drawn from.
struct WorkloadShape {
  std::string name;
  std::vector<KindShape> kinds;
  std::vector<ZoneShape> zones;
  uint32_t workers_per_zone = 0;
  microseconds length{};
  microseconds zone_hop{};  // one way within a zone
  microseconds cross_hop{};
  // Weights of the whole day, the worst kind, the worst zone and the worst
  // seconds in what the users judge by.
  double total_weight = 0, kind_weight = 0, zone_weight = 0, window_weight = 0;
  std::vector<Burst> bursts;
  std::vector<FaultShape> faults;
  double leaving_share = 0;  // of the callers, within half the objective
  // How far declared run times are off, as the deviation of the logarithm.
  double declared_spread = 0.4;
};

struct WorkloadTask {
  microseconds work{};  // on a worker of speed 1
};

struct WorkloadJob {
  JobName name;
  size_t kind = 0;
  size_t zone = 0;
  uint32_t instance = 0;  // of the zone
  microseconds arrives{};
  microseconds leaves_after{};  // the caller waits no longer
  bool counted = true;          // false: the caller leaves early
  std::vector<WorkloadTask> tasks;
  Resources needs;  // of each task
  milliseconds declared{};
  microseconds objective{};
  double worth = 0;
};

struct WorkloadWorker {
  std::string id;
  size_t zone = 0;
  double speed = 1;
  Resources capacity;
};

struct FaultPeriod {
  size_t worker = 0;
  WorkerFault fault = WorkerFault::kSlow;
  double factor = 1;
  microseconds from{};
  microseconds until{};
};

struct Workload {
  WorkloadShape shape;
  std::vector<WorkloadJob> jobs;  // by arrival
  std::vector<WorkloadWorker> workers;
  std::vector<FaultPeriod> fault_periods;
};

// The days that are known by name; empty kinds: unknown name.
auto ShapeOf(const std::string& name) -> WorkloadShape;
auto ShapeNames() -> std::vector<std::string>;

auto DrawWorkload(const WorkloadShape& shape, uint64_t seed) -> Workload;

// The longest task of a job.
auto LongestWork(const WorkloadJob& job) -> microseconds;
// Core-milliseconds of a job at speed 1.
auto CoreWorkOf(const WorkloadJob& job) -> double;
// What is lost when the worker runs `time` of work from `at`: 1 when sound.
auto SlownessAt(const Workload& workload, size_t worker, microseconds at)
    -> double;
auto HasFault(const Workload& workload,
              size_t worker,
              WorkerFault fault,
              microseconds at) -> bool;

}  // namespace boragecroft::bench

#endif  // BENCH_REPLAY_WORKLOAD_H_
