// Plans a seeded load: streams of similar jobs for one of the deployments,
// whose rates are given as shares of the load that the fleet can run.
#ifndef BENCH_SCENARIOS_STREAMS_H_
#define BENCH_SCENARIOS_STREAMS_H_

#include <string>
#include <vector>

#include "bench/load/load.h"
#include "bench/load/submissions.h"
#include "core/base/random.h"

namespace boragecroft::bench {

// The names that a deployment uses, by their role in a load.
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
  bool wait = true;  // the request waits for the end of the job
};

// The share of the jobs that the load balancer sends to each instance, from a
// given time of the run. Without weights all instances get equal shares.
struct BalancerWeights {
  microseconds from{};
  std::vector<double> weights;
};

struct PlanContext {
  Random& random;
  IdSource& ids;
  std::vector<Address> servers;
  std::vector<BalancerWeights> balancer_weights;  // sorted by time
  // Response time on an idle fleet minus the run time of the task.
  microseconds endpoint_overhead{};
};

// The share of the fleet's slots that each part of the ordinary load uses.
struct LoadMix {
  double urgent = 0;
  double middle = 0;
  double bulk = 0;
};

inline constexpr milliseconds kUrgentRun{60};
inline constexpr milliseconds kBulkRun{100};

// Returns the streams of the ordinary load: urgent jobs of one task, middle
// jobs of 5 tasks and bulk jobs of 20 tasks.
auto OrdinaryLoad(const Deployment& deployment,
                  const LoadMix& mix,
                  uint32_t slots,
                  microseconds to) -> std::vector<Stream>;

// Adds the jobs of a stream to a plan, with exponentially distributed gaps.
auto AddStream(PlanContext& context,
               const Stream& stream,
               std::vector<PlannedRequest>& plan) -> void;

}  // namespace boragecroft::bench

#endif  // BENCH_SCENARIOS_STREAMS_H_
