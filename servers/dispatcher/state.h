// The state of one instance, owned by the dispatcher's thread.
#ifndef SERVERS_DISPATCHER_STATE_H_
#define SERVERS_DISPATCHER_STATE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/random.h"
#include "servers/admission/queue_state.h"
#include "servers/configuration/configuration_state.h"
#include "servers/dispatcher/counters.h"
#include "servers/dispatcher/outputs.h"
#include "servers/estimates/estimates.h"
#include "servers/fleet/allotment.h"
#include "servers/fleet/fleet.h"
#include "servers/health/outlier_detector.h"
#include "servers/identity/id_mint.h"
#include "servers/ledger/ledger_writer.h"
#include "servers/ledger/lookup.h"
#include "servers/membership/membership.h"
#include "servers/queue/task_queue.h"
#include "servers/quota/quota_usage.h"
#include "servers/quota/team_quota.h"
#include "servers/retry/retry.h"

namespace boragecroft {

// What the process learns from its settings file.
struct DispatcherSettings {
  std::string instance;
  std::string zone;
  Address peer_address;
  std::vector<Address> seed_peers;
  MembershipSettings membership;
  ConfigurationTimings configuration;
  LedgerSettings ledger;
  milliseconds configuration_poll_interval{1000};
  milliseconds list_poll_interval{1000};
  milliseconds relay_timeout{
      2000};  // beyond the wait that the caller asked for
  milliseconds query_timeout{500};
  milliseconds answer_hold{
      2000};  // longest wait for the record before an answer
  // Over this, the oldest answers that the records hold leave the memory.
  size_t max_answer_bytes = size_t{32} << 20U;
  milliseconds drain_timeout{30000};
  milliseconds balancer_grace{
      3000};  // until the balancer has noticed that this instance is leaving
};

// A caller that waits for the end of a job.
struct JobWaiter {
  ReplyTo reply_to;
  Instant until;
};

// How the start of a job's tasks is recorded.
enum class RecordMode : uint8_t {
  kUnrecorded,  // no record before the final one: after a death, all its tasks
                // may have run
  kWatermark,   // dispatch never passes the durable watermark
};

struct Job {
  std::shared_ptr<const Submission> submission;
  uint64_t digest = 0;  // of the submission
  uint32_t class_index = 0;
  Instant accepted;
  Instant deadline;
  RecordMode record_mode = RecordMode::kUnrecorded;
  uint32_t watermark_asked = 0;  // collected for the ledger, durable or not
  std::vector<TaskState> tasks;
  std::vector<std::string> results;  // by task; freed once the job has failed
  uint32_t open_tasks = 0;           // not final
  JobState state = JobState::kActive;
  bool stopping =
      false;  // failed, cancelled or past its deadline: nothing more is started
  std::string reason;
  std::shared_ptr<const CallerAnswer> answer;  // once final
  bool final_durable = false;
  size_t kept_bytes = 0;  // roughly, once final
  Instant finished;
  std::vector<JobWaiter> waiters;
};

// One attempt that an endpoint has, or may have.
struct RunningAttempt {
  uint32_t number = 0;
  Address endpoint;
  std::string incarnation;  // of the endpoint's process that it was meant for
  Ticket ticket;
  Instant started;
  Instant lease_renewed;
  Instant next_query;       // when its answer counts as overdue
  uint32_t queries = 0;     // unanswered in a row
  bool query_open = false;  // a query has no answer yet
  bool stop_asked = false;
  bool connection_lost = false;  // its exchange ended without an answer
};

// A task that was given a slot and is not final.
struct TaskInProgress {
  QueuedTask queued;
  Attempts attempts;
  uint32_t next_number = 0;
  std::vector<RunningAttempt> running;
  std::vector<WorkerId> refused_by;  // answered that they cannot run it
  microseconds last_run_time{};      // of the last attempt that ended
  bool popped = false;               // holds a slot of the queue
  bool counted_in_quota = false;
};

// What one service needs for dispatch.
struct ServiceState {
  TaskQueue queue;
  DemandMeter demand;
  SlotLoads loads;
};

// A refused id whose record may not be durable yet.
struct RememberedRefusal {
  std::string partner;
  Refusal refusal = Refusal::kInvalid;
};

// A request that was relayed to the owner of its job.
struct RelayedRequest {
  CallerRequest request;
  Incarnation owner;
  Instant expires;
};

// Of an instance that stopped as planned and named this one as successor.
struct AdoptedIds {
  SequenceRanges used;  // that were unused then and were submitted here
  // By its closing row; null when that does not list them.
  std::shared_ptr<const UnusedIds> unused;
};

// What a lookup has learned on its way from an id's ledger to its successors.
struct LookupTrail {
  // By the closing row of the incarnation that the id names, once read.
  std::shared_ptr<const UnusedIds> unused;
  std::vector<Incarnation> closed;  // ledgers that passed the id on
};

// Callers that wait for what the records say about an id.
struct OpenLookup {
  JobId id;
  Incarnation ledger;
  Instant started;
  LookupTrail trail;
  std::optional<Lookup> lookup;
  std::vector<CallerRequest> waiting;
};

// A relayed request that was refused without using up its id. Its caller was
// told "not run", so a copy of the request must not be served later.
struct RefusedRelay {
  Incarnation from;
  uint64_t number = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm of clang-tidy 14.
  auto operator<=>(const RefusedRelay&) const = default;
};

struct Dispatcher;

// One event's context: the state, the time and where to put what follows from
// it.
struct Step {
  Dispatcher& dispatcher;
  Now now;
  Outputs& out;
};

using PlatformContinuation = std::function<void(Step&, PlatformOutcome&)>;

enum class DrainPhase : uint8_t {
  kServing,
  kLeaving,    // not ready any more, still accepting until the balancer has
               // noticed
  kFinishing,  // accepts nothing, finishes what it has
  kFlushing,   // writes its last records
  kStopped,    // the process may end
};

struct Dispatcher {
  DispatcherSettings settings;
  Incarnation self;
  Now started;
  Random random;
  Counters counters;

