// Makes the decisions of the instance that holds a group of workers: which
// tasks start where and when, which jobs are refused, and which runs are
// stopped.
//
// The module has no side effects: it receives events with the current time and
// returns commands. Workers obey only the holder of the group's newest fencing
// token.
#ifndef SERVERS_SCHEDULING_SCHEDULER_H_
#define SERVERS_SCHEDULING_SCHEDULER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "servers/scheduling/displacement.h"
#include "servers/scheduling/forecast.h"
#include "servers/scheduling/job.h"
#include "servers/scheduling/objective.h"
#include "servers/scheduling/placement.h"
#include "servers/scheduling/policy.h"
#include "servers/scheduling/retry_advice.h"
#include "servers/scheduling/run_times.h"
#include "servers/scheduling/worker.h"

namespace boragecroft {

// Number of fencing tokens that one term may use: one for each incarnation of a
// worker, so that an order to an earlier incarnation that is carried out late
// is refused by the next one.
inline constexpr uint64_t kTokensPerTerm = 1024;

// Destination of an order and the fencing token that authorizes it.
//
// A worker that restarts keeps its id, while its clock begins again. Orders
// that grant a lease must therefore reach the incarnation on whose clock the
// lease is measured.
struct OrderTarget {
  std::string worker;
  Address address;
  uint64_t token = 0;
  milliseconds incarnation{};  // start of the incarnation, since 1970
};

struct StartCommand {
  OrderTarget target;
  TaskName task;
  uint32_t attempt = 0;
  std::shared_ptr<const std::string> spec;
  milliseconds lease{};  // on the worker's clock
};

struct StopCommand {
  OrderTarget target;
  TaskName task;
  uint32_t attempt = 0;
};

struct RenewCommand {
  OrderTarget target;
  uint64_t ack = 0;
  milliseconds lease{};  // on the worker's clock; 0: no extension
  milliseconds wait{};   // time for which the worker may wait for an end before
                         // it answers
};

// Why a job was ended without all its tasks done.
enum class GiveUpReason : uint8_t {
  kNone,        // done, or one of its tasks failed too often
  kNoRoom,      // no task could start in time
  kNoChance,    // it would probably not have ended before its caller left
  kDeadline,    // its caller has stopped waiting
  kWithdrawn,   // its origin instance or its caller withdrew it
  kOriginLost,  // its origin instance is lost
};

struct ResultCommand {
  OriginId origin = 0;
  JobResult result;
  // Set when the job was refused only because not all its tasks could start
  // immediately, or because the group is evacuated: its origin asks the next
  // group.
  bool redirected = false;
  // Set when the job ended because the group is evacuated: tasks that it needed
  // did not start.
  bool withheld = false;
  // Set when the job was refused for this other one, which needs the room.
  std::optional<JobName> displaced_by;
  // Progress of the job, for the log.
  uint32_t tasks = 0;
  uint32_t done = 0;
  uint32_t in_progress = 0;
  milliseconds age{};        // since the job arrived
  milliseconds objective{};  // measured from the arrival of the job
  GiveUpReason reason = GiveUpReason::kNone;
  double chance = 1;  // to end before its caller leaves, when it was given up
};

// Reports that a worker refused this holder's token, because another instance
// holds the group.
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
  kStaleAttempt,  // an attempt with this or a higher number has ended or been
                  // stopped there
  kLeaseExpired,  // the lease had expired on the worker's clock
  kFenced,        // the worker has seen a higher token
  kUnhealthy,     // the worker is unhealthy and did nothing
  kMoved,         // another worker answers at the address
  kInvalid,       // the worker could not read the order
  kNotSent,       // no byte was sent
  kNoAnswer,      // may have been carried out, or may be carried out later
  kRestarted,     // not sent: the worker is another incarnation than the one
                  // that the order is meant for
  kUnconfirmed,   // not sent: the worker did not say which incarnation it is
};

struct ScheduledTask {
  bool done = false;
  bool in_progress = false;  // has a run that may be in progress
  uint32_t attempt = 0;      // number of the last attempt
  uint32_t failures = 0;
  std::string failed_on;  // worker on which the last attempt failed
  RunProgress progress;   // of the last attempt
};

struct ScheduledJob {
  JobOffer offer;
  OriginId origin = 0;
  Instant offered_at;  // time of the offer to this holder
  JobTimes times;
  std::shared_ptr<const std::string> spec;
  std::vector<ScheduledTask> tasks;
  uint32_t done = 0;
  uint32_t in_progress = 0;
  uint32_t uncertain = 0;  // number of starts that may have been carried out
  JobForecast forecast;
  // When its chance to end before its caller leaves has become too small,
  // unless one of its tasks starts or ends before.
  Instant chance_gone_at;
  GiveUpReason reason = GiveUpReason::kNone;
  double chance = 1;  // when it was given up
  // Core-milliseconds of one task at speed 1, as expected when it was offered.
  double task_work = 0;
  FloorShare floor;
  bool ended = false;   // its result has been sent; its runs are being stopped
  Instant orphaned_at;  // when its origin was lost; zero while it is connected
};

struct SchedulerCounters {
  uint64_t jobs_offered = 0;
  uint64_t jobs_done = 0;
  uint64_t jobs_failed = 0;
  uint64_t jobs_refused = 0;
  uint64_t jobs_redirected = 0;  // not all tasks could start immediately: the
                                 // origin asks another group
  uint64_t jobs_displaced = 0;  // refused for another job; also in jobs_refused
  uint64_t jobs_stopped = 0;
  uint64_t jobs_hopeless = 0;  // refused without a chance to end in time
  uint64_t jobs_given_up = 0;  // stopped early, once the chance had gone
  uint64_t starts = 0;
  uint64_t stops = 0;
  uint64_t renewals = 0;
  uint64_t runs_expired = 0;
  uint64_t runs_overdue = 0;
};

