// What the dispatcher counts. Published as metrics; see
// docs/operators/metrics.md.
#ifndef SERVERS_DISPATCHER_COUNTERS_H_
#define SERVERS_DISPATCHER_COUNTERS_H_

#include <array>
#include <cstdint>

#include "servers/model/submission.h"

namespace boragecroft {

inline constexpr size_t kRefusalKinds =
    static_cast<size_t>(Refusal::kNotReady) + 1;

struct Counters {
  uint64_t ids_minted = 0;
  uint64_t jobs_accepted = 0;
  uint64_t jobs_done = 0;
  uint64_t jobs_failed = 0;
  std::array<uint64_t, kRefusalKinds> jobs_refused{};  // by Refusal
  uint64_t jobs_cancelled = 0;
  uint64_t resubmissions = 0;  // of a job that was already taken
  uint64_t attempts_started = 0;
  uint64_t attempts_done = 0;
  uint64_t attempts_failed = 0;
  uint64_t attempts_busy = 0;
  uint64_t attempts_draining = 0;
  uint64_t attempts_not_sent = 0;
  uint64_t attempts_silent = 0;
  uint64_t attempts_protocol_errors = 0;
  uint64_t attempts_extra = 0;  // retries and hedges charged to the budget
  uint64_t queries_sent = 0;    // status queries and stops
  uint64_t tasks_may_have_run = 0;
  uint64_t workers_put_aside = 0;
  uint64_t workers_readmitted = 0;
  uint64_t relays_sent = 0;
  uint64_t relays_served = 0;
  uint64_t relays_timed_out = 0;
  uint64_t lookups = 0;
  uint64_t closings =
      0;  // ledgers of gone incarnations that this instance closed
  uint64_t heartbeats_sent = 0;
  uint64_t heartbeats_received = 0;
  uint64_t platform_calls = 0;
  uint64_t platform_failures = 0;
  uint64_t configurations_adopted = 0;
  uint64_t configuration_conflicts = 0;
  uint64_t pauses = 0;
};

// A counter as metrics and dumps show it.
struct CounterInfo {
  const char* name;
  const char* help;
};

// Calls `visit(info, value)` for each plain counter.
template <class Visit>
auto VisitCounters(const Counters& counters, Visit visit) -> void {
  visit(CounterInfo{"ids_minted", "Job ids handed out"}, counters.ids_minted);
  visit(CounterInfo{"jobs_accepted", "Jobs taken"}, counters.jobs_accepted);
  visit(CounterInfo{"jobs_done", "Jobs that ended as done"},
        counters.jobs_done);
  visit(CounterInfo{"jobs_failed", "Jobs that ended as failed"},
        counters.jobs_failed);
  visit(CounterInfo{"jobs_cancelled", "Cancellations asked for"},
        counters.jobs_cancelled);
  visit(CounterInfo{"resubmissions",
                    "Submissions of a job that was already taken"},
        counters.resubmissions);
  visit(CounterInfo{"attempts_started", "Attempts sent to endpoints"},
        counters.attempts_started);
  visit(CounterInfo{"attempts_done", "Attempts answered with a result"},
        counters.attempts_done);
  visit(CounterInfo{"attempts_failed", "Attempts answered as failed"},
        counters.attempts_failed);
  visit(CounterInfo{"attempts_busy", "Attempts refused for want of a slot"},
        counters.attempts_busy);
  visit(CounterInfo{"attempts_draining",
                    "Attempts refused by a leaving endpoint"},
        counters.attempts_draining);
  visit(CounterInfo{"attempts_not_sent",
                    "Attempts that no connection could be had for"},
        counters.attempts_not_sent);
  visit(CounterInfo{"attempts_silent",
                    "Attempts whose connection broke or went silent"},
        counters.attempts_silent);
  visit(CounterInfo{"attempts_protocol_errors",
                    "Attempts whose answer breaks the interface"},
        counters.attempts_protocol_errors);
  visit(
      CounterInfo{"attempts_extra", "Retries and hedges charged to the budget"},
      counters.attempts_extra);
  visit(
      CounterInfo{"queries_sent", "Status queries and stops sent to endpoints"},
      counters.queries_sent);
  visit(CounterInfo{"tasks_may_have_run", "Tasks that ended as may_have_run"},
        counters.tasks_may_have_run);
  visit(CounterInfo{"workers_put_aside", "Times a worker was put aside"},
        counters.workers_put_aside);
  visit(CounterInfo{"workers_readmitted", "Times a worker was taken back"},
        counters.workers_readmitted);
  visit(
      CounterInfo{"relays_sent", "Requests relayed to the owner of their job"},
      counters.relays_sent);
  visit(CounterInfo{"relays_served", "Relayed requests served"},
        counters.relays_served);
  visit(CounterInfo{"relays_timed_out",
                    "Relayed requests without an answer in time"},
        counters.relays_timed_out);
  visit(CounterInfo{"lookups", "Questions answered from the records"},
        counters.lookups);
  visit(CounterInfo{"closings", "Ledgers of gone incarnations closed"},
        counters.closings);
  visit(CounterInfo{"heartbeats_sent", "Heartbeats sent"},
        counters.heartbeats_sent);
  visit(CounterInfo{"heartbeats_received", "Heartbeats received"},
        counters.heartbeats_received);
  visit(CounterInfo{"platform_calls", "Calls to the platform"},
        counters.platform_calls);
  visit(CounterInfo{"platform_failures", "Calls to the platform that failed"},
        counters.platform_failures);
  visit(CounterInfo{"configurations_adopted", "Configurations put in force"},
        counters.configurations_adopted);
  visit(CounterInfo{"configuration_conflicts",
                    "Two documents seen under one version"},
        counters.configuration_conflicts);
  visit(CounterInfo{"pauses", "Pauses of this process noticed"},
        counters.pauses);
}

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_COUNTERS_H_
