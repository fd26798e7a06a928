#include "main/entry/entry_metrics.h"

#include <prometheus/text_serializer.h>

namespace boragecroft {
namespace {

// Returns the upper bounds of the histogram buckets in seconds. The latency
// objectives of the present kinds of job are 0.16 s to 1.5 s, and callers of
// long jobs wait for tens of seconds.
auto AnswerBuckets() -> prometheus::Histogram::BucketBoundaries {
  return {0.005, 0.02, 0.05, 0.1, 0.16, 0.25, 0.4, 0.8, 1.5, 3, 6, 15, 40};
}

}  // namespace

EntryMetrics::EntryMetrics()
    : registry_(std::make_unique<prometheus::Registry>()),
      answers_(prometheus::BuildCounter()
                   .Name("boragecroft_jobs_answered_total")
                   .Help("Jobs answered to callers, by outcome")
                   .Register(*registry_)),
      events_(prometheus::BuildCounter()
                  .Name("boragecroft_events_total")
                  .Help("Events that change what this instance believes")
                  .Register(*registry_)),
      refused_(prometheus::BuildCounter()
                   .Name("boragecroft_requests_refused_total")
                   .Help("Requests that could not be read, and connections "
                         "closed for others, by listener and reason")
                   .Register(*registry_)),
      sizes_(prometheus::BuildGauge()
                 .Name("boragecroft_size")
                 .Help("State that this instance holds, by what is counted")
                 .Register(*registry_)),
      answer_times_(prometheus::BuildHistogram()
                        .Name("boragecroft_answer_seconds")
                        .Help("Time from a request to its answer, by outcome")
                        .Register(*registry_)) {
  for (const auto it :
       {JobOutcome::kDone, JobOutcome::kFailed, JobOutcome::kRefused,
        JobOutcome::kStopped, JobOutcome::kCancelled}) {
    answer_counters_[it] = &answers_.Add({{"outcome", OutcomeName(it)}});
    answer_histograms_[it] =
        &answer_times_.Add({{"outcome", OutcomeName(it)}}, AnswerBuckets());
  }
}

auto EntryMetrics::CountAnswer(JobOutcome outcome, microseconds elapsed)
    -> void {
  answer_counters_.at(outcome)->Increment();
  answer_histograms_.at(outcome)->Observe(
      std::chrono::duration<double>(elapsed).count());
}

auto EntryMetrics::CountEvent(const std::string& name) -> void {
  events_.Add({{"event", name}}).Increment();
}

auto EntryMetrics::CountRefusedRequest(const std::string& listener,
                                       const std::string& reason) -> void {
  refused_.Add({{"listener", listener}, {"reason", reason}}).Increment();
}

auto EntryMetrics::SetSize(const std::string& name, double value) -> void {
  sizes_.Add({{"of", name}}).Set(value);
}

auto EntryMetrics::Render() -> std::string {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

auto OutcomeName(JobOutcome outcome) -> const char* {
  switch (outcome) {
    case JobOutcome::kDone:
      return "done";
    case JobOutcome::kFailed:
      return "failed";
    case JobOutcome::kRefused:
      return "refused";
    case JobOutcome::kStopped:
      return "stopped";
    case JobOutcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace boragecroft
