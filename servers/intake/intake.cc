#include "servers/intake/intake.h"

#include <algorithm>
#include <utility>

namespace boragecroft {
namespace {

// A job is refused when no holder was found for this long: a takeover with the
// store there takes less.
constexpr milliseconds kHolderWaitTimeout{150};
constexpr milliseconds kRetryAfter{1000};
constexpr milliseconds kLongTaskRunTime{500};
// Groups that are asked for room at once before a job waits: each costs a hop
// of a millisecond, and the shortest objectives are 150 ms.
constexpr size_t kMaxImmediateOffers = 3;

// Load answered: a holder that froze or lost power. It is replaced after more
// than half a second; jobs that came meanwhile would be lost with it.
auto IsOpen(const GroupView& view) -> bool {
  return view.reachable && view.ready && !view.leaving &&
         !view.heartbeat_missed;
}

// Load answered: bursts of long jobs. Tasks this long end before their caller
// leaves on the fast workers only, as a rule: callers wait 1.5 s.
auto IsLong(const JobOffer& offer) -> bool {
  return offer.run_estimate >= kLongTaskRunTime;
}

// Room left when the waiting tasks and this job's have theirs; may be negative.
// For long tasks only the room on fast workers counts.
auto FreeSlotMargin(const GroupView& view, const JobOffer& offer) -> int64_t {
  const auto slots =
      IsLong(offer) ? view.load.fast_slots : view.load.free_slots;
  return static_cast<int64_t>(slots) - static_cast<int64_t>(view.load.waiting) -
         static_cast<int64_t>(offer.count);
}

// The group to hand a job to; empty when none is open. The own zone's group
// goes first while it has room, else the one with the most.
auto ChooseGroup(const Intake& state,
                 const AcceptedJob& job,
                 const std::set<std::string>& excluded) -> std::string {
  std::string best;
  int64_t best_margin = 0;
  for (const auto& [group, view] : state.groups) {
    if (!IsOpen(view) || excluded.contains(group)) {
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

// The group to ask for room at once; empty when enough were asked.
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
  out.push_back(HandOver{.group = group, .offer = OfferAt(job, now)});
  // Until the holder's next word, what was just handed over counts as placed.
  const auto placed = std::min(view.load.free_slots, job.offer.count);
  view.load.free_slots -= placed;
  if (IsLong(job.offer)) {
    view.load.fast_slots -= std::min(view.load.fast_slots, placed);
  }
  view.load.waiting += job.offer.count - placed;
  job.offer.may_run_elsewhere = true;
}

// Load answered: wide jobs that find their own zone full while another has
// room. Groups are asked in turn for room at once; only when none has it the
// job waits, where there is most. False: no group is open.
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

// A result that answers an earlier offer than the one that the holder has now.
// Load answered: a holder that stands still until its takers hand their jobs
// over again, and then answers both. What it refused or stopped first it takes
// on with the later offer; what has ended must not run again.
auto HandleEarlierResult(Intake& state,
                         const std::string& group,
                         const JobResult& result,
                         IntakeCommands& out) -> void {
  const auto ended = result.outcome == JobOutcome::kDone ||
                     result.outcome == JobOutcome::kFailed;
  if (!ended) {
    return;
  }
  out.push_back(WithdrawJob{.group = group, .job = result.name});
  Answer(state, result.name, result.outcome, result.retry_after, out);
}

// The holder that has the job is known to be another one now: its successor
// gets the job, marked as one that may have run.
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

// The connection to the holder is gone: its jobs are handed over again, to it
// or to its successor.
auto ClearHolder(Intake& state, const std::string& group) -> void {
  for (auto& [name, job] : state.jobs) {
    if (job.group == group) {
      job.token = 0;
    }
  }
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
  auto& accepted = state.jobs.emplace(name, std::move(job)).first->second;
  OfferToNextGroup(state, accepted, now, out);
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
  // The refusal says that nothing ran there, so another group may have it.
  job.offer.may_run_elsewhere = false;
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
    const auto waits = job.group.empty() && IsOpen(view);
    const auto lost = job.group == group && job.token != view.token;
    if (waits || lost) {
      moved.push_back(name);
    }
  }
  for (const auto name : moved) {
    auto& job = state.jobs.at(name);
    if (job.group.empty()) {
      HandOverTo(state, job, group, now, out);
    } else {
      MoveToSuccessor(state, job, now, out);
    }
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
    const auto& job = state.jobs.at(name);
    const auto handed = !job.group.empty();
    if (handed) {
      out.push_back(WithdrawJob{.group = job.group, .job = name});
    }
    Answer(state, name, handed ? JobOutcome::kStopped : JobOutcome::kRefused,
           handed ? milliseconds{0} : kRetryAfter, out);
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
