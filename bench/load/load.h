// An open-loop load generator: one thread with thousands of open requests on
// persistent connections. Each request is sent at its planned time, so that a
// slow server does not reduce the load.
#ifndef BENCH_LOAD_LOAD_H_
#define BENCH_LOAD_LOAD_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/base/address.h"
#include "core/base/clock.h"

namespace boragecroft::bench {

struct PlannedRequest {
  microseconds at{};  // since the start of the run
  Address server;
  std::string target;
  std::string body;
  std::string stream;  // name of the part of the load, for reports
  std::string urgency_class;
  uint32_t tasks = 1;
  microseconds ideal_response{};  // response time on an idle fleet
  milliseconds deadline{};        // 0: none
};

// The outcome of the request at the same index of the plan.
struct RequestOutcome {
  microseconds sent{};   // since the start of the run
  microseconds ended{};  // since the start of the run
  int status = 0;        // HTTP status; 0: no answer
  std::string state;   // state in the answer: done, failed, refused, active ...
  std::string detail;  // reason in the answer, or why there is no answer
};

struct LoadOptions {
  // Connections to each server. Further requests wait for a free connection.
  size_t max_connections = 1500;
  size_t max_open = SIZE_MAX;  // requests open at the same time
  milliseconds answer_timeout{70000};
};

// An action at a given time of the run. All actions share one thread, separate
// from that of the load.
struct TimedAction {
  microseconds at{};
  std::function<void()> act;
};

// Sends the requests, which must be sorted by time, and waits until each has an
// answer or has timed out.
auto RunLoad(const std::vector<PlannedRequest>& plan,
             const LoadOptions& options,
             const std::vector<TimedAction>& actions = {})
    -> std::vector<RequestOutcome>;

// Sorts a plan by time and keeps the order of requests with equal times.
auto SortPlan(std::vector<PlannedRequest>& plan) -> void;

}  // namespace boragecroft::bench

#endif  // BENCH_LOAD_LOAD_H_
