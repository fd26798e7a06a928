// Detects faulty workers (outlier ejection). A worker that fails tasks which
// succeed on other workers is ejected and probed at growing intervals; a job
// that fails on every worker does not cause an ejection.
//
// Each worker, and each pair of a worker and a kind of work, has a cumulative
// sum of log-likelihood ratios (CUSUM): a failure adds ln(P(fail | faulty
// worker) / P(fail elsewhere)), a success subtracts ln(P(done elsewhere) /
// P(done | faulty worker)).
#ifndef SERVERS_HEALTH_OUTLIER_DETECTOR_H_
#define SERVERS_HEALTH_OUTLIER_DETECTOR_H_

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

// Outcome of an attempt, as far as it says something about the worker. Refusals
// do not.
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

// Unit that can be ejected: a worker for one kind of work, or for all kinds
// when `kind` is empty.
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
  // An attempt without a response counts as half a failure.
  double failures = 0;
};

struct SubjectRecord {
  std::vector<SuspectJob> jobs;
  double connect_evidence = 0;
  double peer_evidence = 0;  // from ejections by other instances
  double credit = 0;  // evidence against the subject that successes cancel
  // Times ejected; decreases by one per 60 s of health.
  uint32_t ejection_count = 0;
  Instant readmitted_at{};
};

struct Ejection {
  Subject subject;
  std::string service;
  uint32_t ejection_count = 0;
  Instant next_probe{};
  bool probing = false;
  Instant probe_started{};
  uint64_t shared_sequence = 0;  // sequence number under which peers get this
                                 // ejection; 0 if it is not shared
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
  uint64_t last_sequence = 0;  // of the ejections shared with peers
  LruMap<std::string, uint64_t> peer_sequences{
      kMaxTrackedPeers};  // highest sequence applied
};

enum class EjectionChange : uint8_t { kUnchanged, kEjected, kReadmitted };

struct EjectionUpdate {
  EjectionChange kind = EjectionChange::kUnchanged;
  Subject subject;
};

// Sets the number of workers of a service, which limits the share that may be
// ejected.
auto SetPoolSize(OutlierDetector& outlier_detector,
                 const std::string& service,
                 uint32_t workers) -> void;

// Records the outcome of one attempt and returns the ejection or readmission
// that it caused.
auto RecordOutcome(OutlierDetector& outlier_detector,
                   const Attempt& attempt,
                   Now now) -> EjectionUpdate;

// Ejection that an instance reports to the other instances of its zone, so that
// each of them needs less evidence of its own. Only ejections caused by failed
// tasks are shared: failed connects say something about a network path, not
// about the worker.
struct SharedEjection {
  Subject subject;
  std::string service;
  uint64_t sequence = 0;  // increases with each ejection of one process
};

// Returns the ejections in force, in the order of their sequence numbers. They
// are sent in every heartbeat and applied in this order.
auto ListSharedEjections(const OutlierDetector& outlier_detector)
    -> std::vector<SharedEjection>;

// Applies an ejection reported by `peer` (its incarnation) once, however often
// it is repeated. One report counts as half of the evidence that ejects a
// worker; successes on this instance outweigh it.
auto ApplyPeerEjection(OutlierDetector& outlier_detector,
                       const std::string& peer,
                       const SharedEjection& shared,
                       Now now) -> EjectionUpdate;

struct Exclusions {
  std::vector<WorkerId> excluded;   // ejected, including those due for a probe
  std::vector<WorkerId> probe_due;  // may get one task as a probe
};

// Task to be placed: its kind of work, and whether it is repeatable and may
// therefore be sent to an ejected worker.
struct ProbeTask {
  WorkKind kind;
  bool repeatable = false;
};

// Returns the workers that must not get this task; usually none. A task that is
// not repeatable becomes a probe only when a probe is overdue by 30 s, so that
// workers are readmitted also in a zone without repeatable work.
auto FindExclusions(const OutlierDetector& outlier_detector,
                    const ProbeTask& task,
                    Now now) -> Exclusions;

// Records that the task is sent to a worker as its probe. Returns false if no
// probe is due.
auto StartProbe(OutlierDetector& outlier_detector,
                WorkerId worker,
                const ProbeTask& task,
                Now now) -> bool;

// Records that the probe was refused and gave no information about the worker.
// Another probe may follow immediately.
auto CancelProbe(OutlierDetector& outlier_detector,
                 WorkerId worker,
                 const WorkKind& kind) -> void;

// Records that a task runs far longer than other tasks of its kind.
auto RecordStraggler(OutlierDetector& outlier_detector,
                     WorkerId worker,
                     Now now) -> void;
// Returns the factor for the worker's speed: 1 without a recent straggler,
// closer to 0 the more stragglers there were recently.
auto StragglerWeight(const OutlierDetector& outlier_detector,
                     WorkerId worker,
                     Now now) -> double;

// Removes the ejections of a worker that was removed from the fleet, so that it
// no longer counts against the limit.
auto RemoveEjections(OutlierDetector& outlier_detector, WorkerId worker)
    -> void;

}  // namespace boragecroft

#endif  // SERVERS_HEALTH_OUTLIER_DETECTOR_H_
