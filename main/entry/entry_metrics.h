// Counters, gauges and histograms that an entry instance exports to operators.
#ifndef MAIN_ENTRY_ENTRY_METRICS_H_
#define MAIN_ENTRY_ENTRY_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

#include "core/base/clock.h"
#include "servers/scheduling/job.h"
#include "servers/scheduling/scheduler.h"

namespace boragecroft {

class EntryMetrics {
 public:
  EntryMetrics();

  // Records an answer to a caller and the time since its request arrived.
  auto CountAnswer(JobOutcome outcome, microseconds elapsed) -> void;
  // Increments the counter of the event `name`.
  auto CountEvent(const std::string& name) -> void;
  // Counts a request that could not be read, or a connection that was closed.
  auto CountRefusedRequest(const std::string& listener,
                           const std::string& reason) -> void;
  // Sets the gauge `name` to `value`.
  auto SetSize(const std::string& name, double value) -> void;
  // Returns all metrics in the Prometheus text format.
  auto Render() -> std::string;

 private:
  std::unique_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& answers_;
  prometheus::Family<prometheus::Counter>& events_;
  prometheus::Family<prometheus::Counter>& refused_;
  prometheus::Family<prometheus::Gauge>& sizes_;
  prometheus::Family<prometheus::Histogram>& answer_times_;
  std::map<JobOutcome, prometheus::Counter*> answer_counters_;
  std::map<JobOutcome, prometheus::Histogram*> answer_histograms_;
};

// Returns the name of an outcome as used in logs and metric labels.
auto OutcomeName(JobOutcome outcome) -> const char*;

}  // namespace boragecroft

#endif  // MAIN_ENTRY_ENTRY_METRICS_H_
