// Judges workers and jobs together: a worker that fails what runs elsewhere is
// put aside and probed at growing intervals; a job that fails everywhere puts
// no worker aside.
//
// Each worker, and each pair of worker and kind of work, has a cumulative sum
// of log-likelihood ratios (CUSUM): a failure adds ln(P(fail | broken) / P(fail
// elsewhere)), a success takes ln(P(done elsewhere) / P(done | broken)) away.
#ifndef SERVERS_HEALTH_JUDGE_H_
#define SERVERS_HEALTH_JUDGE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "servers/estimates/lru_map.h"
#include "servers/estimates/work_kind.h"
#include "servers/fleet/worker_id.h"
#include "servers/health/tally.h"

namespace boragecroft {

inline constexpr size_t kMaxTrackedJobs = 512;
inline constexpr size_t kMaxTrackedKinds = 512;
inline constexpr size_t kMaxTrackedSubjects = 4096;
inline constexpr size_t kMaxTrackedPeers = 256;

// How an attempt ended, as far as it speaks about a worker. Refusals do not.
enum class Outcome : uint8_t {
  kDone,
  kFailed,      // the endpoint answered that the task ran and failed
  kNoResponse,  // no answer within the task's timeout, or the connection broke
  kConnectFailed,  // nothing was sent
};

struct Attempt {
  WorkerId worker;
  JobId job;
  WorkKind kind;
  Outcome outcome = Outcome::kDone;
  Instant started{};  // when it was handed to the network
};

// What is judged: a worker for one kind of work, or for all when `kind` is
// empty.
struct Subject {
  WorkerId worker;
  std::string kind;

  auto operator==(const Subject&) const -> bool = default;
};

}  // namespace boragecroft

template <>
struct std::hash<boragecroft::Subject> {
  auto operator()(const boragecroft::Subject& it) const noexcept -> size_t {
    return std::hash<std::string>()(it.kind) * 31 + it.worker.value;
  }
};

namespace boragecroft {

// Failures of one job on one subject.
struct SuspectJob {
  JobId job;
  WorkKind kind;
  double failures = 0;  // a silent attempt counts as a part of one
};

struct SubjectRecord {
  std::vector<SuspectJob> jobs;
  double connect_evidence = 0;
  double peer_evidence = 0;     // from verdicts of other instances
  double credit = 0;            // taken away by successes
  uint32_t ejection_count = 0;  // times put aside, forgotten with time
  Instant readmitted_at{};
};

struct Ejection {
  Subject subject;
  std::string service;
  uint32_t ejection_count = 0;
  Instant next_probe{};
  bool probing = false;
  Instant probe_started{};
  uint64_t shared_sequence =
      0;  // sequence of the verdict for peers; 0: not shared
};

struct StragglerCount {
  double count = 0;
  Instant updated{};
};

struct OutlierDetector {
  uint32_t max_ejected_percent = 30;
  std::unordered_map<std::string, uint32_t> pool_sizes;  // workers by service
  LruMap<JobId, OutcomeTally> jobs{kMaxTrackedJobs};
  LruMap<WorkKind, OutcomeTally> kinds{kMaxTrackedKinds};
  LruMap<Subject, SubjectRecord> subjects{kMaxTrackedSubjects};
  LruMap<WorkerId, StragglerCount> stragglers{kMaxTrackedSubjects};
  std::vector<Ejection> ejections;
  uint64_t last_sequence = 0;  // of the verdicts shared with peers
  LruMap<std::string, uint64_t> peer_sequences{
      kMaxTrackedPeers};  // highest taken
};

enum class EjectionChange : uint8_t { kUnchanged, kEjected, kReadmitted };

struct EjectionUpdate {
  EjectionChange kind = EjectionChange::kUnchanged;
  Subject subject;
};

// Takes the size of a service's pool, for the cap on the share put aside.
auto SetPoolSize(OutlierDetector& outlier_detector,
                 const std::string& service,
                 uint32_t workers) -> void;

// Notes how one attempt ended and says what changed because of it.
auto RecordOutcome(OutlierDetector& outlier_detector,
                   const Attempt& attempt,
                   Now now) -> EjectionUpdate;

// A verdict that an instance passes to the others of its zone, so that each
// needs less evidence of its own. Only verdicts from failed tasks are shared:
// failed connects speak about a path, not about the worker.
struct SharedEjection {
  Subject subject;
  std::string service;
  uint64_t sequence = 0;  // rises with each verdict of one process
};

// The verdicts in force by rising sequence, to put into every heartbeat and to
// take in this order.
auto ListSharedEjections(const OutlierDetector& outlier_detector)
    -> std::vector<SharedEjection>;

// Takes a verdict of `peer` (its incarnation), once, however often it is
// repeated. One counts as half of what puts a worker aside; own successes
// outweigh it.
auto ApplyPeerEjection(OutlierDetector& outlier_detector,
                       const std::string& peer,
                       const SharedEjection& shared,
                       Now now) -> EjectionUpdate;

struct Exclusions {
  std::vector<WorkerId> excluded;   // put aside; includes those due for a probe
  std::vector<WorkerId> probe_due;  // may get one task
};

// What is asked for: a kind of work, and whether the task may be risked.
struct ProbeTask {
  WorkKind kind;
  bool repeatable = false;
};

// The workers that must not get this task, usually none. A task that is not
// repeatable becomes a probe only when no other has for a while, so that a zone
// without repeatable work gets its workers back.
auto FindExclusions(const OutlierDetector& outlier_detector,
                    const ProbeTask& task,
                    Now now) -> Exclusions;

// Notes that the task goes to a worker as its probe. False when none is due.
auto StartProbe(OutlierDetector& outlier_detector,
                WorkerId worker,
                const ProbeTask& task,
                Now now) -> bool;

// Notes that the probe was refused and says nothing about the worker: another
// may follow at once.
auto CancelProbe(OutlierDetector& outlier_detector,
                 WorkerId worker,
                 const WorkKind& kind) -> void;

// Notes a task that runs far longer than its kind does.
auto RecordStraggler(OutlierDetector& outlier_detector,
                     WorkerId worker,
                     Now now) -> void;
// From 1 (no straggler lately) towards 0: multiplies the worker's speed.
auto StragglerWeight(const OutlierDetector& outlier_detector,
                     WorkerId worker,
                     Now now) -> double;

// Drops a worker that is gone, so that it no longer counts against the cap.
auto RemoveEjections(OutlierDetector& outlier_detector, WorkerId worker)
    -> void;

}  // namespace boragecroft

#endif  // SERVERS_HEALTH_JUDGE_H_
