#include "servers/health/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <unordered_set>
#include <utility>

namespace boragecroft {

namespace {

// Evidence at which a subject is ejected, in nats. At this value about one task
// in e^12 = 160,000 ejects by mistake a worker that fails as often as the
// others.
constexpr auto kEjectEvidence = 12.0;
constexpr auto kFaultyWorkerFailureShare = 0.9;
// One job that has not succeeded elsewhere cannot eject a worker; it takes
// three such jobs.
constexpr auto kMaxEvidencePerUnclearedJob = kEjectEvidence * 0.4;
constexpr uint32_t kSucceedingWorkersToClearJob = 2;
// A missing response may be caused by a job that runs long, and it is noticed
// late; it counts as half a failure.
constexpr auto kNoResponseFailureWeight = 0.5;
// A failed connect does not depend on the job; six of them eject a worker.
constexpr auto kConnectEvidence = 2.2;
constexpr auto kPeerEvidence = kEjectEvidence / 2;
constexpr size_t kMaxSuspectJobs = 16;
// Weight, in workers, of the failure share of the kind relative to that of the
// job.
constexpr auto kKindPriorWorkers = 2.0;

constexpr auto kFirstProbeInterval = seconds(1);
constexpr auto kMaxProbeInterval = seconds(64);
constexpr auto kProbeTimeout = seconds(60);
// A probe that is overdue by this time may be any task.
constexpr auto kNonRepeatableProbeDelay = seconds(30);
constexpr auto kEjectionForgetInterval = seconds(60);
constexpr auto kStragglerHalfLife = std::chrono::duration<double>(10);

auto MatchesSubject(const Subject& subject,
                    WorkerId worker,
                    const WorkKind& kind) -> bool {
  return subject.worker == worker &&
         (subject.kind.empty() || subject.kind == kind.kind);
}

auto AppliesTo(const Ejection& entry, WorkerId worker, const WorkKind& kind)
    -> bool {
  return MatchesSubject(entry.subject, worker, kind) &&
         entry.service == kind.service;
}

// Estimate of how often a task of a job fails on other workers.
struct FailureElsewhere {
  double share = 0;
  bool job_runs_elsewhere = false;
};

auto EstimateFailureElsewhere(const OutlierDetector& outlier_detector,
                              const JobId& job,
                              const WorkKind& kind,
                              WorkerId worker) -> FailureElsewhere {
  OutcomesElsewhere of_kind;
  if (const auto* tally = outlier_detector.kinds.Find(kind)) {
    of_kind = CountOutcomesElsewhere(*tally, worker);
  }
  OutcomesElsewhere of_job;
  if (const auto* tally = outlier_detector.jobs.Find(job)) {
    of_job = CountOutcomesElsewhere(*tally, worker);
  }
  const auto kind_share =
      (of_kind.failure_share_sum + 0.5) / (of_kind.workers + 1.0);
  const auto share =
      (of_job.failure_share_sum + kKindPriorWorkers * kind_share) /
      (of_job.workers + kKindPriorWorkers);
  return {share, of_job.succeeding >= kSucceedingWorkersToClearJob};
}

// Evaluates the evidence with what is known now: if the job has failed
// elsewhere since, the failure weighs less.
auto EvidenceOf(const OutlierDetector& outlier_detector,
                const SuspectJob& suspect,
                WorkerId worker) -> double {
  const auto elsewhere = EstimateFailureElsewhere(outlier_detector, suspect.job,
                                                  suspect.kind, worker);
  const auto evidence =
      suspect.failures *
      std::max(0.0, std::log(kFaultyWorkerFailureShare / elsewhere.share));
  return elsewhere.job_runs_elsewhere
             ? evidence
             : std::min(evidence, kMaxEvidencePerUnclearedJob);
}

auto JobEvidence(const OutlierDetector& outlier_detector,
                 const SubjectRecord& record,
                 WorkerId worker) -> double {
  auto total = 0.0;
  for (const auto& it : record.jobs) {
    total += EvidenceOf(outlier_detector, it, worker);
  }
  return total;
}

auto TotalEvidence(const OutlierDetector& outlier_detector,
                   const SubjectRecord& record,
                   WorkerId worker) -> double {
  return JobEvidence(outlier_detector, record, worker) +
         record.connect_evidence + record.peer_evidence - record.credit;
}

auto ClearEvidence(SubjectRecord& record) -> void {
  record.jobs.clear();
  record.connect_evidence = 0;
  record.peer_evidence = 0;
  record.credit = 0;
}

// Clears the evidence against a worker and against its pair with a kind. The
// two overlap, so an ejection or a readmission of one uses up the evidence of
// both.
auto ClearEvidenceOfAll(OutlierDetector& outlier_detector,
                        const std::vector<Subject>& subjects) -> void {
  for (const auto& it : subjects) {
    ClearEvidence(outlier_detector.subjects.Touch(it));
  }
}

auto SubjectsOf(const Attempt& attempt) -> std::vector<Subject> {
  std::vector<Subject> subjects = {{attempt.worker, ""}};
  if (!attempt.kind.kind.empty()) {
    subjects.push_back({attempt.worker, attempt.kind.kind});
  }
  return subjects;
}

auto AddFailure(SubjectRecord& record, const Attempt& attempt, double failures)
    -> void {
  const auto it = std::find_if(
      record.jobs.begin(), record.jobs.end(),
      [&](const SuspectJob& entry) { return entry.job == attempt.job; });
  if (it != record.jobs.end()) {
    it->failures += failures;
    return;
  }
  if (record.jobs.size() >= kMaxSuspectJobs) {
    record.jobs.erase(record.jobs.begin());
  }
  record.jobs.push_back({attempt.job, attempt.kind, failures});
}

auto AddEvidence(OutlierDetector& outlier_detector,
                 const Subject& subject,
                 const Attempt& attempt) -> void {
  auto& record = outlier_detector.subjects.Touch(subject);
  switch (attempt.outcome) {
    case Outcome::kFailed:
      return AddFailure(record, attempt, 1);
    case Outcome::kNoResponse:
      return AddFailure(record, attempt, kNoResponseFailureWeight);
    case Outcome::kConnectFailed:
      record.connect_evidence += kConnectEvidence;
      return;
    case Outcome::kDone:
      return;
  }
}

auto CreditSuccess(OutlierDetector& outlier_detector,
                   const Subject& subject,
                   const Attempt& attempt) -> void {
  auto* record = outlier_detector.subjects.Find(subject);
  if (record == nullptr ||
      (record->jobs.empty() &&
       record->connect_evidence + record->peer_evidence == 0)) {
    return;
  }
  const auto elsewhere = EstimateFailureElsewhere(outlier_detector, attempt.job,
                                                  attempt.kind, attempt.worker);
  record->credit += std::max(
      0.0, std::log((1 - elsewhere.share) / (1 - kFaultyWorkerFailureShare)));
  if (TotalEvidence(outlier_detector, *record, attempt.worker) <= 0) {
    ClearEvidence(*record);
  }
}

// Reports whether one more worker of the service may be ejected, for one kind
// or for all.
auto IsBelowEjectionCap(const OutlierDetector& outlier_detector,
                        const std::string& service,
                        WorkerId worker) -> bool {
  std::unordered_set<WorkerId> ejected = {worker};
  for (const auto& it : outlier_detector.ejections) {
    if (it.service == service) {
      ejected.insert(it.subject.worker);
    }
  }
  const auto it = outlier_detector.pool_sizes.find(service);
  const auto pool =
      it == outlier_detector.pool_sizes.end() ? uint64_t{0} : it->second;
  return ejected.size() <= pool * outlier_detector.max_ejected_percent / 100;
}

auto ProbeInterval(uint32_t ejection_count) -> microseconds {
  auto interval = microseconds(kFirstProbeInterval);
  for (uint32_t n = 0; n < ejection_count && interval < kMaxProbeInterval;
       ++n) {
    interval *= 2;
  }
  return std::min<microseconds>(interval, kMaxProbeInterval);
}

auto Eject(OutlierDetector& outlier_detector,
           const Subject& subject,
           const std::string& service,
           bool share,
           Now now) -> void {
  auto& record = outlier_detector.subjects.Touch(subject);
  const auto healthy_for = now.boot - record.readmitted_at;
  const auto forgotten_ejections = static_cast<uint64_t>(
      healthy_for.count() / microseconds(kEjectionForgetInterval).count());
  record.ejection_count -= static_cast<uint32_t>(
      std::min<uint64_t>(record.ejection_count, forgotten_ejections));
  if (subject.kind.empty()) {
    // An ejection for all kinds replaces ejections for single kinds.
    RemoveEjections(outlier_detector, subject.worker);
  }
  outlier_detector.ejections.push_back(
      {.subject = subject,
       .service = service,
       .ejection_count = record.ejection_count,
       .next_probe = now.boot + ProbeInterval(record.ejection_count),
       .shared_sequence = share ? ++outlier_detector.last_sequence : 0});
  ++record.ejection_count;
}

auto Readmit(OutlierDetector& outlier_detector, size_t index, Now now)
    -> EjectionUpdate {
  const auto subject = outlier_detector.ejections[index].subject;
  auto& record = outlier_detector.subjects.Touch(subject);
  record.ejection_count = outlier_detector.ejections[index].ejection_count + 1;
  record.readmitted_at = now.boot;
  outlier_detector.ejections.erase(outlier_detector.ejections.begin() +
                                   static_cast<ptrdiff_t>(index));
  return {EjectionChange::kReadmitted, subject};
}

auto HandleProbeOutcome(OutlierDetector& outlier_detector,
                        size_t index,
                        const Attempt& attempt,
                        Now now) -> EjectionUpdate {
  auto& entry = outlier_detector.ejections[index];
  // Attempts that started before the probe give no new information.
  if (!entry.probing || attempt.started < entry.probe_started) {
    return {};
  }
  entry.probing = false;
  if (attempt.outcome == Outcome::kDone) {
    ClearEvidenceOfAll(outlier_detector, SubjectsOf(attempt));
    return Readmit(outlier_detector, index, now);
  }
  ++entry.ejection_count;
  entry.next_probe = now.boot + ProbeInterval(entry.ejection_count);
  return {};
}

auto FindEjection(const OutlierDetector& outlier_detector,
                  WorkerId worker,
                  const WorkKind& kind) -> std::optional<size_t> {
  for (size_t n = 0; n < outlier_detector.ejections.size(); ++n) {
    if (AppliesTo(outlier_detector.ejections[n], worker, kind)) {
      return n;
    }
  }
  return std::nullopt;
}

auto IsProbeDue(const Ejection& entry, bool repeatable, Now now) -> bool {
  const auto due =
      entry.probing ? entry.probe_started + kProbeTimeout : entry.next_probe;
  return now.boot >= due + (repeatable ? seconds(0) : kNonRepeatableProbeDelay);
}

}  // namespace

auto SetPoolSize(OutlierDetector& outlier_detector,
                 const std::string& service,
                 uint32_t workers) -> void {
  outlier_detector.pool_sizes[service] = workers;
}

auto RecordOutcome(OutlierDetector& outlier_detector,
                   const Attempt& attempt,
                   Now now) -> EjectionUpdate {
  const auto failed = attempt.outcome != Outcome::kDone;
  if (attempt.outcome != Outcome::kConnectFailed) {
    AddOutcome(outlier_detector.jobs.Touch(attempt.job), attempt.worker,
               failed);
    AddOutcome(outlier_detector.kinds.Touch(attempt.kind), attempt.worker,
               failed);
  }
  if (const auto n =
          FindEjection(outlier_detector, attempt.worker, attempt.kind)) {
    return HandleProbeOutcome(outlier_detector, *n, attempt, now);
  }
  // The subject for the whole worker is evaluated before the pair with the
  // kind, so that a worker that fails everything is ejected for all kinds
  // immediately.
  const auto subjects = SubjectsOf(attempt);
  if (!failed) {
    for (const auto& it : subjects) {
      CreditSuccess(outlier_detector, it, attempt);
    }
    return {};
  }
  for (const auto& it : subjects) {
    AddEvidence(outlier_detector, it, attempt);
  }
  for (const auto& it : subjects) {
    const auto& record = outlier_detector.subjects.Touch(it);
    const auto evidence =
        TotalEvidence(outlier_detector, record, attempt.worker);
    if (evidence >= kEjectEvidence &&
        IsBelowEjectionCap(outlier_detector, attempt.kind.service,
                           attempt.worker)) {
      const auto share = JobEvidence(outlier_detector, record,
                                     attempt.worker) >= kEjectEvidence / 2;
      Eject(outlier_detector, it, attempt.kind.service, share, now);
      ClearEvidenceOfAll(outlier_detector, subjects);
      return {EjectionChange::kEjected, it};
    }
  }
  return {};
}

auto ListSharedEjections(const OutlierDetector& outlier_detector)
    -> std::vector<SharedEjection> {
  std::vector<SharedEjection> result;
  for (const auto& it : outlier_detector.ejections) {
    if (it.shared_sequence > 0) {
      result.push_back({it.subject, it.service, it.shared_sequence});
    }
  }
  return result;
}

auto ApplyPeerEjection(OutlierDetector& outlier_detector,
                       const std::string& peer,
                       const SharedEjection& shared,
                       Now now) -> EjectionUpdate {
  auto& last_applied = outlier_detector.peer_sequences.Touch(peer);
  if (shared.sequence <= last_applied) {
    return {};
  }
  last_applied = shared.sequence;
  if (FindEjection(outlier_detector, shared.subject.worker,
                   {shared.service, shared.subject.kind})) {
    return {};
  }
  auto& record = outlier_detector.subjects.Touch(shared.subject);
  record.peer_evidence += kPeerEvidence;
  const auto evidence =
      TotalEvidence(outlier_detector, record, shared.subject.worker);
  if (evidence < kEjectEvidence ||
      !IsBelowEjectionCap(outlier_detector, shared.service,
                          shared.subject.worker)) {
    return {};
  }
  ClearEvidence(record);
  Eject(outlier_detector, shared.subject, shared.service, false, now);
  return {EjectionChange::kEjected, shared.subject};
}

auto FindExclusions(const OutlierDetector& outlier_detector,
                    const ProbeTask& task,
                    Now now) -> Exclusions {
  Exclusions result;
  for (const auto& it : outlier_detector.ejections) {
    if (!AppliesTo(it, it.subject.worker, task.kind)) {
      continue;
    }
    result.excluded.push_back(it.subject.worker);
    if (IsProbeDue(it, task.repeatable, now)) {
      result.probe_due.push_back(it.subject.worker);
    }
  }
  return result;
}

auto StartProbe(OutlierDetector& outlier_detector,
                WorkerId worker,
                const ProbeTask& task,
                Now now) -> bool {
  const auto n = FindEjection(outlier_detector, worker, task.kind);
  if (!n || !IsProbeDue(outlier_detector.ejections[*n], task.repeatable, now)) {
    return false;
  }
  outlier_detector.ejections[*n].probing = true;
  outlier_detector.ejections[*n].probe_started = now.boot;
  return true;
}

auto CancelProbe(OutlierDetector& outlier_detector,
                 WorkerId worker,
                 const WorkKind& kind) -> void {
  if (const auto n = FindEjection(outlier_detector, worker, kind)) {
    outlier_detector.ejections[*n].probing = false;
  }
}

auto RecordStraggler(OutlierDetector& outlier_detector,
                     WorkerId worker,
                     Now now) -> void {
  const auto weight = StragglerWeight(outlier_detector, worker, now);
  outlier_detector.stragglers.Touch(worker) = {1 / weight, now.boot};
}

auto StragglerWeight(const OutlierDetector& outlier_detector,
                     WorkerId worker,
                     Now now) -> double {
  const auto* entry = outlier_detector.stragglers.Find(worker);
  if (entry == nullptr) {
    return 1;
  }
  const std::chrono::duration<double> age = now.boot - entry->updated;
  return 1 / (1 + entry->count * std::exp2(-age / kStragglerHalfLife));
}

auto RemoveEjections(OutlierDetector& outlier_detector, WorkerId worker)
    -> void {
  std::erase_if(outlier_detector.ejections, [&](const Ejection& it) {
    return it.subject.worker == worker;
  });
}

}  // namespace boragecroft
