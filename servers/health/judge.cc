#include "servers/health/judge.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <unordered_set>
#include <utility>

namespace boragecroft {

namespace {

// Evidence at which a subject is put aside, in nats: about one false alarm in
// e^12 = 160,000 tasks of a worker that fails as often as the others.
constexpr auto kEjectEvidence = 12.0;
constexpr auto kBrokenFailureShare = 0.9;
// One job that has not run elsewhere cannot condemn a worker: it takes three.
constexpr auto kMaxEvidenceOfOneJob = kEjectEvidence * 0.4;
constexpr uint32_t kWorkersThatClearAJob = 2;
// Silence may be the job's own length, and comes late: it counts half.
constexpr auto kSilentFailures = 0.5;
// A failed connect has nothing to do with the job: six of them put aside.
constexpr auto kConnectEvidence = 2.2;
constexpr auto kPeerEvidence = kEjectEvidence / 2;
constexpr size_t kMaxSuspectJobs = 16;
// Weight, in workers, of what the kind says when the job says little.
constexpr auto kKindPriorWorkers = 2.0;

constexpr auto kFirstProbeInterval = seconds(1);
constexpr auto kMaxProbeInterval = seconds(64);
constexpr auto kProbeTimeout = seconds(60);
// Overdue by this, a probe may be any task.
constexpr auto kWaitForRepeatable = seconds(30);
constexpr auto kSetbackMemory = seconds(60);
constexpr auto kStragglerHalfLife = std::chrono::duration<double>(10);

auto Wraps(const Subject& subject, WorkerId worker, const WorkKind& kind)
    -> bool {
  return subject.worker == worker &&
         (subject.kind.empty() || subject.kind == kind.kind);
}

auto Covers(const AsideEntry& entry, WorkerId worker, const WorkKind& kind)
    -> bool {
  return Wraps(entry.subject, worker, kind) && entry.service == kind.service;
}

// How likely a task of this job fails on another worker.
struct FailureElsewhere {
  double share = 0;
  bool job_runs_elsewhere = false;
};

auto EstimateElsewhere(const Judge& judge,
                       const JobId& job,
                       const WorkKind& kind,
                       WorkerId worker) -> FailureElsewhere {
  OutcomesElsewhere of_kind;
  if (const auto* tally = judge.kinds.Find(kind)) {
    of_kind = CountElsewhere(*tally, worker);
  }
  OutcomesElsewhere of_job;
  if (const auto* tally = judge.jobs.Find(job)) {
    of_job = CountElsewhere(*tally, worker);
  }
  const auto kind_share =
      (of_kind.failure_share_sum + 0.5) / (of_kind.workers + 1.0);
  const auto share =
      (of_job.failure_share_sum + kKindPriorWorkers * kind_share) /
      (of_job.workers + kKindPriorWorkers);
  return {share, of_job.succeeding >= kWorkersThatClearAJob};
}

// Judged by what is known now: a job that has failed elsewhere since then
// weighs less.
auto EvidenceOf(const Judge& judge, const SuspectJob& suspect, WorkerId worker)
    -> double {
  const auto elsewhere =
      EstimateElsewhere(judge, suspect.job, suspect.kind, worker);
  const auto evidence =
      suspect.failures *
      std::max(0.0, std::log(kBrokenFailureShare / elsewhere.share));
  return elsewhere.job_runs_elsewhere
             ? evidence
             : std::min(evidence, kMaxEvidenceOfOneJob);
}

auto JobEvidence(const Judge& judge,
                 const SubjectRecord& record,
                 WorkerId worker) -> double {
  auto total = 0.0;
  for (const auto& it : record.jobs) {
    total += EvidenceOf(judge, it, worker);
  }
  return total;
}

auto TotalEvidence(const Judge& judge,
                   const SubjectRecord& record,
                   WorkerId worker) -> double {
  return JobEvidence(judge, record, worker) + record.connect_evidence +
         record.peer_evidence - record.credit;
}

auto Clear(SubjectRecord& record) -> void {
  record.jobs.clear();
  record.connect_evidence = 0;
  record.peer_evidence = 0;
  record.credit = 0;
}

// The evidence against a worker and against its pair with a kind overlap: a
// verdict on one uses up both.
auto ClearAll(Judge& judge, const std::vector<Subject>& subjects) -> void {
  for (const auto& it : subjects) {
    Clear(judge.subjects.Touch(it));
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

auto AddEvidence(Judge& judge, const Subject& subject, const Attempt& attempt)
    -> void {
  auto& record = judge.subjects.Touch(subject);
  switch (attempt.outcome) {
    case Outcome::kFailed:
      return AddFailure(record, attempt, 1);
    case Outcome::kSilent:
      return AddFailure(record, attempt, kSilentFailures);
    case Outcome::kConnectFailed:
      record.connect_evidence += kConnectEvidence;
      return;
    case Outcome::kDone:
      return;
  }
}

auto CreditSuccess(Judge& judge, const Subject& subject, const Attempt& attempt)
    -> void {
  auto* record = judge.subjects.Find(subject);
  if (record == nullptr ||
      (record->jobs.empty() &&
       record->connect_evidence + record->peer_evidence == 0)) {
    return;
  }
  const auto elsewhere =
      EstimateElsewhere(judge, attempt.job, attempt.kind, attempt.worker);
  record->credit += std::max(
      0.0, std::log((1 - elsewhere.share) / (1 - kBrokenFailureShare)));
  if (TotalEvidence(judge, *record, attempt.worker) <= 0) {
    Clear(*record);
  }
}

// Whether one more worker of the service may be put aside, for one kind or all.
auto IsUnderCap(const Judge& judge, const std::string& service, WorkerId worker)
    -> bool {
  std::unordered_set<WorkerId> aside = {worker};
  for (const auto& it : judge.aside) {
    if (it.service == service) {
      aside.insert(it.subject.worker);
    }
  }
  const auto it = judge.pool_sizes.find(service);
  const auto pool = it == judge.pool_sizes.end() ? uint64_t{0} : it->second;
  return aside.size() <= pool * judge.max_ejected_percent / 100;
}

auto ProbeInterval(uint32_t setbacks) -> microseconds {
  auto interval = microseconds(kFirstProbeInterval);
  for (uint32_t n = 0; n < setbacks && interval < kMaxProbeInterval; ++n) {
    interval *= 2;
  }
  return std::min<microseconds>(interval, kMaxProbeInterval);
}

auto PutAside(Judge& judge,
              const Subject& subject,
              const std::string& service,
              bool share,
              Now now) -> void {
  auto& record = judge.subjects.Touch(subject);
  const auto healthy_for = now.boot - record.readmitted_at;
  const auto forgotten = static_cast<uint64_t>(
      healthy_for.count() / microseconds(kSetbackMemory).count());
  record.setbacks -=
      static_cast<uint32_t>(std::min<uint64_t>(record.setbacks, forgotten));
  if (subject.kind.empty()) {
    // What holds for all kinds takes the place of verdicts on single kinds.
    ForgetWorker(judge, subject.worker);
  }
  judge.aside.push_back(
      {.subject = subject,
       .service = service,
       .setbacks = record.setbacks,
       .next_probe = now.boot + ProbeInterval(record.setbacks),
       .shared_as = share ? ++judge.last_sequence : 0});
  ++record.setbacks;
}

auto Readmit(Judge& judge, size_t index, Now now) -> Verdict {
  const auto subject = judge.aside[index].subject;
  auto& record = judge.subjects.Touch(subject);
  record.setbacks = judge.aside[index].setbacks + 1;
  record.readmitted_at = now.boot;
  judge.aside.erase(judge.aside.begin() + static_cast<ptrdiff_t>(index));
  return {VerdictKind::kReadmitted, subject};
}

auto SettleProbe(Judge& judge, size_t index, const Attempt& attempt, Now now)
    -> Verdict {
  auto& entry = judge.aside[index];
  // Attempts from before the probe say nothing new.
  if (!entry.probing || attempt.started < entry.probe_started) {
    return {};
  }
  entry.probing = false;
  if (attempt.outcome == Outcome::kDone) {
    ClearAll(judge, SubjectsOf(attempt));
    return Readmit(judge, index, now);
  }
  ++entry.setbacks;
  entry.next_probe = now.boot + ProbeInterval(entry.setbacks);
  return {};
}

auto FindAside(const Judge& judge, WorkerId worker, const WorkKind& kind)
    -> std::optional<size_t> {
  for (size_t n = 0; n < judge.aside.size(); ++n) {
    if (Covers(judge.aside[n], worker, kind)) {
      return n;
    }
  }
  return std::nullopt;
}

auto IsProbeDue(const AsideEntry& entry, bool repeatable, Now now) -> bool {
  const auto due =
      entry.probing ? entry.probe_started + kProbeTimeout : entry.next_probe;
  return now.boot >= due + (repeatable ? seconds(0) : kWaitForRepeatable);
}

}  // namespace

auto SetPoolSize(Judge& judge, const std::string& service, uint32_t workers)
    -> void {
  judge.pool_sizes[service] = workers;
}

auto RecordOutcome(Judge& judge, const Attempt& attempt, Now now) -> Verdict {
  const auto failed = attempt.outcome != Outcome::kDone;
  if (attempt.outcome != Outcome::kConnectFailed) {
    AddOutcome(judge.jobs.Touch(attempt.job), attempt.worker, failed);
    AddOutcome(judge.kinds.Touch(attempt.kind), attempt.worker, failed);
  }
  if (const auto n = FindAside(judge, attempt.worker, attempt.kind)) {
    return SettleProbe(judge, *n, attempt, now);
  }
  // The whole worker before the pair, so that a worker that fails everything is
  // put aside at once.
  const auto subjects = SubjectsOf(attempt);
  if (!failed) {
    for (const auto& it : subjects) {
      CreditSuccess(judge, it, attempt);
    }
    return {};
  }
  for (const auto& it : subjects) {
    AddEvidence(judge, it, attempt);
  }
  for (const auto& it : subjects) {
    const auto& record = judge.subjects.Touch(it);
    const auto evidence = TotalEvidence(judge, record, attempt.worker);
    if (evidence >= kEjectEvidence &&
        IsUnderCap(judge, attempt.kind.service, attempt.worker)) {
      const auto share =
          JobEvidence(judge, record, attempt.worker) >= kEjectEvidence / 2;
      PutAside(judge, it, attempt.kind.service, share, now);
      ClearAll(judge, subjects);
      return {VerdictKind::kPutAside, it};
    }
  }
  return {};
}

auto ListSharedVerdicts(const Judge& judge) -> std::vector<SharedVerdict> {
  std::vector<SharedVerdict> result;
  for (const auto& it : judge.aside) {
    if (it.shared_as > 0) {
      result.push_back({it.subject, it.service, it.shared_as});
    }
  }
  return result;
}

auto TakePeerVerdict(Judge& judge,
                     const std::string& peer,
                     const SharedVerdict& shared,
                     Now now) -> Verdict {
  auto& taken = judge.peer_sequences.Touch(peer);
  if (shared.sequence <= taken) {
    return {};
  }
  taken = shared.sequence;
  if (FindAside(judge, shared.subject.worker,
                {shared.service, shared.subject.kind})) {
    return {};
  }
  auto& record = judge.subjects.Touch(shared.subject);
  record.peer_evidence += kPeerEvidence;
  const auto evidence = TotalEvidence(judge, record, shared.subject.worker);
  if (evidence < kEjectEvidence ||
      !IsUnderCap(judge, shared.service, shared.subject.worker)) {
    return {};
  }
  Clear(record);
  PutAside(judge, shared.subject, shared.service, false, now);
  return {VerdictKind::kPutAside, shared.subject};
}

auto FindExclusions(const Judge& judge, const ProbeTask& task, Now now)
    -> Exclusions {
  Exclusions result;
  for (const auto& it : judge.aside) {
    if (!Covers(it, it.subject.worker, task.kind)) {
      continue;
    }
    result.excluded.push_back(it.subject.worker);
    if (IsProbeDue(it, task.repeatable, now)) {
      result.probe_due.push_back(it.subject.worker);
    }
  }
  return result;
}

auto StartProbe(Judge& judge, WorkerId worker, const ProbeTask& task, Now now)
    -> bool {
  const auto n = FindAside(judge, worker, task.kind);
  if (!n || !IsProbeDue(judge.aside[*n], task.repeatable, now)) {
    return false;
  }
  judge.aside[*n].probing = true;
  judge.aside[*n].probe_started = now.boot;
  return true;
}

auto CancelProbe(Judge& judge, WorkerId worker, const WorkKind& kind) -> void {
  if (const auto n = FindAside(judge, worker, kind)) {
    judge.aside[*n].probing = false;
  }
}

auto RecordStraggler(Judge& judge, WorkerId worker, Now now) -> void {
  const auto weight = StragglerWeight(judge, worker, now);
  judge.stragglers.Touch(worker) = {1 / weight, now.boot};
}

auto StragglerWeight(const Judge& judge, WorkerId worker, Now now) -> double {
  const auto* entry = judge.stragglers.Find(worker);
  if (entry == nullptr) {
    return 1;
  }
  const std::chrono::duration<double> age = now.boot - entry->updated;
  return 1 / (1 + entry->count * std::exp2(-age / kStragglerHalfLife));
}

auto ForgetWorker(Judge& judge, WorkerId worker) -> void {
  std::erase_if(judge.aside, [&](const AsideEntry& it) {
    return it.subject.worker == worker;
  });
}

}  // namespace boragecroft
