// A drawn day of load: who asks for what and when, what each task really takes,
// and which workers turn slow, silent or stuck. Every policy is played on the
// same days.
#ifndef BENCH_REPLAY_DAY_H_
#define BENCH_REPLAY_DAY_H_

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
  uint32_t most_width = 0;
  milliseconds mean_work{};  // of a task on a worker of speed 1
  milliseconds most_work{};
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

enum class WorkerTrouble : uint8_t {
  kSlow,    // tasks take several times as long
  kSilent,  // orders get no answer and nothing runs
  kStuck,   // tasks that start do not end
};

struct WorkerSpell {
  WorkerTrouble trouble = WorkerTrouble::kSlow;
  double share = 0;   // of the workers
  double factor = 1;  // of the run time, when slow
  microseconds from{};
  microseconds time{};
};

// What a day is drawn from.
struct DayShape {
  std::string name;
  std::vector<KindShape> kinds;
  std::vector<ZoneShape> zones;
  uint32_t workers_per_zone = 0;
  microseconds length{};
  microseconds zone_hop{};  // one way within a zone
  microseconds cross_hop{};
  // Weights of the whole day, the worst kind, the worst zone and the worst
  // seconds in what the users judge by.
  double day_weight = 0, kind_weight = 0, zone_weight = 0, window_weight = 0;
  std::vector<Burst> bursts;
  std::vector<WorkerSpell> spells;
  double leaving_share = 0;  // of the callers, within half the objective
  // How far declared run times are off, as the deviation of the logarithm.
  double declared_spread = 0.4;
};

struct DayTask {
  microseconds work{};  // on a worker of speed 1
};

struct DayJob {
  JobName name;
  size_t kind = 0;
  size_t zone = 0;
  uint32_t instance = 0;  // of the zone
  microseconds arrives{};
  microseconds leaves_after{};  // the caller waits no longer
  bool owed = true;             // false: the caller leaves early
  std::vector<DayTask> tasks;
  Room needs;  // of each task
  milliseconds declared{};
  microseconds objective{};
  double worth = 0;
};

struct DayWorker {
  std::string id;
  size_t zone = 0;
  double speed = 1;
  Room capacity;
};

struct WorkerPeriod {
  size_t worker = 0;
  WorkerTrouble trouble = WorkerTrouble::kSlow;
  double factor = 1;
  microseconds from{};
  microseconds until{};
};

struct Day {
  DayShape shape;
  std::vector<DayJob> jobs;  // by arrival
  std::vector<DayWorker> workers;
  std::vector<WorkerPeriod> periods;
};

// The days that are known by name; empty kinds: unknown name.
auto ShapeOf(const std::string& name) -> DayShape;
auto ShapeNames() -> std::vector<std::string>;

auto DrawDay(const DayShape& shape, uint64_t seed) -> Day;

// The longest task of a job.
auto LongestWork(const DayJob& job) -> microseconds;
// Core-milliseconds of a job at speed 1.
auto CoreWorkOf(const DayJob& job) -> double;
// What is lost when the worker runs `time` of work from `at`: 1 when sound.
auto SlownessAt(const Day& day, size_t worker, microseconds at) -> double;
auto HasTrouble(const Day& day,
                size_t worker,
                WorkerTrouble trouble,
                microseconds at) -> bool;

}  // namespace boragecroft::bench

#endif  // BENCH_REPLAY_DAY_H_
