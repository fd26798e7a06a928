// The decisions of the instance that holds a group of workers: which job's
// tasks start where and when, what is refused, what is stopped.
//
// Pure: events go in with the time, commands come out. Only the holder of a
// group's newest fencing token is obeyed by its workers.
#ifndef SERVERS_SCHEDULING_SCHEDULER_H_
#define SERVERS_SCHEDULING_SCHEDULER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "servers/scheduling/job.h"
#include "servers/scheduling/objective.h"
#include "servers/scheduling/placement.h"
#include "servers/scheduling/policy.h"
#include "servers/scheduling/retry_advice.h"
#include "servers/scheduling/run_times.h"
#include "servers/scheduling/worker.h"

namespace boragecroft {

// Fencing tokens that one tenure may use: one for each life of each worker, so
// that an order to an earlier life, carried out late, is refused by the next.
inline constexpr uint64_t kTokensPerTerm = 1024;

// Where an order goes and with what right.
struct OrderTarget {
  std::string worker;
  Address address;
  uint64_t token = 0;
};

struct StartCommand {
  OrderTarget target;
  TaskName task;
  uint32_t attempt = 0;
  std::shared_ptr<const std::string> spec;
  milliseconds lease{};  // worker clock
};

struct StopCommand {
  OrderTarget target;
  TaskName task;
  uint32_t attempt = 0;
};

struct RenewCommand {
  OrderTarget target;
  uint64_t ack = 0;
  milliseconds lease{};  // worker clock; 0: no extension
  milliseconds wait{};   // for an end
};

struct ResultCommand {
  OriginId origin = 0;
  JobResult result;
  // Refused only because not all of it could start at once: its taker asks the
  // next group.
  bool redirected = false;
  // How far the job came, for the log.
  uint32_t tasks = 0;
  uint32_t done = 0;
  uint32_t in_progress = 0;
  milliseconds age{};        // since it arrived
  milliseconds objective{};  // from its arrival
};

// A worker refused this holder's token: another instance holds the group.
struct FencedCommand {
  std::string worker;
};

using SchedulerCommand = std::variant<StartCommand,
                                      StopCommand,
                                      RenewCommand,
                                      ResultCommand,
                                      FencedCommand>;
using SchedulerCommands = std::vector<SchedulerCommand>;

enum class OrderAnswer : uint8_t {
  kAccepted,
  kNoCapacity,    // nothing started
  kStaleAttempt,  // an attempt as high has ended or been stopped there
  kLeaseExpired,  // the lease had passed on the worker's clock
  kFenced,        // a higher token was seen
  kUnhealthy,     // the worker did nothing
  kMoved,         // another worker answers at the address
  kInvalid,       // the worker could not read the order
  kNotSent,       // no byte was handed to the network
  kNoAnswer,      // may have been carried out, or will be
};

struct ScheduledTask {
  bool done = false;
  bool in_progress = false;  // has a run that may be at work
  uint32_t attempt = 0;      // of the last start
  uint32_t failures = 0;
  std::string failed_on;  // worker of the last failure
};

struct ScheduledJob {
  JobOffer offer;
  OriginId origin = 0;
  Instant offered_at;  // to this holder
  JobTimes times;
  std::shared_ptr<const std::string> spec;
  std::vector<ScheduledTask> tasks;
  uint32_t done = 0;
  uint32_t in_progress = 0;
  uint32_t uncertain = 0;  // starts that may have been carried out
  // Run time of its tasks at speed 1, as the ended ones show; 0: none ended.
  // Tasks of one job differ far less than declared run times are off.
  microseconds observed_run_time{};
  bool ended = false;   // its result is out; runs are being stopped
  Instant orphaned_at;  // when its taker was lost; zero: it is not
};

struct SchedulerCounters {
  uint64_t jobs_offered = 0;
  uint64_t jobs_done = 0;
  uint64_t jobs_failed = 0;
  uint64_t jobs_refused = 0;
  uint64_t jobs_redirected = 0;  // no room at once: another group is asked
  uint64_t jobs_stopped = 0;
  uint64_t starts = 0;
  uint64_t stops = 0;
  uint64_t renewals = 0;
  uint64_t runs_expired = 0;
  uint64_t runs_overdue = 0;
};

// Room that a kind of job got lately, for the fair order.
struct KindUsage {
  double slot_ms = 0;
  Instant updated_at;
};

struct Scheduler {
  SchedulingPolicy policy;
  uint64_t token = 0;    // first fencing token of this tenure
  Instant since;         // begin of this tenure
  bool leaving = false;  // takes no more jobs
  // The workers are those that the holder before had: none came or went. Only
  // then does the fence around all of them show that nothing else runs.
  bool workers_stable = false;
  // When a worker that was reachable last left a hold unanswered.
  Instant renewal_lost_at;
  WorkerAccounts workers;
  std::unordered_map<JobName, ScheduledJob> jobs;
  RunTimes run_times;
  RetryAdvice retry_advice;
  Resources typical_needs{.cpu_millis = 1000};  // of a task, from recent offers
  std::string typical_service;
  std::unordered_map<std::string, KindUsage> kind_usage;
  SchedulerCounters counters;
};

// Begins a tenure: every worker is asked what runs there with the new token, so
// that older orders can no longer arrive. `stable`: no worker of the group came
// or went lately.
auto BeginTerm(Scheduler& state,
               uint64_t token,
               const std::vector<WorkerEntry>& workers,
               bool stable,
               Instant now,
               SchedulerCommands& out) -> void;

// The worker's entry came, changed or went.
auto OnWorkerEntry(Scheduler& state,
                   const WorkerEntry& entry,
                   Instant now,
                   SchedulerCommands& out) -> void;
auto OnWorkerRemoved(Scheduler& state, const std::string& id) -> void;

auto OnOffer(Scheduler& state,
             OriginId origin,
             JobOffer offer,
             Instant now,
             SchedulerCommands& out) -> void;
// The caller left, or its instance wants no answer any more.
auto OnCancel(Scheduler& state,
              OriginId origin,
              JobName job,
              Instant now,
              SchedulerCommands& out) -> void;
// The connection to a taker is gone or silent. Its jobs are stopped unless they
// are handed over again soon.
auto OnOriginLost(Scheduler& state, OriginId origin, Instant now) -> void;

auto OnStartAnswer(Scheduler& state,
                   const StartCommand& order,
                   OrderAnswer answer,
                   Instant now,
                   SchedulerCommands& out) -> void;
auto OnStopAnswer(Scheduler& state,
                  const StopCommand& order,
                  OrderAnswer answer,
                  Instant now,
                  SchedulerCommands& out) -> void;
// `report` is null unless the answer is kAccepted. `sent`: when the order was
// given.
auto OnRenewAnswer(Scheduler& state,
                   const RenewCommand& order,
                   OrderAnswer answer,
                   const RunReport* report,
                   Instant sent,
                   Instant now,
                   SchedulerCommands& out) -> void;

// Does what is due by time.
auto OnTime(Scheduler& state, Instant now, SchedulerCommands& out) -> void;
// When OnTime is next needed; empty when nothing waits for time.
auto NextDue(const Scheduler& state) -> std::optional<Instant>;

// How much work the group has, for those who choose among groups.
struct GroupLoad {
  uint32_t free_slots = 0;  // for tasks of the usual size
  uint32_t fast_slots = 0;  // of these, on the fastest workers
  uint32_t waiting = 0;     // tasks without a start
  uint32_t jobs = 0;
};
auto LoadOf(const Scheduler& state) -> GroupLoad;

}  // namespace boragecroft

#endif  // SERVERS_SCHEDULING_SCHEDULER_H_
