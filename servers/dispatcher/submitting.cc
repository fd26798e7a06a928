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

// Reports whether a stopping instance has too little time left to finish
// another submission. Until its ledger is closed, no other instance can serve
// its unused ids, so it accepts submissions during the first half of the drain
// time-out.
auto IsTooLateToSubmit(const EventContext& context) -> bool {
  const auto& dispatcher = context.dispatcher;
  if (dispatcher.drain != DrainPhase::kFinishing) {
    return dispatcher.drain > DrainPhase::kFinishing;
  }
  return context.now.boot - dispatcher.drain_started >
         dispatcher.settings.drain_timeout / 2;
}

// Returns the refusal to send while this instance mints no ids and accepts no
// submissions, or nothing when it does both.
auto FindTemporaryRefusal(const EventContext& context, bool stopping)
    -> std::optional<RefusalReply> {
  const auto& dispatcher = context.dispatcher;
  if (!ReadyToServe(dispatcher.configuration, context.now)) {
    return RefusalReply{.refusal = Refusal::kNotReady,
                        .reason = "the configuration in force is not known yet",
                        .retry_after = kRefusalRetry};
  }
  if (dispatcher.fenced || stopping) {
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

auto ReplyTemporaryRefusal(EventContext& context,
                           const ReplyTo& reply_to,
                           const RefusalReply& temporary_refusal) -> void {
  ReplyRefused(context, reply_to, temporary_refusal.refusal,
               temporary_refusal.reason, temporary_refusal.retry_after);
}

// Returns the refusal for an id that can no longer be submitted.
auto RefusalFor(IdStatus status) -> RefusalReply {
  switch (status) {
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

auto OnMint(EventContext& context,
            const ReplyTo& reply_to,
            const MintRequest& mint) -> void {
  auto& dispatcher = context.dispatcher;
  const auto stopping = dispatcher.drain >= DrainPhase::kFinishing;
  if (const auto temporary_refusal = FindTemporaryRefusal(context, stopping)) {
    ReplyTemporaryRefusal(context, reply_to, *temporary_refusal);
    return;
  }
  if (FindPartner(*InForce(dispatcher), mint.partner) == nullptr) {
    ReplyRefused(context, reply_to, Refusal::kUnknownPartner,
                 "no such partner: " + mint.partner, {});
    return;
  }
  MintReply reply;
  reply.first = Mint(dispatcher.mint, mint.partner, mint.count, context.now);
  reply.count = mint.count;
  reply.term = dispatcher.mint.term;
  dispatcher.counters.ids_minted += mint.count;
  Reply(context, reply_to, reply);
}

auto MarkIdUsed(EventContext& context, const JobId& id) -> bool {
  auto& dispatcher = context.dispatcher;
  if (id.incarnation == dispatcher.self) {
    return MarkUsed(dispatcher.mint, id, context.now);
  }
  return Insert(dispatcher.inherited[id.incarnation].used,
                SequenceRange{.first = id.sequence, .last = id.sequence}) == 1;
}

auto HandleNewSubmission(EventContext& context,
                         const ReplyTo& reply_to,
                         const SubmitRequest& submit) -> void {
  const auto flushing = context.dispatcher.drain >= DrainPhase::kFlushing;
  if (flushing && !reply_to.IsLocal()) {
    // The peer reads the records, which name the successor, as soon as it is
    // informed that this instance has stopped.
    return;
  }
  if (const auto temporary_refusal =
          FindTemporaryRefusal(context, IsTooLateToSubmit(context))) {
    ReplyTemporaryRefusal(context, reply_to, *temporary_refusal);
    return;
  }
  const auto& submission = *submit.submission;
  if (AllottedSlots(context.dispatcher.fleet, submission.service) == 0) {
    ReplyRefused(context, reply_to, Refusal::kNotReady,
                 "no worker of the service is known yet", kRefusalRetry);
    return;
  }
  if (!MarkIdUsed(context, submission.id)) {
    ReplyUndecided(context, reply_to, "another request has just used this id");
    return;
  }
  const auto decision = AdmitSubmission(context, submission);
  if (decision.refusal) {
    RecordRefusal(context, submission.partner, submission.id,
                  *decision.refusal);
    CacheRefusal(context, submission.id, submission.partner, *decision.refusal);
    ReplyRefused(context, reply_to, *decision.refusal, decision.reason,
                 decision.retry_after);
    return;
  }
  auto& job = AcceptJob(context, submit.submission, decision.class_index);
  AwaitJob(context, job, reply_to, submit.wait);
}

auto GetIdStatus(const Dispatcher& dispatcher,
                 const JobId& id,
                 const std::string& partner,
                 const Now& now) -> IdStatus {
  if (id.incarnation == dispatcher.self) {
    return CheckId(dispatcher.mint, id, partner, now);
  }
  // The ledger of the stopped instance was just read and shows that the id was
  // never used there.
  const auto& inherited = dispatcher.inherited.at(id.incarnation);
  if (Contains(inherited.used, id.sequence)) {
    return IdStatus::kBelowRetained;
  }
  if (inherited.unused != nullptr) {
    return CheckUnused(*inherited.unused, id, partner,
                       RecordTime(dispatcher.mint.started, now));
  }
  // The ledger was closed by a version that did not list the ids that it had
  // minted.
  return now.wall - id.minted > dispatcher.mint.term ? IdStatus::kExpired
                                                     : IdStatus::kFresh;
}

// Refuses an expired id. The refusal is recorded, so that other instances give
// the same answer after this one has terminated. An inherited id is also marked
// as used, because its age is measured with clocks that may step.
auto RefuseExpired(EventContext& context, const CallerRequest& request)
    -> void {
  // A ledger that is being closed accepts no refusals, and the successor
  // decides about the id itself.
  if (const auto temporary_refusal =
          FindTemporaryRefusal(context, IsTooLateToSubmit(context))) {
    ReplyTemporaryRefusal(context, request.reply_to, *temporary_refusal);
    return;
  }
  const auto id = IdOf(request.call);
  const auto& partner = PartnerOf(request.call);
  if (id.incarnation != context.dispatcher.self) {
    MarkIdUsed(context, id);
  }
  RecordRefusal(context, partner, id, Refusal::kIdExpired);
  CacheRefusal(context, id, partner, Refusal::kIdExpired);
  const auto refusal = RefusalFor(IdStatus::kExpired);
  ReplyRefused(context, request.reply_to, refusal.refusal, refusal.reason, {});
}

// Serves a request about an id that is not in memory.
auto ServeUnknownJob(EventContext& context, const CallerRequest& request)
    -> void {
  const auto id = IdOf(request.call);
  if (context.dispatcher.fenced) {
    // Other instances answer from the closed records, so this instance does the
    // same, whatever it knows.
    LookUpInLedger(context, context.dispatcher.self, request);
    return;
  }
  const auto status =
      GetIdStatus(context.dispatcher, id, PartnerOf(request.call), context.now);
  switch (status) {
    case IdStatus::kFresh:
      if (const auto* submit = std::get_if<SubmitRequest>(&request.call)) {
        HandleNewSubmission(context, request.reply_to, *submit);
        return;
      }
      // The request is not refused, because a submission under this id may
      // still be on its way.
      ReplyUndecided(context, request.reply_to,
                     "nothing has been submitted under this id so far");
      return;
    case IdStatus::kUsed:
    case IdStatus::kBelowRetained:
      LookUp(context, request);
      return;
    case IdStatus::kExpired:
      RefuseExpired(context, request);
      return;
    default: {
      const auto refusal = RefusalFor(status);
      ReplyRefused(context, request.reply_to, refusal.refusal, refusal.reason,
                   {});
    }
  }
}

auto ServeJob(EventContext& context, Job& job, const CallerRequest& request)
    -> void {
  if (PartnerOf(request.call) != job.submission->partner) {
    ReplyRefused(context, request.reply_to, Refusal::kWrongPartner,
                 "the id belongs to another partner", {});
    return;
  }
  if (RefuseDigestMismatch(context, request, job.digest)) {
    return;
  }
  milliseconds wait{};
  if (const auto* submit = std::get_if<SubmitRequest>(&request.call)) {
    ++context.dispatcher.counters.resubmissions;
    wait = submit->wait;
  } else if (const auto* fetch = std::get_if<FetchRequest>(&request.call)) {
    wait = fetch->wait;
  } else {
    ++context.dispatcher.counters.jobs_cancelled;
    StopJob(context, job.submission->id, kReasonCancelled);
  }
  AwaitJob(context, job, request.reply_to, wait);
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

auto ServeOwnRequest(EventContext& context, const CallerRequest& request)
    -> void {
  const auto id = IdOf(request.call);
  const auto found = context.dispatcher.jobs.find(id);
  if (found != context.dispatcher.jobs.end()) {
    ServeJob(context, found->second, request);
    return;
  }
  const auto refused = context.dispatcher.refused.find(id);
  if (refused != context.dispatcher.refused.end() &&
      refused->second.partner == PartnerOf(request.call)) {
    ReplyRefused(context, request.reply_to, refused->second.refusal,
                 "this id was refused", {});
    return;
  }
  ServeUnknownJob(context, request);
}

auto OnCallerRequest(EventContext& context, CallerRequest request) -> void {
  if (const auto* mint = std::get_if<MintRequest>(&request.call)) {
    OnMint(context, request.reply_to, *mint);
    return;
  }
  const auto* submit = std::get_if<SubmitRequest>(&request.call);
  if (submit != nullptr && !submit->caller_key.empty()) {
    ClaimCallerKey(context, std::move(request));
    return;
  }
  RouteRequest(context, std::move(request));
}

}  // namespace boragecroft
