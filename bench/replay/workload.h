// Draws random workloads: which jobs arrive when, how long each task really
// takes, and which workers become slow, unresponsive or stuck. All policies are
// simulated on the same workloads.
#ifndef BENCH_REPLAY_WORKLOAD_H_
#define BENCH_REPLAY_WORKLOAD_H_

#include <array>
#include <string>
#include <vector>

#include "core/base/clock.h"
#include "core/base/random.h"
#include "servers/scheduling/job.h"

namespace boragecroft::bench {

// Kind of job as described in the users' load descriptions.
struct KindShape {
  std::string name;
  uint32_t priority = 0;  // of its route; 0 is the most important
  double share = 0;       // relative frequency among the kinds
  double worth = 0;       // worth of a mean job that ends in time
  double mean_width = 0;
  uint32_t max_width = 0;
  milliseconds mean_work{};  // mean work of a task on a worker of speed 1
  milliseconds max_work{};
  // Share of the jobs whose tasks take `tail_factor` times as long.
  double tail_share = 0;
  double tail_factor = 1;
};

// Workers of a deployment: of every three in a row, the third is bigger.
struct WorkerShape {
  std::array<double, 3> speeds = {0.6, 1.0, 1.6};  // of each three in a row
  int64_t small_cpu_millis = 32'000;
  int64_t big_cpu_millis = 48'000;
};

struct ZoneShape {
  std::string name;
  uint32_t instances = 0;
  double jobs_per_second = 0;
  double phase = 0;  // phase of the periodic load, in periods
};

// Traffic of a kind multiplied by a factor for some time. An empty kind applies
// to all kinds.
struct Burst {
  std::string kind;
  double factor = 1;
  microseconds from{};
  microseconds time{};
};

enum class WorkerFault : uint8_t {
  kSlow,          // tasks take several times as long
  kUnresponsive,  // orders get no answer and nothing runs
  kStuck,         // tasks that are started do not end
};

struct FaultShape {
  WorkerFault fault = WorkerFault::kSlow;
  double share = 0;   // share of the workers that it affects
  double factor = 1;  // factor of the run time, for kSlow
  microseconds from{};
  microseconds time{};
};

// Parameters from which a workload is drawn.
struct WorkloadShape {
  std::string name;
  std::vector<KindShape> kinds;
  std::vector<ZoneShape> zones;
  uint32_t workers_per_zone = 0;
  WorkerShape workers;
  double mean_cpu_millis = 14'000;  // needs of a task
  double max_cpu_millis = 20'000;
  double wave_amplitude = 0.15;  // of the periodic load, relative to its mean
  microseconds wave_period = seconds{11};
  microseconds length{};
  microseconds zone_hop{};  // one-way latency within a zone
  microseconds cross_hop{};
  // Weights of the total, the worst kind, the worst zone and the worst seconds
  // in the mark, as the users weigh them.
  double total_weight = 0, kind_weight = 0, zone_weight = 0, window_weight = 0;
  std::vector<Burst> bursts;
  std::vector<FaultShape> faults;
  // Callers wait for this many objectives, in which an answer is late but of
  // use, and 1.5 s more. 0: they state no wait, and leave after 1.5 s.
  int wait_in_objectives = 3;
  // Share of the callers that leave within half the objective.
  double leaving_share = 0;
  // Spread of the declared run times around the real ones, as the standard
  // deviation of the logarithm.
  double declared_spread = 0.4;
};

struct WorkloadTask {
  microseconds work{};  // on a worker of speed 1
};

struct WorkloadJob {
  JobName name;
  size_t kind = 0;
  size_t zone = 0;
  uint32_t instance = 0;  // index within the zone
  microseconds arrives{};
  microseconds stated_wait{};   // time that the caller says it waits
  microseconds leaves_after{};  // time that the caller waits
  bool counted = true;          // false when the caller leaves early
  std::vector<WorkloadTask> tasks;
  Resources needs;  // of each task
  milliseconds declared{};
  microseconds objective{};
  double worth = 0;
};

struct WorkloadWorker {
  std::string id;
  size_t zone = 0;
  std::string kind;
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

// Returns the workload shape with this name; without kinds when the name is
// unknown.
auto ShapeOf(const std::string& name) -> WorkloadShape;
auto ShapeNames() -> std::vector<std::string>;

auto DrawWorkload(const WorkloadShape& shape, uint64_t seed) -> Workload;

// Returns the work of the longest task of a job.
auto LongestWork(const WorkloadJob& job) -> microseconds;
// Returns the core-milliseconds of a job at speed 1.
auto CoreWorkOf(const WorkloadJob& job) -> double;
// Returns the factor by which the run time of work that the worker starts at
// `at` grows; 1 when the worker is healthy.
auto SlownessAt(const Workload& workload, size_t worker, microseconds at)
    -> double;
auto HasFault(const Workload& workload,
              size_t worker,
              WorkerFault fault,
              microseconds at) -> bool;

}  // namespace boragecroft::bench

#endif  // BENCH_REPLAY_WORKLOAD_H_
