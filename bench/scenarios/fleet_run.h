// Starts a fleet of real daemons under one dispatch policy, runs a load on it
// and prints the measured figures.
#ifndef BENCH_SCENARIOS_FLEET_RUN_H_
#define BENCH_SCENARIOS_FLEET_RUN_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bench/load/report.h"
#include "bench/scenarios/streams.h"
#include "tests/lab/cluster.h"

namespace boragecroft::bench {

inline constexpr int kInstances = 3;
inline constexpr int kWorkers = 8;
inline constexpr int kSlotsPerWorker = 8;
inline constexpr uint32_t kFleetSlots = kWorkers * kSlotsPerWorker;
inline constexpr seconds kWarmUp{3};
inline constexpr seconds kRunLength{11};  // includes the warm-up

// Sums of what all daemons and endpoints have counted.
struct FleetCounts {
  double useful = 0;  // attempts that ran
  // Messages that ran no task: attempts refused as busy or draining, attempts
  // that were not sent, queries, retries and hedges.
  double wasted = 0;
  double busy_answers = 0;    // the part of `wasted` that was refused as busy
  double queries = 0;         // the part of `wasted` that is queries
  double extra_attempts = 0;  // retries and hedges
  double ejections = 0;
  double ledger_segments = 0;
  double ledger_writing_us = 0;
  double urgent_records = 0;
  double urgent_records_waiting_us = 0;
  double starts = 0;
  std::vector<double> worker_starts;
};

struct FleetRun {
  Deployment deployment;
  std::string policy;
  std::unique_ptr<lab::Cluster> cluster;
  Random random;
  IdSource ids;
  microseconds endpoint_overhead{};
};

// Starts a fleet whose declarations name the policy. The random numbers depend
// only on the seed, so that each policy receives the same load.
auto StartFleet(const Deployment& deployment,
                const std::string& policy,
                uint64_t seed,
                int instances = kInstances) -> std::unique_ptr<FleetRun>;

struct LoadResult {
  std::vector<PlannedRequest> plan;
  std::vector<RequestOutcome> outcomes;
  FleetCounts before;
  FleetCounts after;
  double load_average = 0;
};

auto CountFleet(FleetRun& run) -> FleetCounts;

// Runs the streams and returns the outcomes. Adds `extra_requests` to the plan
// unchanged.
auto RunStreams(FleetRun& run,
                const std::vector<Stream>& streams,
                const std::vector<BalancerWeights>& balancer_weights = {},
                const std::vector<TimedAction>& actions = {},
                const std::vector<PlannedRequest>& extra_requests = {})
    -> LoadResult;

// Prints the response time ratios, refusals, failures, deadline hits and
// completed requests of a stream that were planned in [from, to).
auto PrintStream(const Reporter& reporter,
                 const std::string& prefix,
                 const LoadResult& result,
                 const std::string& stream,
                 microseconds from = kWarmUp,
                 microseconds to = kRunLength) -> StreamReport;
// Prints how many segments the ledgers wrote, their mean write time, and the
// mean time for which urgent records waited. An answer or a start of the most
// urgent class waits for an urgent record.
auto PrintLedger(const Reporter& reporter,
                 const std::string& prefix,
                 const LoadResult& result) -> void;
// Prints the number of wasted messages per useful attempt and the load average.
auto PrintWaste(const Reporter& reporter,
                const std::string& prefix,
                const LoadResult& result) -> void;

}  // namespace boragecroft::bench

#endif  // BENCH_SCENARIOS_FLEET_RUN_H_
