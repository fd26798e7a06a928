// Computes and prints the figures of a run, one JSON line each, and reads the
// resource usage of processes.
#ifndef BENCH_LOAD_REPORT_H_
#define BENCH_LOAD_REPORT_H_

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "bench/load/load.h"

namespace boragecroft::bench {

// The fields that all lines of one program share.
struct Reporter {
  std::string bench;
  uint64_t seed = 0;
  std::string command;
};

// Prints a JSON line {"bench", "figure", "value", "unit", "seed", "command"}.
// Rounds the value to four decimals.
auto PrintFigure(const Reporter& reporter,
                 const std::string& figure,
                 double value,
                 const std::string& unit) -> void;
// Prints the load average of the machine, which shows how much other processes
// disturb the measurement.
auto PrintLoadAverage(const Reporter& reporter, const std::string& figure)
    -> void;
auto LoadAverage() -> double;

// Returns the value below which the share `quantile` of the values lies, or 0
// when there are no values.
auto Percentile(std::vector<double> values, double quantile) -> double;

// Returns the processor time that a process has used in user and system mode.
auto ProcessorTime(pid_t pid) -> microseconds;
auto ResidentBytes(pid_t pid) -> uint64_t;
// Returns how often the first thread of a process went to sleep, from its count
// of voluntary context switches.
auto CountWakeUps(pid_t pid) -> uint64_t;

// The outcomes of one stream of the load.
struct StreamReport {
  uint64_t requests = 0;
  uint64_t done = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  uint64_t other = 0;  // without an answer, or without a final one
  uint64_t done_tasks = 0;
  uint64_t deadline_hits = 0;  // done requests that met their deadline
  uint64_t deadline_hit_tasks = 0;
  // Response times of done requests, measured from the planned time.
  std::vector<double> response_ms;
  std::vector<double> ratios;  // response time divided by the ideal one
};

// Summarises the requests of one stream that were planned in [from, to).
auto Summarise(const std::vector<PlannedRequest>& plan,
               const std::vector<RequestOutcome>& outcomes,
               const std::string& stream,
               microseconds from,
               microseconds to) -> StreamReport;

// Prints to the standard error output how many requests have each combination
// of stream, status, state and reason. Omits done and active requests.
auto PrintFailureReasons(const std::vector<PlannedRequest>& plan,
                         const std::vector<RequestOutcome>& outcomes) -> void;

}  // namespace boragecroft::bench

#endif  // BENCH_LOAD_REPORT_H_