// Slot time that a kind of job has received recently, for the fair order.
struct KindUsage {
  double slot_ms = 0;
  Instant updated_at;
};

struct Scheduler {
  SchedulingPolicy policy;
  uint64_t token = 0;    // first fencing token of this term
  Instant since;         // start of this term
  bool leaving = false;  // set when the holder accepts no more jobs
  // When this holder learned that its group is evacuated; empty while the group
  // is not.
  std::optional<Instant> evacuated_since;
  // From then on, time for which jobs that have begun may still start tasks.
  milliseconds started_job_grace{};
  // Jobs that were given back to their origins in the present evacuation, or
  // the last one.
  uint64_t jobs_given_back = 0;
  // Set when no worker was added or removed recently, so that none is missing
  // for a moment only.
  bool workers_stable = false;
  // Every change of the workers' entries before this time is known. Fencing all
  // known workers proves that no earlier holder has a run only if this time is
  // in the present term.
  Instant workers_known_until;
  // Time at which a reachable worker last left a renewal unanswered.
  Instant renewal_lost_at;
  WorkerAccounts workers;
  std::unordered_map<JobName, ScheduledJob> jobs;
  RunTimes run_times;
  RetryAdvice retry_advice;
  Resources typical_needs{.cpu_millis = 1000};  // of a task, from recent offers
  std::string typical_service;
  // Set while a worker may be cold; saves a search through all workers at each
  // event.
  bool expects_cold_workers = false;
  bool awaits_first_offer = false;  // no offer for a while since the term began
  std::unordered_map<std::string, KindUsage> kind_usage;
  Floors floors;
  bool has_priorities = false;  // set once a job had a priority other than 0
  SchedulerCounters counters;
};

// Begins a term. Asks every worker with the new token what it runs, so that
// older orders are refused from then on. `stable` is true when no worker of
// the group was added or removed recently.
auto BeginTerm(Scheduler& state,
               uint64_t token,
               const std::vector<WorkerEntry>& workers,
               bool stable,
               Instant now,
               SchedulerCommands& out) -> void;

// Handles a worker's entry that was added or changed.
auto OnWorkerEntry(Scheduler& state,
                   const WorkerEntry& entry,
                   Instant now,
                   SchedulerCommands& out) -> void;
// Handles the removal of a worker's entry.
auto OnWorkerRemoved(Scheduler& state, const std::string& id) -> void;
// Handles that all changes of workers' entries before `known_until` have been
// passed to the functions above.
auto OnWorkersKnown(Scheduler& state,
                    Instant known_until,
                    Instant now,
                    SchedulerCommands& out) -> void;

// Handles an offered job: it starts, waits or is refused. A waiting job that
// has started no task may be refused for it.
auto OnOffer(Scheduler& state,
             OriginId origin,
             JobOffer offer,
             Instant now,
             SchedulerCommands& out) -> void;
// Handles that the caller left, or that its instance does not want an answer
// any more.
auto OnCancel(Scheduler& state,
              OriginId origin,
              JobName job,
              Instant now,
              SchedulerCommands& out) -> void;
// Handles that a caller cancelled the job, at any instance. Returns whether the
// job is here and had not ended.
auto OnCancelledByCaller(Scheduler& state,
                         JobName job,
                         Instant now,
                         SchedulerCommands& out) -> bool;
// Handles the loss of the connection to an origin instance at `lost_at`. Its
// jobs are stopped unless they are handed over again within the grace period of
// 200 ms from then.
auto OnOriginLost(Scheduler& state, OriginId origin, Instant lost_at) -> void;

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
// Handles the answer to a renewal. `report` is null unless the answer is
// kAccepted. `sent` is the time at which the renewal was sent.
auto OnRenewAnswer(Scheduler& state,
                   const RenewCommand& order,
                   OrderAnswer answer,
                   const RunReport* report,
                   Instant sent,
                   Instant now,
                   SchedulerCommands& out) -> void;

// Handles that the group is evacuated. Jobs without a start are given back to
// their origins, and none is started from now on. Jobs that have begun may
// start their other tasks within the grace period; one that still needs a start
// after it is stopped. Runs in progress end normally.
auto OnEvacuated(Scheduler& state, Instant now, SchedulerCommands& out) -> void;
// Handles that the evacuation of the group has ended. Its workers may have
// become cold and start slowly.
auto OnEvacuationEnded(Scheduler& state, Instant now, SchedulerCommands& out)
    -> void;

// Performs the actions that are due by time.
auto OnTime(Scheduler& state, Instant now, SchedulerCommands& out) -> void;
// Returns when OnTime must be called next; empty when no action is pending.
auto NextDue(const Scheduler& state) -> std::optional<Instant>;

// Load of a group, for instances that choose among groups.
struct GroupLoad {
  uint32_t free_slots = 0;  // for tasks of the typical size
  uint32_t fast_slots = 0;  // of these, those on the fastest workers
  uint32_t waiting = 0;     // tasks that have not been started
  uint32_t jobs = 0;
};
auto LoadOf(const Scheduler& state) -> GroupLoad;
// Returns the number of runs that may be in progress on the group's workers,
// including those of earlier holders that are known.
auto CountRuns(const Scheduler& state) -> size_t;

}  // namespace boragecroft

#endif  // SERVERS_SCHEDULING_SCHEDULER_H_
