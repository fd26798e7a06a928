// Defines the state of one dispatcher instance. Only the dispatcher's thread
// accesses it.
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

// Values that the process reads from its settings file.
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
  // Added to the wait that the caller requested.
  milliseconds relay_timeout{2000};
  milliseconds query_timeout{500};
  // Longest time that a final answer waits for its record to become durable.
  milliseconds max_record_wait{2000};
  // Above this size the oldest answers are evicted from memory, provided that
  // the records contain them.
  size_t max_answer_bytes = size_t{32} << 20U;
  milliseconds drain_timeout{30000};
  // Time for the load balancer to notice that this instance is leaving.
  milliseconds balancer_grace{3000};
};

// A caller that waits for the end of a job.
struct JobWaiter {
  ReplyTo reply_to;
  Instant until;
};

// How the start of a job's tasks is recorded.
enum class RecordMode : uint8_t {
  // No record before the final one: when the instance terminates earlier, any
  // of the job's tasks may have run.
  kUnrecorded,
  // Only tasks below the durable watermark are dispatched, except those that
  // ReleaseUnrecordedJobs allows while the platform is suspect.
  kWatermark,
};

struct Job {
  std::shared_ptr<const Submission> submission;
  uint64_t digest = 0;  // digest of the submission
  uint32_t class_index = 0;
  Instant accepted;
  Instant deadline;
  RecordMode record_mode = RecordMode::kUnrecorded;
  uint32_t requested_watermark = 0;  // given to the ledger, durable or not
  std::vector<TaskState> tasks;
  std::vector<std::string> results;  // by task; freed when the job has failed
  uint32_t open_tasks = 0;           // tasks that are not final
  JobState state = JobState::kActive;
  // Failed, cancelled or past its deadline: no further task is started.
  bool stopping = false;
  std::string reason;
  std::shared_ptr<const CallerAnswer> answer;  // set once the job is final
  bool final_durable = false;
  size_t kept_bytes = 0;  // estimate of memory used, once final
  Instant finished;
  std::vector<JobWaiter> waiters;
};

// One attempt that an endpoint runs or may be running.
struct RunningAttempt {
  uint32_t number = 0;
  Address endpoint;
  // Incarnation of the endpoint process that the start was sent to.
  std::string incarnation;
  Ticket ticket;
  Instant started;
  Instant lease_renewed;
  Instant next_query;          // when the answer counts as overdue
  uint32_t queries = 0;        // consecutive queries without an answer
  bool query_pending = false;  // the last query has no answer yet
  bool stop_requested = false;
  bool connection_lost = false;  // the exchange ended without an answer
};

// A task that has been given a slot and is not final.
struct TaskInProgress {
  QueuedTask queued;
  Attempts attempts;
  uint32_t next_number = 0;
  std::vector<RunningAttempt> running;
  // Workers that answered that they cannot run the task.
  std::vector<WorkerId> refused_by;
  microseconds last_run_time{};   // duration of the last ended attempt
  bool holds_queue_slot = false;  // counts as in progress in the queue
  bool counted_in_quota = false;
};

// Dispatch state of one service.
struct ServiceState {
  TaskQueue queue;
  DemandMeter demand;
  SlotLoads loads;
};

// Refusal of an id whose record may not be durable yet.
struct CachedRefusal {
  std::string partner;
  Refusal refusal = Refusal::kInvalid;
};

// A request that was relayed to the owner of its job.
struct RelayedRequest {
  CallerRequest request;
  Incarnation owner;
  Instant expires;
};

// Ids of an instance that stopped as planned and named this instance as its
// successor.
struct InheritedIds {
  // Ids that were unused when that instance stopped and that have been
  // submitted to this instance.
  SequenceRanges used;
  // Unused ids that its closing row lists; null when the row lists none.
  std::shared_ptr<const UnusedIds> unused;
};

