// An open-loop load generator: one thread, thousands of open requests on
// kept-alive connections. Each request has its time of sending, so that a slow
// server never slows the load down.
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
  microseconds at{};  // from the start of the run
  Address server;
  std::string target;
  std::string body;
  std::string stream;  // names the part of the load, for reports
  std::string urgency_class;
  uint32_t tasks = 1;
  microseconds ideal_response{};  // response time on an idle fleet
  milliseconds deadline{};        // 0: none
};

// What became of the request at the same place in the plan.
struct RequestOutcome {
  microseconds sent{};  // from the start of the run
  microseconds ended{};
  int status = 0;      // 0: no answer
  std::string state;   // as the answer says: done, failed, refused, active ...
  std::string detail;  // the error's text, or why there is no answer
};

struct LoadOptions {
  size_t max_connections = 1500;  // to each server; more requests wait
  size_t max_open = SIZE_MAX;     // requests open at the same time
  milliseconds answer_timeout{70000};
};

// Something to do at a time during the run, on a thread of its own.
struct TimedAction {
  microseconds at{};
  std::function<void()> act;
};

// Sends the requests, which are sorted by time, and waits for every answer.
auto RunLoad(const std::vector<PlannedRequest>& plan,
             const LoadOptions& options,
             const std::vector<TimedAction>& actions = {})
    -> std::vector<RequestOutcome>;

// Sorts a plan by time.
auto SortPlan(std::vector<PlannedRequest>& plan) -> void;

}  // namespace boragecroft::bench

#endif  // BENCH_LOAD_LOAD_H_
