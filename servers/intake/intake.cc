#include "servers/intake/intake.h"

#include <algorithm>
#include <utility>

namespace boragecroft {
namespace {

// A job is refused when no holder has been found for this long. A takeover
// takes less while the store is reachable.
constexpr milliseconds kHolderWaitTimeout{150};
constexpr milliseconds kRetryAfter{1000};
// Advice when all zones are evacuated: their return takes an operator, and rows
// take up to 3 s to reach every instance.
constexpr milliseconds kRetryAfterAllEvacuated{5000};
constexpr milliseconds kLongTaskRunTime{500};
// Number of groups that are asked for an immediate start before the job waits
// at one of them. Each request costs a hop of about 1 ms, and the shortest
// objectives are 150 ms.
constexpr size_t kMaxImmediateOffers = 3;

// Reports whether jobs may be handed to the group's holder. Excludes a holder
// that missed a heartbeat, because it may be frozen or without power: it is
// replaced only after more than 0.5 s, and the jobs handed to it in the
// meantime would be lost with it.
auto IsOpen(const GroupView& view) -> bool {
  return view.reachable && view.ready && !view.leaving &&
         !view.heartbeat_missed;
}

// Reports whether the tasks are long. Handles bursts of long jobs: on slow
// workers tasks of this length seldom end before their caller leaves.
auto IsLong(const JobOffer& offer) -> bool {
  return offer.run_estimate >= kLongTaskRunTime;
}

// Returns the free slots that remain after the waiting tasks and the tasks of
// this job have been started; may be negative. For long tasks only the slots on
// fast workers count.
auto FreeSlotMargin(const GroupView& view, const JobOffer& offer) -> int64_t {
  const auto slots =
      IsLong(offer) ? view.load.fast_slots : view.load.free_slots;
  return static_cast<int64_t>(slots) - static_cast<int64_t>(view.load.waiting) -
         static_cast<int64_t>(offer.count);
}

// Reports whether the group must not get the job because it is evacuated.
auto IsEvacuatedFor(const Intake& state,
                    const AcceptedJob& job,
                    const std::string& group) -> bool {
  return state.evacuated.groups.contains(group) ||
         job.given_back_by.contains(group);
}

// Returns the group to hand the job to; empty when none is open. The group of
// the own zone is preferred while it has enough free slots, otherwise the group
// with the most free slots is chosen.
auto ChooseGroup(const Intake& state,
                 const AcceptedJob& job,
                 const std::set<std::string>& excluded) -> std::string {
  std::string best;
  int64_t best_margin = 0;
  for (const auto& [group, view] : state.groups) {
    if (!IsOpen(view) || excluded.contains(group) ||
        IsEvacuatedFor(state, job, group)) {
      continue;
    }
    const auto margin = FreeSlotMargin(view, job.offer);
    if (group == state.zone && margin >= 0) {
      return group;
    }
    if (best.empty() || margin > best_margin) {
      best = group;
      best_margin = margin;
    }
  }
  return best;
}

// Returns the group to ask for an immediate start; empty when enough groups
// have been asked.
auto ChooseGroupForImmediateStart(const Intake& state, const AcceptedJob& job)
    -> std::string {
  if (job.full_groups.size() >= kMaxImmediateOffers) {
    return {};
  }
  auto excluded = job.refused_by;
  excluded.insert(job.full_groups.begin(), job.full_groups.end());
  return ChooseGroup(state, job, excluded);
}

auto OfferAt(const AcceptedJob& job, Instant now) -> JobOffer {
  auto offer = job.offer;
  offer.age = std::chrono::duration_cast<milliseconds>(now - job.arrived);
  offer.remaining =
      std::chrono::duration_cast<milliseconds>(job.deadline - now);
  return offer;
}

auto HandOverTo(Intake& state,
                AcceptedJob& job,
                const std::string& group,
                Instant now,
                IntakeCommands& out) -> void {
  auto& view = state.groups[group];
  job.group = group;
  job.token = view.token;
  job.last_token = view.token;
  const auto elsewhere =
      !job.given_back_by.empty() ||
      (group != state.zone && state.evacuated.groups.contains(state.zone));
  out.push_back(HandOver{.group = group,
                         .offer = OfferAt(job, now),
                         .sent_elsewhere = elsewhere && !job.sent_elsewhere});
  job.sent_elsewhere = job.sent_elsewhere || elsewhere;
  // Until the holder's next report, the tasks that were just handed over are
  // counted as started.
  const auto placed = std::min(view.load.free_slots, job.offer.count);
  view.load.free_slots -= placed;
  if (IsLong(job.offer)) {
    view.load.fast_slots -= std::min(view.load.fast_slots, placed);
  }
  view.load.waiting += job.offer.count - placed;
  job.offer.may_run_elsewhere = true;
}

// Offers the job to the next group; returns false when no group is open.
// Handles jobs with many tasks whose own zone is fully used while another zone
// has free slots: the groups are asked one after the other for an immediate
// start, and only when none can start the job it waits at the group with the
// most free slots.
auto OfferToNextGroup(Intake& state,
                      AcceptedJob& job,
                      Instant now,
                      IntakeCommands& out) -> bool {
  const auto immediate_group = ChooseGroupForImmediateStart(state, job);
  const auto group = immediate_group.empty()
                         ? ChooseGroup(state, job, job.refused_by)
                         : immediate_group;
  if (group.empty()) {
    return false;
  }
  job.offer.immediate_only = !immediate_group.empty();
  HandOverTo(state, job, group, now, out);
  return true;
}

auto Answer(Intake& state,
            JobName name,
            JobOutcome outcome,
            milliseconds retry_after,
            IntakeCommands& out) -> void {
  const auto it = state.jobs.find(name);
  out.push_back(AnswerJob{
      .result = {.name = name, .outcome = outcome, .retry_after = retry_after},
      .group = it->second.group});
  state.jobs.erase(it);
}

auto RefuseAllEvacuated(Intake& state, JobName name, IntakeCommands& out)
    -> void {
  Answer(state, name, JobOutcome::kRefused, kRetryAfterAllEvacuated, out);
  std::get<AnswerJob>(out.back()).all_evacuated = true;
}

// Offers a job that no holder has to the next group. When none is open, the job
// waits for a holder; when all groups are evacuated, it is refused.
auto PlaceUnheldJob(Intake& state,
                    JobName name,
                    Instant now,
                    IntakeCommands& out) -> void {
  if (state.evacuated.all) {
    RefuseAllEvacuated(state, name, out);
    return;
  }
  OfferToNextGroup(state, state.jobs.at(name), now, out);
}

// Handles that the holder of an evacuated group gave the job back. That is no
// sign of a full group, so that the job keeps all its tries elsewhere.
auto HandleGivenBack(Intake& state,
                     JobName name,
                     Instant now,
                     IntakeCommands& out) -> void {
  auto& job = state.jobs.at(name);
  job.given_back_by.insert(job.group);
  job.group.clear();
  job.token = 0;
  job.offer.immediate_only = false;
  PlaceUnheldJob(state, name, now, out);
}

// Handles a result that answers an earlier offer than the one that the holder
// has now. This happens when a holder stops responding until the origins hand
// their jobs over again, and then answers both offers. An earlier refusal or
// stop is ignored, because the holder accepts the job again with the later
// offer. A job that has ended must not run again.
auto HandleEarlierResult(Intake& state,
                         const std::string& group,
                         const JobResult& result,
                         IntakeCommands& out) -> void {
  const auto ended = result.outcome == JobOutcome::kDone ||
                     result.outcome == JobOutcome::kFailed ||
                     result.outcome == JobOutcome::kCancelled;
  if (!ended) {
    return;
  }
  out.push_back(WithdrawJob{.group = group, .job = result.name});
  Answer(state, result.name, result.outcome, result.retry_after, out);
}

// Hands the job to the successor of its holder, marked as one that may have
// run.
auto MoveToSuccessor(Intake& state,
                     AcceptedJob& job,
                     Instant now,
                     IntakeCommands& out) -> void {
  ++job.offer.submission;
  job.offer.may_run_elsewhere = true;
  job.offer.immediate_only = false;
  const auto group = job.group;
  HandOverTo(state, job, group, now, out);
}

// Handles the loss of the connection to the holder: its jobs will be handed
// over again, to it or to its successor.
auto ClearHolder(Intake& state, const std::string& group) -> void {
  for (auto& [name, job] : state.jobs) {
    if (job.group == group) {
      job.token = 0;
    }
  }
}

// Answers a job that this instance gives up, and withdraws it from its holder.
auto GiveUp(Intake& state, JobName name, IntakeCommands& out) -> void {
  const auto group = state.jobs.at(name).group;
  if (group.empty()) {
    Answer(state, name, JobOutcome::kRefused, kRetryAfter, out);
    return;
  }
  out.push_back(WithdrawJob{.group = group, .job = name});
  Answer(state, name, JobOutcome::kStopped, milliseconds{0}, out);
}

auto GiveUpAt(const AcceptedJob& job) -> Instant {
  return job.group.empty()
             ? std::min(job.deadline, job.arrived + kHolderWaitTimeout)
             : job.deadline;
}

}  // namespace

auto OnJob(Intake& state, JobOffer offer, Instant now, IntakeCommands& out)
    -> void {
  const auto name = offer.name;
  AcceptedJob job;
  job.arrived = now;
  job.deadline = now + offer.remaining;
  job.offer = std::move(offer);
  state.jobs.emplace(name, std::move(job));
  PlaceUnheldJob(state, name, now, out);
}

auto OnCallerDisconnected(Intake& state, JobName job, IntakeCommands& out)
    -> void {
  const auto it = state.jobs.find(job);
  if (it == state.jobs.end()) {
    return;
  }
  if (!it->second.group.empty()) {
    out.push_back(WithdrawJob{.group = it->second.group, .job = job});
  }
  state.jobs.erase(it);
}

auto OnCancelledByCaller(Intake& state, JobName job, IntakeCommands& out)
    -> bool {
  const auto it = state.jobs.find(job);
  if (it == state.jobs.end()) {
    return false;
  }
  if (!it->second.group.empty()) {
    out.push_back(WithdrawJob{.group = it->second.group, .job = job});
  }
  Answer(state, job, JobOutcome::kCancelled, milliseconds{0}, out);
  return true;
}

auto OnResult(Intake& state,
              const std::string& group,
              uint64_t token,
              const JobResult& result,
              Instant now,
              IntakeCommands& out) -> void {
  const auto it = state.jobs.find(result.name);
  if (it == state.jobs.end() || it->second.group != group ||
      it->second.token != token) {
    return;
  }
  auto& job = it->second;
  if (result.submission != job.offer.submission) {
    HandleEarlierResult(state, group, result, out);
    return;
  }
  if (result.outcome != JobOutcome::kRefused) {
    Answer(state, result.name, result.outcome, result.retry_after, out);
    return;
  }
  // The refusal guarantees that nothing has run there, so another group may get
  // the job.
  job.offer.may_run_elsewhere = false;
  if (result.evacuated) {
    HandleGivenBack(state, result.name, now, out);
    return;
  }
  if (job.offer.immediate_only) {
    job.full_groups.insert(group);
    if (!OfferToNextGroup(state, job, now, out)) {
      Answer(state, result.name, JobOutcome::kRefused, kRetryAfter, out);
    }
    return;
  }
  job.refused_by.insert(group);
  const auto other = ChooseGroup(state, job, job.refused_by);
  const auto fits =
      !other.empty() && FreeSlotMargin(state.groups[other], job.offer) >= 0;
  if (fits) {
    HandOverTo(state, job, other, now, out);
    return;
  }
  Answer(state, result.name, JobOutcome::kRefused, result.retry_after, out);
}

auto OnGroupView(Intake& state,
                 const std::string& group,
                 const GroupView& view,
                 Instant now,
                 IntakeCommands& out) -> void {
  state.groups[group] = view;
  if (!view.reachable) {
    ClearHolder(state, group);
    return;
  }
  std::vector<JobName> moved;
  for (const auto& [name, job] : state.jobs) {
    if (GiveUpAt(job) <= now) {
      continue;
    }
    const auto waits =
        job.group.empty() && IsOpen(view) && !IsEvacuatedFor(state, job, group);
    const auto lost = job.group == group && job.token != view.token;
    if (waits || lost) {
      moved.push_back(name);
    }
  }
  for (const auto name : moved) {
    auto& job = state.jobs.at(name);
    if (job.group.empty()) {
      HandOverTo(state, job, group, now, out);
    } else if (state.evacuated.groups.contains(group) &&
               job.last_token != view.token) {
      // A successor may not have learned of the evacuation, and would start the
      // job. The runs of the lost holder end with their leases.
      Answer(state, name, JobOutcome::kStopped, milliseconds{0}, out);
    } else {
      MoveToSuccessor(state, job, now, out);
    }
  }
}

auto OnEvacuatedGroups(Intake& state,
                       EvacuatedGroups evacuated,
                       Instant now,
                       IntakeCommands& out) -> void {
  if (evacuated == state.evacuated) {
    return;
  }
  state.evacuated = std::move(evacuated);
  std::vector<JobName> waiting;
  for (const auto& [name, job] : state.jobs) {
    if (job.group.empty() && GiveUpAt(job) > now) {
      waiting.push_back(name);
    }
  }
  for (const auto name : waiting) {
    PlaceUnheldJob(state, name, now, out);
  }
}

auto OnTime(Intake& state, Instant now, IntakeCommands& out) -> void {
  std::vector<JobName> due;
  for (const auto& [name, job] : state.jobs) {
    if (GiveUpAt(job) <= now) {
      due.push_back(name);
    }
  }
  for (const auto name : due) {
    GiveUp(state, name, out);
  }
}

auto OnStopping(Intake& state, IntakeCommands& out) -> void {
  while (!state.jobs.empty()) {
    GiveUp(state, state.jobs.begin()->first, out);
  }
}

auto NextDue(const Intake& state) -> std::optional<Instant> {
  std::optional<Instant> next;
  for (const auto& [name, job] : state.jobs) {
    const auto at = GiveUpAt(job);
    next = next ? std::min(*next, at) : at;
  }
  return next;
}

}  // namespace boragecroft
