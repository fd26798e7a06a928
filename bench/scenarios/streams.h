// The parts of a seeded load: streams of like jobs for one of the deployments,
// as shares of what the fleet can run.
#ifndef BENCH_SCENARIOS_STREAMS_H_
#define BENCH_SCENARIOS_STREAMS_H_

#include <string>
#include <vector>

#include "bench/load/load.h"
#include "bench/load/submissions.h"
#include "core/base/random.h"

namespace boragecroft::bench {

// Names of a deployment by what they mean for a load.
struct Deployment {
  std::string name;
  std::string zone;
  std::string service;
  std::string urgent_class;
  std::string middle_class;
  std::string bulk_class;
  std::string urgent_partner;
  std::string middle_partner;
  std::string bulk_partner;
  std::string flooding_urgent_partner;
  std::string flooding_bulk_partner;
};

auto Cartas() -> Deployment;
auto Logbook() -> Deployment;

struct Stream {
  std::string name;
  JobShape shape;
  double jobs_per_second = 0;
  microseconds from{};
  microseconds to{};
  bool wait = true;  // for the end of the job
};

// Where jobs go: weights of the instances, which may change during a run.
struct BalancerWeights {
  microseconds from{};
  std::vector<double> weights;
};

struct PlanContext {
  Random& random;
  IdSource& ids;
  std::vector<Address> servers;
  std::vector<BalancerWeights> balancer_weights;  // by rising time
  microseconds endpoint_overhead{};  // response time beyond the run time on an
                                     // idle fleet
};

// The share of the fleet that each part of the ordinary load takes.
struct LoadMix {
  double urgent = 0;
  double middle = 0;
  double bulk = 0;
};

inline constexpr milliseconds kUrgentRun{60};
inline constexpr milliseconds kBulkRun{100};

// Single urgent tasks, jobs of 5 middle ones and of 20 bulk ones.
auto OrdinaryLoad(const Deployment& deployment,
                  const LoadMix& mix,
                  uint32_t slots,
                  microseconds to) -> std::vector<Stream>;

// Adds the jobs of a stream, at random times, to a plan.
auto AddStream(PlanContext& context,
               const Stream& stream,
               std::vector<PlannedRequest>& plan) -> void;

}  // namespace boragecroft::bench

#endif  // BENCH_SCENARIOS_STREAMS_H_