  ConfigurationState configuration;
  Instant next_configuration_poll;
  Instant next_list_poll;
  std::optional<InstanceList> known_list;  // the last one read, if it has a tag
  Instant next_share;
  Instant last_tick;

  IdMint mint;
  std::unordered_map<JobId, Job> jobs;
  size_t active_jobs = 0;  // not final, also past their deadline
  std::set<std::pair<Instant, JobId>> deadlines;  // of active jobs
  std::deque<std::pair<Instant, JobId>>
      finished;  // by the time when their answers may be dropped
  // Ended jobs whose answers the records hold whole, the oldest first.
  std::deque<JobId> replaceable;
  size_t kept_answer_bytes = 0;  // of ended jobs
  std::map<std::string, ServiceState> services;
  std::unordered_map<JobId, RememberedRefusal> refused;
  std::deque<std::pair<Instant, JobId>> refused_until;
  std::map<TaskId, TaskInProgress> in_progress;
  std::multimap<Instant, TaskId> delayed;
  std::multimap<Instant, std::pair<JobId, ReplyTo>>
      waits;  // ends of callers' waits

  Fleet fleet;
  OutlierDetector outlier_detector;
  Estimates estimates;
  RetryBudget budget;
  QuotaUsage quota;
  QuotaState quota_state;

  LedgerWriter ledger;
  bool ledger_call_open = false;
  bool platform_suspect = false;     // as of the last tick
  std::set<std::string> read_backs;  // rows that are being read for the ledger
  std::vector<TableRow> read_back_rows;

  Membership membership;
  uint64_t next_relay = 1;
  std::unordered_map<uint64_t, RelayedRequest> relays;
  std::set<RefusedRelay> refused_relays;
  std::deque<std::pair<Instant, RefusedRelay>> refused_relays_until;
  std::unordered_map<JobId, OpenLookup> lookups;
  size_t open_claims = 0;  // of callers' keys
  Instant next_closing;    // closing gone ledgers is rate-limited
  std::map<Incarnation, AdoptedIds> adopted;

  uint64_t next_token = 1;
  std::unordered_map<uint64_t, PlatformContinuation> platform_calls;

  DrainPhase drain = DrainPhase::kServing;
  Instant drain_started;
  bool deposed = false;
  bool view_changed = true;  // the callers' view must be published again
};

// The configuration in force, or null.
auto InForce(const Dispatcher& dispatcher) -> const Configuration*;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_STATE_H_
