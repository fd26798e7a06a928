#include "servers/dispatcher/submitting.h"

#include <utility>

#include "servers/admission/admission.h"
#include "servers/dispatcher/admitting.h"
#include "servers/dispatcher/claiming.h"
#include "servers/dispatcher/dispatcher.h"
#include "servers/dispatcher/job_table.h"
#include "servers/dispatcher/owner_routing.h"
#include "servers/dispatcher/record_flow.h"
#include "servers/dispatcher/replies.h"
#include "servers/identity/record_clock.h"
#include "servers/identity/unused_ids.h"

namespace boragecroft {
namespace {

// Until the ledger is closed no other instance can serve this one's unused ids.
// So a stopping instance takes submissions while enough of its time is left to
// finish them.
auto IsTooLateToSubmit(const Step& step) -> bool {
  const auto& dispatcher = step.dispatcher;
  if (dispatcher.drain != DrainPhase::kFinishing) {
    return dispatcher.drain > DrainPhase::kFinishing;
  }
  return step.now.boot - dispatcher.drain_started >
         dispatcher.settings.drain_timeout / 2;
}

// Why this instance mints no id and takes no submission at the moment, if so.
auto FindObstacle(const Step& step, bool stopping)
    -> std::optional<RefusalReply> {
  const auto& dispatcher = step.dispatcher;
  if (!ReadyToServe(dispatcher.configuration, step.now)) {
    return RefusalReply{.refusal = Refusal::kNotReady,
                        .reason = "the configuration in force is not known yet",
                        .retry_after = kRefusalRetry};
  }
  if (dispatcher.deposed || stopping) {
    return RefusalReply{.refusal = Refusal::kDraining,
                        .reason = "this instance is stopping",
                        .retry_after = kRefusalRetry};
  }
  if (IsOverPendingLimit(dispatcher.ledger)) {
    return RefusalReply{.refusal = Refusal::kOverloaded,
                        .reason = "too many records wait for the platform",
                        .retry_after = kRefusalRetry};
  }
  return std::nullopt;
}

auto ReplyObstacle(Step& step,
                   const ReplyTo& reply_to,
                   const RefusalReply& obstacle) -> void {
  ReplyRefused(step, reply_to, obstacle.refusal, obstacle.reason,
               obstacle.retry_after);
}

// What a refusal of an id says that can't be submitted any more.
auto RefusalFor(IdStatus verdict) -> RefusalReply {
  switch (verdict) {
    case IdStatus::kExpired:
      return RefusalReply{.refusal = Refusal::kIdExpired,
                          .reason = "the id outlived its term unused"};
    case IdStatus::kWrongPartner:
      return RefusalReply{.refusal = Refusal::kWrongPartner,
                          .reason = "the id was minted for another partner"};
    default:
      return RefusalReply{.refusal = Refusal::kIdNotMinted,
                          .reason = "this id was never minted"};
  }
}

auto OnMint(Step& step, const ReplyTo& reply_to, const MintRequest& mint)
    -> void {
  auto& dispatcher = step.dispatcher;
  const auto stopping = dispatcher.drain >= DrainPhase::kFinishing;
  if (const auto obstacle = FindObstacle(step, stopping)) {
    ReplyObstacle(step, reply_to, *obstacle);
    return;
  }
  if (FindPartner(*InForce(dispatcher), mint.partner) == nullptr) {
    ReplyRefused(step, reply_to, Refusal::kUnknownPartner,
                 "no such partner: " + mint.partner, {});
    return;
  }
  MintReply reply;
  reply.first = Mint(dispatcher.mint, mint.partner, mint.count, step.now);
  reply.count = mint.count;
  reply.term = dispatcher.mint.term;
  dispatcher.counters.ids_minted += mint.count;
  Reply(step, reply_to, reply);
}

auto TakeId(Step& step, const JobId& id) -> bool {
  auto& dispatcher = step.dispatcher;
  if (id.incarnation == dispatcher.self) {
    return MarkUsed(dispatcher.mint, id, step.now);
  }
  return Insert(dispatcher.adopted[id.incarnation].used,
                SequenceRange{.first = id.sequence, .last = id.sequence}) == 1;
}

auto TakeSubmission(Step& step,
                    const ReplyTo& reply_to,
                    const SubmitRequest& submit) -> void {
  const auto flushing = step.dispatcher.drain >= DrainPhase::kFlushing;
  if (flushing && !reply_to.IsLocal()) {
    // The peer asks the records, which name the successor, once it hears that
    // this instance has stopped.
    return;
  }
  if (const auto obstacle = FindObstacle(step, IsTooLateToSubmit(step))) {
    ReplyObstacle(step, reply_to, *obstacle);
    return;
  }
  const auto& submission = *submit.submission;
  if (AllottedSlots(step.dispatcher.fleet, submission.service) == 0) {
    ReplyRefused(step, reply_to, Refusal::kNotReady,
                 "no worker of the service is known yet", kRefusalRetry);
    return;
  }
  if (!TakeId(step, submission.id)) {
    ReplyUndecided(step, reply_to, "the id was just taken");
    return;
  }
  const auto verdict = AdmitSubmission(step, submission);
  if (verdict.refusal) {
    RecordRefusal(step, submission.partner, submission.id, *verdict.refusal);
    RememberRefusal(step, submission.id, submission.partner, *verdict.refusal);
    ReplyRefused(step, reply_to, *verdict.refusal, verdict.reason,
                 verdict.retry_after);
    return;
  }
  auto& job = TakeJob(step, submit.submission, verdict.class_index);
  AwaitJob(step, job, reply_to, submit.wait);
}

auto VerdictOf(const Dispatcher& dispatcher,
               const JobId& id,
               const std::string& partner,
               const Now& now) -> IdStatus {
  if (id.incarnation == dispatcher.self) {
    return CheckId(dispatcher.mint, id, partner, now);
  }
  // The ledger of the stopped instance was just read and said that the id was
  // never used there.
  const auto& adopted = dispatcher.adopted.at(id.incarnation);
  if (Contains(adopted.used, id.sequence)) {
    return IdStatus::kBelowRetained;
  }
  if (adopted.unused != nullptr) {
    return CheckUnused(*adopted.unused, id, partner,
                       RecordTime(dispatcher.mint.started, now));
  }
  // Closed by a version that did not list what it had minted.
  return now.wall - id.minted > dispatcher.mint.term ? IdStatus::kExpired
                                                     : IdStatus::kFresh;
}

// Recorded, so that others say the same once this instance has gone. An adopted
// id is used up as well: its age is judged by clocks that may step.
auto RefuseExpired(Step& step, const CallerRequest& request) -> void {
  // A ledger that is being closed takes no refusal, and the successor judges
  // for itself.
  if (const auto obstacle = FindObstacle(step, IsTooLateToSubmit(step))) {
    ReplyObstacle(step, request.reply_to, *obstacle);
    return;
  }
  const auto id = IdOf(request.call);
  const auto& partner = PartnerOf(request.call);
  if (id.incarnation != step.dispatcher.self) {
    TakeId(step, id);
  }
  RecordRefusal(step, partner, id, Refusal::kIdExpired);
  RememberRefusal(step, id, partner, Refusal::kIdExpired);
  const auto refusal = RefusalFor(IdStatus::kExpired);
  ReplyRefused(step, request.reply_to, refusal.refusal, refusal.reason, {});
}

// Requests about an id that is not in memory.
auto ServeAbsent(Step& step, const CallerRequest& request) -> void {
  const auto id = IdOf(request.call);
  if (step.dispatcher.deposed) {
    // Others answer from the closed records, whatever is known here.
    LookUpIn(step, step.dispatcher.self, request);
    return;
  }
  const auto verdict =
      VerdictOf(step.dispatcher, id, PartnerOf(request.call), step.now);
  switch (verdict) {
    case IdStatus::kFresh:
      if (const auto* submit = std::get_if<SubmitRequest>(&request.call)) {
        TakeSubmission(step, request.reply_to, *submit);
        return;
      }
      // Not "refused": a submission under this id may still be on its way.
      ReplyUndecided(step, request.reply_to,
                     "nothing has been submitted under this id so far");
      return;
    case IdStatus::kUsed:
    case IdStatus::kBelowRetained:
      LookUp(step, request);
      return;
    case IdStatus::kExpired:
      RefuseExpired(step, request);
      return;
    default: {
      const auto refusal = RefusalFor(verdict);
      ReplyRefused(step, request.reply_to, refusal.refusal, refusal.reason, {});
    }
  }
}

auto ServeJob(Step& step, Job& job, const CallerRequest& request) -> void {
  if (PartnerOf(request.call) != job.submission->partner) {
    ReplyRefused(step, request.reply_to, Refusal::kWrongPartner,
                 "the id belongs to another partner", {});
    return;
  }
  if (RefuseOtherWork(step, request, job.digest)) {
    return;
  }
  milliseconds wait{};
  if (const auto* submit = std::get_if<SubmitRequest>(&request.call)) {
    ++step.dispatcher.counters.resubmissions;
    wait = submit->wait;
  } else if (const auto* fetch = std::get_if<FetchRequest>(&request.call)) {
    wait = fetch->wait;
  } else {
    ++step.dispatcher.counters.jobs_cancelled;
    StopJob(step, job.submission->id, kReasonCancelled);
  }
  AwaitJob(step, job, request.reply_to, wait);
}

}  // namespace

auto IdOf(const CallerCall& call) -> JobId {
  if (const auto* submit = std::get_if<SubmitRequest>(&call)) {
    return submit->submission->id;
  }
  if (const auto* fetch = std::get_if<FetchRequest>(&call)) {
    return fetch->id;
  }
  const auto* cancel = std::get_if<CancelRequest>(&call);
  return cancel == nullptr ? JobId() : cancel->id;
}

auto PartnerOf(const CallerCall& call) -> const std::string& {
  if (const auto* submit = std::get_if<SubmitRequest>(&call)) {
    return submit->submission->partner;
  }
  if (const auto* fetch = std::get_if<FetchRequest>(&call)) {
    return fetch->partner;
  }
  if (const auto* cancel = std::get_if<CancelRequest>(&call)) {
    return cancel->partner;
  }
  return std::get<MintRequest>(call).partner;
}

auto ServeOwnRequest(Step& step, const CallerRequest& request) -> void {
  const auto id = IdOf(request.call);
  const auto found = step.dispatcher.jobs.find(id);
  if (found != step.dispatcher.jobs.end()) {
    ServeJob(step, found->second, request);
    return;
  }
  const auto refused = step.dispatcher.refused.find(id);
  if (refused != step.dispatcher.refused.end() &&
      refused->second.partner == PartnerOf(request.call)) {
    ReplyRefused(step, request.reply_to, refused->second.refusal,
                 "this id was refused", {});
    return;
  }
  ServeAbsent(step, request);
}

auto OnCallerRequest(Step& step, CallerRequest request) -> void {
  if (const auto* mint = std::get_if<MintRequest>(&request.call)) {
    OnMint(step, request.reply_to, *mint);
    return;
  }
  const auto* submit = std::get_if<SubmitRequest>(&request.call);
  if (submit != nullptr && !submit->caller_key.empty()) {
    ClaimKeyOf(step, std::move(request));
    return;
  }
  RouteRequest(step, std::move(request));
}

}  // namespace boragecroft