// What a lookup has read on its way from the ledger of an id to the ledgers of
// successors.
struct LookupHistory {
  // Unused ids that the closing row of the incarnation in the id lists; null
  // until that row has been read.
  std::shared_ptr<const UnusedIds> unused;
  std::vector<Incarnation> closed;  // ledgers that named a successor
};

// A lookup of an id in the records, with the callers that wait for its result.
struct OpenLookup {
  JobId id;
  Incarnation ledger;
  Instant started;
  LookupHistory history;
  std::optional<Lookup> lookup;
  std::vector<CallerRequest> waiting;
};

// A relayed request that was refused without using up its id. Its caller was
// told that nothing ran, so a duplicate of the request that arrives later must
// not be served.
struct RefusedRelay {
  Incarnation from;
  uint64_t number = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm of clang-tidy 14.
  auto operator<=>(const RefusedRelay&) const = default;
};

struct Dispatcher;

// Context in which one event is handled: the state, the current time and the
// outputs that receive the resulting commands.
struct EventContext {
  Dispatcher& dispatcher;
  Now now;
  Outputs& out;
};

using PlatformContinuation =
    std::function<void(EventContext&, PlatformOutcome&)>;

enum class DrainPhase : uint8_t {
  kServing,
  // Reports "not ready", but still accepts requests until the load balancer has
  // noticed.
  kLeaving,
  // Mints no ids, claims no keys of callers and finishes its jobs. Submissions
  // under ids that exist are accepted during the first half of the drain
  // time-out.
  kFinishing,
  kFlushing,  // writes its last records
  kStopped,   // the process may end
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
  // The last list read from the platform, if it has a tag.
  std::optional<InstanceList> known_list;
  Instant next_share_update;
  Instant last_tick;

  IdMint mint;
  std::unordered_map<JobId, Job> jobs;
  size_t active_jobs = 0;  // not final, including those past their deadline
  std::set<std::pair<Instant, JobId>> deadlines;  // of active jobs
  // Ended jobs, by the time at which their answers may be dropped.
  std::deque<std::pair<Instant, JobId>> finished;
  // Ended jobs whose complete answers are in the records, the oldest first.
  std::deque<JobId> evictable;
  size_t kept_answer_bytes = 0;  // of ended jobs
  std::map<std::string, ServiceState> services;
  std::unordered_map<JobId, CachedRefusal> refused;
  std::deque<std::pair<Instant, JobId>> refused_until;
  std::map<TaskId, TaskInProgress> in_progress;
  std::multimap<Instant, TaskId> delayed;
  // Times at which callers' waits end.
  std::multimap<Instant, std::pair<JobId, ReplyTo>> waits;

  Fleet fleet;
  OutlierDetector outlier_detector;
  Estimates estimates;
  RetryBudget budget;
  QuotaUsage quota;
  QuotaState quota_state;

  LedgerWriter ledger;
  bool ledger_call_open = false;
  bool platform_suspect = false;     // as of the last tick
  std::set<std::string> read_backs;  // keys being read for the ledger
  std::vector<TableRow> read_back_rows;

  Membership membership;
  uint64_t next_relay = 1;
  std::unordered_map<uint64_t, RelayedRequest> relays;
  std::set<RefusedRelay> refused_relays;
  std::deque<std::pair<Instant, RefusedRelay>> refused_relays_until;
  std::unordered_map<JobId, OpenLookup> lookups;
  size_t open_claims = 0;  // unfinished claims of callers' keys
  // Closing the ledgers of terminated instances is rate-limited.
  Instant next_closing;
  std::map<Incarnation, InheritedIds> inherited;

  uint64_t next_token = 1;
  std::unordered_map<uint64_t, PlatformContinuation> platform_calls;

  DrainPhase drain = DrainPhase::kServing;
  Instant drain_started;
  bool fenced = false;
  bool view_changed = true;  // the CallerView must be published again
};

// Returns the configuration in force, or null when there is none.
auto InForce(const Dispatcher& dispatcher) -> const Configuration*;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_STATE_H_
