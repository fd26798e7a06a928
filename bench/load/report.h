// Figures of a run: percentiles, one JSON line for each, and what processes
// used.
#ifndef BENCH_LOAD_REPORT_H_
#define BENCH_LOAD_REPORT_H_

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "bench/load/load.h"

namespace boragecroft::bench {

// What every line of one program carries.
struct Reporter {
  std::string bench;
  uint64_t seed = 0;
  std::string command;
};

// Prints {"bench", "figure", "value", "unit", "seed", "command"}.
auto PrintFigure(const Reporter& reporter,
                 const std::string& figure,
                 double value,
                 const std::string& unit) -> void;
// Prints the load average of the machine, which tells how much others disturb.
auto PrintLoadAverage(const Reporter& reporter, const std::string& figure)
    -> void;
auto LoadAverage() -> double;

// The value below which the share `quantile` lies; 0 of nothing.
auto Percentile(std::vector<double> values, double quantile) -> double;

// Processor time of a process so far, in user and system mode.
auto ProcessorTime(pid_t pid) -> microseconds;
auto ResidentBytes(pid_t pid) -> uint64_t;
// How often the process's first thread went to sleep and was woken.
auto CountWakeUps(pid_t pid) -> uint64_t;

// What became of one part of the load.
struct StreamReport {
  uint64_t requests = 0;
  uint64_t done = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  uint64_t other = 0;  // no answer, or none that is final
  uint64_t done_tasks = 0;
  uint64_t deadline_hits = 0;  // done requests that met their deadline
  uint64_t deadline_hit_tasks = 0;
  std::vector<double> response_ms;  // of done requests, from the planned time
  std::vector<double> ratios;       // response time to the ideal one
};

// Adds up the requests of one stream planned in [from, to).
auto Summarise(const std::vector<PlannedRequest>& plan,
               const std::vector<RequestOutcome>& outcomes,
               const std::string& stream,
               microseconds from,
               microseconds to) -> StreamReport;

// Writes how often each reason was given for a request that is not done, on the
// error output.
auto PrintFailureReasons(const std::vector<PlannedRequest>& plan,
                         const std::vector<RequestOutcome>& outcomes) -> void;

}  // namespace boragecroft::bench

#endif  // BENCH_LOAD_REPORT_H_
