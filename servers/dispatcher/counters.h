// Declares the counters of the dispatcher, which are published as metrics (see
// docs/operators/metrics.md).
#ifndef SERVERS_DISPATCHER_COUNTERS_H_
#define SERVERS_DISPATCHER_COUNTERS_H_

#include <array>
#include <cstdint>

#include "servers/model/submission.h"

namespace boragecroft {

inline constexpr size_t kRefusalKinds =
    static_cast<size_t>(Refusal::kIdReused) + 1;

struct Counters {
  uint64_t ids_minted = 0;
  uint64_t jobs_accepted = 0;
  uint64_t jobs_done = 0;
  uint64_t jobs_failed = 0;
  std::array<uint64_t, kRefusalKinds> jobs_refused{};  // indexed by Refusal
  uint64_t jobs_cancelled = 0;
  uint64_t resubmissions = 0;  // of a job that was already accepted
  uint64_t attempts_started = 0;
  uint64_t attempts_done = 0;
  uint64_t attempts_failed = 0;
  uint64_t attempts_busy = 0;
  uint64_t attempts_draining = 0;
  uint64_t attempts_other_incarnation = 0;
  uint64_t attempts_forgotten = 0;
  uint64_t attempts_not_sent = 0;
  uint64_t attempts_no_response = 0;
  uint64_t attempts_protocol_errors = 0;
  uint64_t attempts_extra = 0;  // retries and hedges charged to the budget
  uint64_t queries_sent = 0;    // status queries and stops
  uint64_t tasks_may_have_run = 0;
  uint64_t workers_ejected = 0;
  uint64_t workers_readmitted = 0;
  uint64_t relays_sent = 0;
  uint64_t relays_served = 0;
  uint64_t relays_timed_out = 0;
  uint64_t lookups = 0;
  // Ledgers of terminated incarnations that this instance closed.
  uint64_t closings = 0;
  uint64_t heartbeats_sent = 0;
  uint64_t heartbeats_received = 0;
  uint64_t platform_calls = 0;
  uint64_t platform_failures = 0;
  uint64_t configurations_adopted = 0;
  uint64_t configuration_conflicts = 0;
  uint64_t pauses = 0;
};

// A counter with its name and help text in metrics and state dumps.
struct CounterInfo {
  const char* name;
  const char* help;
  uint64_t Counters::*member;
};

inline constexpr CounterInfo kCounterInfos[] = {
    {"ids_minted", "Job ids handed out", &Counters::ids_minted},
    {"jobs_accepted", "Jobs taken", &Counters::jobs_accepted},
    {"jobs_done", "Jobs that ended as done", &Counters::jobs_done},
    {"jobs_failed", "Jobs that ended as failed", &Counters::jobs_failed},
    {"jobs_cancelled", "Cancellations asked for", &Counters::jobs_cancelled},
    {"resubmissions", "Submissions of a job that was already taken",
     &Counters::resubmissions},
    {"attempts_started", "Attempts sent to endpoints",
     &Counters::attempts_started},
    {"attempts_done", "Attempts answered with a result",
     &Counters::attempts_done},
    {"attempts_failed", "Attempts answered as failed",
     &Counters::attempts_failed},
    {"attempts_busy", "Attempts refused for want of a slot",
     &Counters::attempts_busy},
    {"attempts_draining", "Attempts refused by a leaving endpoint",
     &Counters::attempts_draining},
    {"attempts_other_incarnation",
     "Attempts refused by an endpoint that had restarted",
     &Counters::attempts_other_incarnation},
    {"attempts_forgotten",
     "Attempts whose endpoint restarted before it had answered",
     &Counters::attempts_forgotten},
    {"attempts_not_sent", "Attempts that no connection could be had for",
     &Counters::attempts_not_sent},
    {"attempts_silent", "Attempts whose connection broke or went silent",
     &Counters::attempts_no_response},
    {"attempts_protocol_errors", "Attempts whose answer breaks the interface",
     &Counters::attempts_protocol_errors},
    {"attempts_extra", "Retries and hedges charged to the budget",
     &Counters::attempts_extra},
    {"queries_sent", "Status queries and stops sent to endpoints",
     &Counters::queries_sent},
    {"tasks_may_have_run", "Tasks that ended as may_have_run",
     &Counters::tasks_may_have_run},
    {"workers_put_aside", "Times a worker was put aside",
     &Counters::workers_ejected},
    {"workers_readmitted", "Times a worker was taken back",
     &Counters::workers_readmitted},
    {"relays_sent", "Requests relayed to the owner of their job",
     &Counters::relays_sent},
    {"relays_served", "Relayed requests served", &Counters::relays_served},
    {"relays_timed_out", "Relayed requests without an answer in time",
     &Counters::relays_timed_out},
    {"lookups", "Questions answered from the records", &Counters::lookups},
    {"closings", "Ledgers of gone incarnations closed", &Counters::closings},
    {"heartbeats_sent", "Heartbeats sent", &Counters::heartbeats_sent},
    {"heartbeats_received", "Heartbeats received",
     &Counters::heartbeats_received},
    {"platform_calls", "Calls to the platform", &Counters::platform_calls},
    {"platform_failures", "Calls to the platform that failed",
     &Counters::platform_failures},
    {"configurations_adopted", "Configurations put in force",
     &Counters::configurations_adopted},
    {"configuration_conflicts", "Two documents seen under one version",
     &Counters::configuration_conflicts},
    {"pauses", "Pauses of this process noticed", &Counters::pauses},
};

// Calls `visit(info, value)` for each plain counter.
template <class Visit>
auto VisitCounters(const Counters& counters, Visit visit) -> void {
  for (const auto& it : kCounterInfos) {
    visit(it, counters.*it.member);
  }
}

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_COUNTERS_H_
