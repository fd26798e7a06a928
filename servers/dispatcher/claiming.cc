#include "servers/dispatcher/claiming.h"

#include <utility>

#include "servers/dispatcher/owner_routing.h"
#include "servers/dispatcher/record_flow.h"
#include "servers/dispatcher/replies.h"
#include "servers/ledger/claim.h"
#include "servers/ledger/keys.h"

namespace boragecroft {
namespace {

constexpr milliseconds kClaimTimeout{3000};

// A claim that is in progress.
struct OpenClaim {
  CallerRequest request;
  ClaimAttempt attempt;
  Instant expires;
};

auto ContinueClaim(EventContext& context,
                   const std::shared_ptr<OpenClaim>& claim) -> void;

auto RouteWithClaimedId(EventContext& context, OpenClaim& claim) -> void {
  auto& submit = std::get<SubmitRequest>(claim.request.call);
  auto submission = std::make_shared<Submission>(*submit.submission);
  submission->id = claim.attempt.job;
  submit.submission = std::move(submission);
  submit.caller_key.clear();
  RouteRequest(context, std::move(claim.request));
}

auto ReadClaim(EventContext& context, const std::shared_ptr<OpenClaim>& claim)
    -> void {
  const auto key = claim->attempt.transaction.puts.front().key;
  CallPlatform(
      context, ReadRow{.key = key},
      [claim](EventContext& callback_context, PlatformOutcome& outcome) {
        if (const auto* row = std::get_if<TableRow>(&outcome.result)) {
          OnReadBack(claim->attempt, *row);
        }
        ContinueClaim(callback_context, claim);
      });
}

auto SendClaim(EventContext& context, const std::shared_ptr<OpenClaim>& claim)
    -> void {
  auto transaction = NextTransaction(claim->attempt);
  if (!transaction) {
    return;
  }
  CallPlatform(
      context, std::move(*transaction),
      [claim](EventContext& callback_context, PlatformOutcome& outcome) {
        OnOutcome(claim->attempt, std::get<TableOutcome>(outcome.result));
        ContinueClaim(callback_context, claim);
      });
}

auto ContinueClaim(EventContext& context,
                   const std::shared_ptr<OpenClaim>& claim) -> void {
  const auto phase = claim->attempt.phase;
  const auto late = context.now.boot >= claim->expires;
  if (phase == ClaimPhase::kWon || phase == ClaimPhase::kLost) {
    --context.dispatcher.open_claims;
    RouteWithClaimedId(context, *claim);
    return;
  }
  // An earlier request under this key may have run, and only the table shows
  // whether it did. Therefore the reply must not state that nothing ran.
  if (phase == ClaimPhase::kUnreadable || late) {
    --context.dispatcher.open_claims;
    ReplyUndecided(context, claim->request.reply_to,
                   "the platform did not report which id belongs to this key");
    return;
  }
  if (phase == ClaimPhase::kReadBack) {
    ReadClaim(context, claim);
    return;
  }
  SendClaim(context, claim);
}

}  // namespace

auto ClaimCallerKey(EventContext& context, CallerRequest request) -> void {
  auto& dispatcher = context.dispatcher;
  if (!ReadyToServe(dispatcher.configuration, context.now) ||
      dispatcher.drain >= DrainPhase::kFinishing || dispatcher.fenced) {
    ReplyUndecided(context, request.reply_to,
                   "this instance accepts no submissions at the moment");
    return;
  }
  const auto& submit = std::get<SubmitRequest>(request.call);
  const auto& partner = submit.submission->partner;
  const auto id = Mint(dispatcher.mint, partner, 1, context.now);
  auto operation =
      ToString(dispatcher.self) + "-claim-" + std::to_string(id.sequence);
  auto claim = std::make_shared<OpenClaim>();
  claim->attempt =
      MakeClaim(partner, submit.caller_key, id, std::move(operation));
  claim->expires = context.now.boot + kClaimTimeout;
  claim->request = std::move(request);
  ++dispatcher.open_claims;
  ContinueClaim(context, claim);
}

}  // namespace boragecroft
