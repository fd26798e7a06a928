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

// One claim under way.
struct OpenClaim {
  CallerRequest request;
  ClaimAttempt attempt;
  Instant expires;
};

auto Continue(Step& step, const std::shared_ptr<OpenClaim>& claim) -> void;

auto GoOnWithId(Step& step, OpenClaim& claim) -> void {
  auto& submit = std::get<SubmitRequest>(claim.request.call);
  auto submission = std::make_shared<Submission>(*submit.submission);
  submission->id = claim.attempt.job;
  submit.submission = std::move(submission);
  submit.caller_key.clear();
  RouteRequest(step, std::move(claim.request));
}

auto ReadClaim(Step& step, const std::shared_ptr<OpenClaim>& claim) -> void {
  const auto key = claim->attempt.transaction.puts.front().key;
  CallPlatform(step, ReadRow{.key = key},
               [claim](Step& then, PlatformOutcome& outcome) {
                 if (const auto* row = std::get_if<TableRow>(&outcome.result)) {
                   OnReadBack(claim->attempt, *row);
                 }
                 Continue(then, claim);
               });
}

auto SendClaim(Step& step, const std::shared_ptr<OpenClaim>& claim) -> void {
  auto transaction = NextTransaction(claim->attempt);
  if (!transaction) {
    return;
  }
  CallPlatform(step, std::move(*transaction),
               [claim](Step& then, PlatformOutcome& outcome) {
                 OnOutcome(claim->attempt,
                           std::get<TableOutcome>(outcome.result));
                 Continue(then, claim);
               });
}

auto Continue(Step& step, const std::shared_ptr<OpenClaim>& claim) -> void {
  const auto phase = claim->attempt.phase;
  const auto late = step.now.boot >= claim->expires;
  if (phase == ClaimPhase::kWon || phase == ClaimPhase::kLost) {
    --step.dispatcher.open_claims;
    GoOnWithId(step, *claim);
    return;
  }
  // An earlier request under this key may have run: only the table knows, so
  // nothing is called "not run" here.
  if (phase == ClaimPhase::kUnreadable || late) {
    --step.dispatcher.open_claims;
    ReplyUndecided(step, claim->request.reply_to,
                   "the platform did not say what this key stands for");
    return;
  }
  if (phase == ClaimPhase::kReadBack) {
    ReadClaim(step, claim);
    return;
  }
  SendClaim(step, claim);
}

}  // namespace

auto ClaimKeyOf(Step& step, CallerRequest request) -> void {
  auto& dispatcher = step.dispatcher;
  if (!ReadyToServe(dispatcher.configuration, step.now) ||
      dispatcher.drain >= DrainPhase::kFinishing || dispatcher.deposed) {
    ReplyUndecided(step, request.reply_to,
                   "this instance takes no submissions at the moment");
    return;
  }
  const auto& submit = std::get<SubmitRequest>(request.call);
  const auto& partner = submit.submission->partner;
  const auto id = Mint(dispatcher.mint, partner, 1, step.now);
  auto operation =
      ToString(dispatcher.self) + "-claim-" + std::to_string(id.sequence);
  auto claim = std::make_shared<OpenClaim>();
  claim->attempt =
      MakeClaim(partner, submit.caller_key, id, std::move(operation));
  claim->expires = step.now.boot + kClaimTimeout;
  claim->request = std::move(request);
  ++dispatcher.open_claims;
  Continue(step, claim);
}

}  // namespace boragecroft
